// Package loader reads and validates the settings of a node.
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

// Settings is the content of a node's settings file.
type Settings struct {
	// Name identifies the node and must be unique among all nodes.
	Name string
	// Cluster is the name of the cluster; heartbeats from nodes of other clusters are refused.
	Cluster          string
	Region           string
	AvailabilityZone string
	// CallerAddress is the listen address for requests of callers, PeerAddress the one for other
	// nodes, and ControlAddress the one for operators, announcements of the backend server and the
	// collection of metrics.
	CallerAddress  netip.AddrPort
	PeerAddress    netip.AddrPort
	ControlAddress netip.AddrPort
	// AdvertisedAddress is the address under which other nodes reach this one, if it differs from
	// PeerAddress, as behind a port mapping. The default is PeerAddress.
	AdvertisedAddress netip.AddrPort
	// Platform is the address of the table service. With ContractOwn it may be left out; the
	// configuration is then kept in memory only. With ContractPlatform it must be set, which is not
	// checked.
	Platform netip.AddrPort
	// PlatformRegion is the region that the platform is in. Data whose residency is restricted to
	// other regions must not be stored there. The setting is only validated so far.
	PlatformRegion string
	// Peers are the peer addresses of some nodes, which a starting node contacts to join the others.
	Peers    []netip.AddrPort
	LogLevel string
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes int64
	// MemoryMegabytes is the memory that the process may use, and Descriptors the number of descriptors. What the process
	// holds for others is bounded by parts of them.
	MemoryMegabytes float64
	Descriptors     int
	// StopTimeout bounds a planned stop: the wait for requests in flight ends 500 ms, or a sixth of
	// StopTimeout if that is less, before StopTimeout has passed since the stop began. DrainTimeout is part
	// of this time, but is not cut short; if it is longer, the node doesn't wait for requests in flight.
	StopTimeout time.Duration
	// Contract selects the protocols used with callers, backend servers and the platform:
	// ContractOwn or ContractPlatform.
	Contract string
	// AvailabilityZones maps each availability zone to its region.
	AvailabilityZones map[string]string
	// ReadyAddress is the listen address for readiness checks, AnnounceAddress the one for
	// announcements of the backend server. Both are optional and meant for ContractPlatform.
	ReadyAddress    netip.AddrPort
	AnnounceAddress netip.AddrPort
	// Service is the name of the service of the backend server beside the node.
	Service string
	// BackendAddress is the listen address of the backend server. With ContractPlatform, a starting
	// node sends health checks to it, to find a backend server that already runs. Without
	// BackendAddress, or with ContractOwn, the node waits for an announcement. Announcements apply in
	// all cases.
	BackendAddress netip.AddrPort
	// AnnouncementTTL is how long after its last announcement a backend server counts as alive.
	AnnouncementTTL time.Duration
	// DrainTimeout is how long a stopping node still accepts requests of callers, but at least
	// eelgrasspoint.StopNoticeTime.
	DrainTimeout time.Duration
	RetryBudget  RetryBudget
	// ColdOvershoot is the most requests that a cold backend server may receive in one second, as a
	// multiple of the ColdRate of its service. It is at least 1. The product is rounded down, but is
	// at least 1 request.
	ColdOvershoot float64
}

// RetryBudget bounds the retries and hedges per service, summed over all nodes: Share of the service's
// requests, plus a reserve of Slack attempts, rounded down. Redirects are not counted.
// The budget is kept in token buckets, so the length of Window is not used; a zero Window selects
// retrier.DefaultLimits, and Share and Slack are then ignored.
type RetryBudget struct {
	Share  float64
	Window time.Duration
	Slack  float64
}

// Values of Settings.Contract.
const (
	ContractOwn      = "own"
	ContractPlatform = "platform"
)

// Defaults of optional settings.
const (
	defaultCluster         = "eelgrass"
	defaultLogLevel        = "info"
	defaultMaxBodyBytes    = 256 << 20
	defaultStopTimeout     = 30 * time.Second
	defaultMemoryMegabytes = 256
	defaultDescriptors     = 4096
	// defaultColdOvershoot limits a cold backend server to the ColdRate of its service.
	defaultColdOvershoot = 1.0
)

// Least values of settings; the error texts of validate repeat them.
const (
	minMemoryMegabytes = 64
	minDescriptors     = 512
)

// bytesPerMegabyte is the unit of MemoryMegabytes.
const bytesPerMegabyte = 1_000_000

// MemoryBytes returns MemoryMegabytes, or its default, in bytes.
func (s *Settings) MemoryBytes() int64 {
	megabytes := s.MemoryMegabytes
	if megabytes == 0 {
		megabytes = defaultMemoryMegabytes
	}
	return int64(megabytes * bytesPerMegabyte)
}

// DescriptorLimit returns Descriptors, or its default.
func (s *Settings) DescriptorLimit() int {
	if s.Descriptors == 0 {
		return defaultDescriptors
	}
	return s.Descriptors
}

// Load reads a settings file. The error is that of the operating system if the file can't be read,
// and otherwise an *eelgrasspoint.InvalidError with all validation errors.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return Parse(data)
}

// Parse decodes and validates settings. The error is an *eelgrasspoint.InvalidError.
func Parse(data []byte) (*Settings, error) {
	settings := &Settings{
		Cluster: defaultCluster, LogLevel: defaultLogLevel,
		MemoryMegabytes: defaultMemoryMegabytes, Descriptors: defaultDescriptors,
		MaxBodyBytes: defaultMaxBodyBytes, StopTimeout: defaultStopTimeout,
		ColdOvershoot: defaultColdOvershoot, Contract: ContractOwn, AnnouncementTTL: eelgrasspoint.AnnouncementTTL,
	}
	var mistakes []eelgrasspoint.Mistake
	if err := decoder.Decode(data, settings); err != nil {
		mistakes = append(mistakes, eelgrasspoint.Mistakes(err)...)
	}
	mistakes = append(mistakes, withoutReportedPaths(settings.validate(), mistakes)...)
	if !settings.AdvertisedAddress.IsValid() {
		settings.AdvertisedAddress = settings.PeerAddress
	}
	if len(mistakes) > 0 {
		slices.SortStableFunc(mistakes, func(a, b eelgrasspoint.Mistake) int { return strings.Compare(a.Path, b.Path) })
		return nil, &eelgrasspoint.InvalidError{Mistakes: mistakes}
	}
	return settings, nil
}

// validate checks that the required settings are present and that some of the others are within
// their limits. PlatformRegion is required if Platform is set and the contract is ContractOwn.
func (s *Settings) validate() []eelgrasspoint.Mistake {
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
			add(path, "is required, as an IP address and port such as 10.0.0.7:7000")
		}
	}
	if s.Contract != ContractOwn && s.Contract != ContractPlatform {
		add("Contract", "must be own or platform")
	}
	if s.Contract == ContractOwn && s.Platform.IsValid() && s.PlatformRegion == "" {
		add("PlatformRegion", "is required if Platform is set")
	}
	if s.PeerAddress.IsValid() && (s.PeerAddress.Addr().IsUnspecified() || s.PeerAddress.Port() == 0) {
		add("PeerAddress", "must have a specific IP address (not 0.0.0.0 or ::) and a port other than 0, even if AdvertisedAddress is set")
	}
	for i, peer := range s.Peers {
		if !peer.IsValid() {
			add(fmt.Sprintf("Peers[%d]", i), "must be an IP address and port")
		}
	}
	// ParseLevel also accepts trace, warning, fatal and panic; the message lists the usual levels.
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		add("LogLevel", "must be one of debug, info, warn, error")
	}
	if s.MaxBodyBytes < 1 {
		add("MaxBodyBytes", "must be at least 1 byte")
	}
	if s.MemoryMegabytes < minMemoryMegabytes {
		add("MemoryMegabytes", "must be at least 64")
	}
	if s.Descriptors < minDescriptors {
		add("Descriptors", "must be at least 512")
	}
	if s.ColdOvershoot < 1 {
		add("ColdOvershoot", "must be at least 1")
	}
	if s.StopTimeout <= 0 {
		add("StopTimeout", "must be above 0s")
	}
	return mistakes
}

// withoutReportedPaths returns the mistakes at paths for which reported has none.
func withoutReportedPaths(mistakes, reported []eelgrasspoint.Mistake) []eelgrasspoint.Mistake {
	reportedPaths := make(map[string]bool, len(reported))
	for _, m := range reported {
		reportedPaths[m.Path] = true
	}
	var remaining []eelgrasspoint.Mistake
	for _, m := range mistakes {
		if !reportedPaths[m.Path] {
			remaining = append(remaining, m)
		}
	}
	return remaining
}
