// Package loader reads and checks the settings of a node.
package loader

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"eelgrasspoint"
	"eelgrasspoint/state/decoder"
	"eelgrasspoint/state/validator"
)

// Settings are what a node is told when it starts.
type Settings struct {
	// Name is unique among all nodes.
	Name             string
	Cluster          string
	Region           string
	AvailabilityZone string
	// CallerAddress takes requests, PeerAddress other nodes, ControlAddress operators,
	// the announcements of the backend server and the collection of metrics.
	CallerAddress  netip.AddrPort
	PeerAddress    netip.AddrPort
	ControlAddress netip.AddrPort
	// AdvertisedAddress is where other nodes reach PeerAddress, if they don't reach it there.
	AdvertisedAddress netip.AddrPort
	// Platform is the address of the table service; without it the node
	// keeps its configuration in memory only.
	Platform netip.AddrPort
	// PlatformRegion is where the platform sits: what is bound to other regions is not kept in it.
	PlatformRegion string
	Peers          []netip.AddrPort
	LogLevel       string
	MaxBodyBytes   int64
	StopTimeout    time.Duration
	// Contract names how callers, backend servers and the platform are spoken to.
	Contract string
	// AvailabilityZones maps all availability zones to their regions.
	AvailabilityZones map[string]string
	// ReadyAddress answers whether the node takes callers; AnnounceAddress takes the
	// announcements of the backend server. Both are optional and go with ContractPlatform.
	ReadyAddress    netip.AddrPort
	AnnounceAddress netip.AddrPort
	// Service is that of the backend server beside the node.
	Service string
	// BackendAddress is where the backend server listens, or not valid before it announces itself.
	BackendAddress netip.AddrPort
	// AnnouncementTTL is how long an announcement holds.
	AnnouncementTTL time.Duration
	// DrainTimeout is how long a stopping node goes on taking callers.
	DrainTimeout time.Duration
	RetryBudget  RetryBudget
	// ColdOvershoot is how many times its cold rate a cold backend server may get in a second.
	ColdOvershoot float64
}

// RetryBudget bounds the attempts beyond the first of all nodes together, for each service:
// within Window at most Share of its requests, and Slack more.
type RetryBudget struct {
	Share  float64
	Window time.Duration
	Slack  int
}

// Contracts with callers, backend servers and the platform.
const (
	ContractOwn      = "own"
	ContractPlatform = "platform"
)

// Defaults of settings that may be left out.
const (
	defaultCluster      = "eelgrass"
	defaultLogLevel     = "info"
	defaultMaxBodyBytes = 256 << 20
	defaultStopTimeout  = 30 * time.Second
	// A cold backend server gets what it bears by its own definition.
	defaultColdOvershoot = 1.0
)

// Load reads a settings file. Mistakes come as *eelgrasspoint.InvalidError, all at once.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return Parse(data)
}

// Parse reads settings.
func Parse(data []byte) (*Settings, error) {
	settings := &Settings{
		Cluster: defaultCluster, LogLevel: defaultLogLevel,
		MaxBodyBytes: defaultMaxBodyBytes, StopTimeout: defaultStopTimeout,
		ColdOvershoot: defaultColdOvershoot, Contract: ContractOwn, AnnouncementTTL: eelgrasspoint.AnnouncementTTL,
	}
	var mistakes []eelgrasspoint.Mistake
	if err := decoder.Decode(data, settings); err != nil {
		mistakes = append(mistakes, eelgrasspoint.Mistakes(err)...)
	}
	mistakes = append(mistakes, withoutRepeats(settings.check(), mistakes)...)
	if !settings.AdvertisedAddress.IsValid() {
		settings.AdvertisedAddress = settings.PeerAddress
	}
	if len(mistakes) > 0 {
		slices.SortStableFunc(mistakes, func(a, b eelgrasspoint.Mistake) int { return strings.Compare(a.Path, b.Path) })
		return nil, &eelgrasspoint.InvalidError{Mistakes: mistakes}
	}
	return settings, nil
}

// check looks at each value by itself and at those that must differ.
func (s *Settings) check() []eelgrasspoint.Mistake {
	var mistakes []eelgrasspoint.Mistake
	add := func(path, message string) {
		mistakes = append(mistakes, eelgrasspoint.Mistake{Path: path, Message: message})
	}
	for path, name := range map[string]string{
		"Name": s.Name, "Cluster": s.Cluster, "Region": s.Region, "AvailabilityZone": s.AvailabilityZone,
	} {
		if message := validator.ValidateName(name); message != "" {
			add(path, message)
		}
	}
	for path, address := range map[string]netip.AddrPort{
		"CallerAddress": s.CallerAddress, "PeerAddress": s.PeerAddress, "ControlAddress": s.ControlAddress,
	} {
		if !address.IsValid() {
			add(path, "is required, as an IP number and port such as 10.0.0.7:7000")
		}
	}
	if s.Contract != ContractOwn && s.Contract != ContractPlatform {
		add("Contract", "must be own or platform")
	}
	if s.Contract == ContractOwn && s.Platform.IsValid() && s.PlatformRegion == "" {
		add("PlatformRegion", "is required with Platform")
	}
	if s.PeerAddress.IsValid() && (s.PeerAddress.Addr().IsUnspecified() || s.PeerAddress.Port() == 0) {
		add("PeerAddress", "must be the address that other nodes reach this one at")
	}
	for i, peer := range s.Peers {
		if !peer.IsValid() {
			add(fmt.Sprintf("Peers[%d]", i), "must be an IP number and port")
		}
	}
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		add("LogLevel", "must be one of debug, info, warn, error")
	}
	if s.MaxBodyBytes < 1 {
		add("MaxBodyBytes", "must be at least 1 (bytes)")
	}
	if s.ColdOvershoot < 1 {
		add("ColdOvershoot", "must be at least 1")
	}
	if s.StopTimeout <= 0 {
		add("StopTimeout", "must be above 0s")
	}
	return mistakes
}

// withoutRepeats leaves out what is said already of the same path.
func withoutRepeats(more, said []eelgrasspoint.Mistake) []eelgrasspoint.Mistake {
	known := make(map[string]bool, len(said))
	for _, m := range said {
		known[m.Path] = true
	}
	var rest []eelgrasspoint.Mistake
	for _, m := range more {
		if !known[m.Path] {
			rest = append(rest, m)
		}
	}
	return rest
}
