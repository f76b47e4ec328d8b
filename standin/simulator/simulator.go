// Package simulator runs real nodes, stand-in backend servers and a stand-in platform on a
// network in memory, so that tests exercise the shipped code in virtual time.
package simulator

import (
	"context"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"eelgrasspoint"
	"eelgrasspoint/runner"
	"eelgrasspoint/standin/backend"
	"eelgrasspoint/standin/network"
	"eelgrasspoint/standin/platform"
	"eelgrasspoint/state/connector"
	"eelgrasspoint/state/loader"
	"eelgrasspoint/transport/dispatcher"
)

// Simulator is an in-process cluster on a simulated network.
type Simulator struct {
	Network  *network.Network
	Platform *platform.Platform
	Nodes    []*Node
	client   netip.Addr
	store    netip.AddrPort
	options  Options
}

// Options are what differs between tests.
type Options struct {
	Shape network.Conditions
	// StoreRegion is where the platform sits.
	StoreRegion string
	Chooser     func() eelgrasspoint.Chooser
	Limiter     func() eelgrasspoint.Limiter
}

// Node is a node, the backend server beside it and their addresses.
type Node struct {
	Name     string
	Region   string
	Zone     string
	Service  string
	Host     netip.Addr
	Settings *loader.Settings
	Backend  *backend.Backend
	Log      *logrus.Logger
	Runner   *runner.Runner

	simulator   *Simulator
	slots       int
	behavior    backend.Behavior
	stopNode    context.CancelFunc
	nodeEnded   chan struct{}
	stopBackend context.CancelFunc
	server      *http.Server
	starts      uint64
	// process is held while the node's process is started or stopped.
	process  chan struct{}
	running  bool
	backends []*backend.Backend
	crashes  atomic.Int64
}

// Ports of every host.
const (
	callerPort  = 7000
	peerPort    = 7001
	controlPort = 7002
	backendPort = 8000
	storePort   = 9000
)

// New returns a simulator with a platform.
func New(options Options) *Simulator {
	s := &Simulator{Network: network.New(options.Shape), Platform: platform.New(), options: options}
	s.client = netip.AddrFrom4([4]byte{10, 255, 0, 1})
	storeHost := netip.AddrFrom4([4]byte{10, 255, 0, 2})
	s.Network.Add(s.client, network.Host{Region: options.StoreRegion, AvailabilityZone: "callers"})
	s.Network.Add(storeHost, network.Host{Region: options.StoreRegion, AvailabilityZone: "store"})
	s.store = netip.AddrPortFrom(storeHost, storePort)
	s.serveStore()
	return s
}

func (s *Simulator) serveStore() {
	listener, _ := s.Network.Listen("tcp", s.store.String())
	server := quietServer(s.Platform)
	go func() { _ = server.Serve(listener) }()
}

// AddNode starts a node and its backend server; slots zero leaves the backend server out.
func (s *Simulator) AddNode(region, zone, service string, slots int, behavior backend.Behavior) *Node {
	number := len(s.Nodes) + 1
	host := netip.AddrFrom4([4]byte{10, 0, byte(number / 250), byte(number%250 + 1)})
	s.Network.Add(host, network.Host{Region: region, AvailabilityZone: zone})
	n := &Node{
		Name: fmt.Sprintf("%s-%s-%d", zone, service, number), Region: region, Zone: zone, Service: service,
		Host: host, simulator: s, slots: slots, behavior: behavior, process: make(chan struct{}, 1),
	}
	n.Settings = &loader.Settings{
		Name: n.Name, Cluster: "stage", Region: region, AvailabilityZone: zone,
		CallerAddress: n.at(callerPort), PeerAddress: n.at(peerPort), AdvertisedAddress: n.at(peerPort), ControlAddress: n.at(controlPort),
		Platform: s.store, PlatformRegion: s.options.StoreRegion, LogLevel: "debug", ColdOvershoot: 1, MaxBodyBytes: 64 << 20, StopTimeout: 20 * time.Second,
	}
	s.Nodes = append(s.Nodes, n)
	n.StartNode()
	if slots > 0 {
		n.StartBackend()
	}
	return n
}

// Close stops everything; in a synctest bubble nothing may be left running.
func (s *Simulator) Close() {
	s.Network.Heal()
	for _, n := range s.Nodes {
		s.Network.Restore(n.Host)
		n.KillBackend()
		n.KillNode()
	}
	s.Network.Kill(s.store)
	for _, n := range s.Nodes {
		<-n.nodeEnded
	}
	time.Sleep(network.ConnectTimeout + time.Minute)
}

// Client returns an HTTP client of callers outside, without connections so far.
func (s *Simulator) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: s.Network.Dial(s.client), DisableCompression: true, MaxIdleConnsPerHost: 512}}
}

// PeerClient returns an HTTP/2 client that speaks to the nodes' own port.
func (s *Simulator) PeerClient() *http.Client {
	return &http.Client{Transport: dispatcher.NewTransport(s.Network.Dial(s.client))}
}

// ClientIn returns an HTTP client of callers in the zone of a node.
func (s *Simulator) ClientIn(n *Node) *http.Client {
	host := netip.AddrFrom4([4]byte{10, 254, 0, byte(len(n.Zone) + len(s.Nodes))})
	s.Network.Add(host, network.Host{Region: n.Region, AvailabilityZone: n.Zone})
	return &http.Client{Transport: &http.Transport{DialContext: s.Network.Dial(host), DisableCompression: true, MaxIdleConnsPerHost: 512}}
}

func (n *Node) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(n.Host, port) }

// URL returns the address for callers of the node.
func (n *Node) URL(path string) string { return "http://" + n.at(callerPort).String() + path }

// ControlURL returns the address for operators.
func (n *Node) ControlURL() string { return "http://" + n.at(controlPort).String() }

// StartNode starts the node's process, as if it were new, unless it runs.
func (n *Node) StartNode() {
	n.process <- struct{}{}
	defer func() { <-n.process }()
	if n.running {
		return
	}
	n.running = true
	n.Log = logrus.New()
	n.Log.SetOutput(io.Discard)
	n.starts++
	options := runner.Options{
		Settings: n.Settings, Dial: n.simulator.Network.Dial(n.Host), Listen: n.simulator.Network.Listen,
		Log: n.Log, Clock: time.Now, Seed: uint64(len(n.simulator.Nodes))*1000 + n.starts, Table: n.table,
	}
	if n.simulator.options.Chooser != nil {
		options.Chooser = n.simulator.options.Chooser()
	}
	if n.simulator.options.Limiter != nil {
		options.Limiter = n.simulator.options.Limiter()
	}
	n.Runner = runner.New(options)
	ctx, cancel := context.WithCancel(context.Background())
	n.stopNode = cancel
	n.nodeEnded = make(chan struct{})
	started, ended := n.Runner, n.nodeEnded
	go func() {
		defer close(ended)
		_ = started.Run(ctx)
	}()
}

func (n *Node) table(count func(call, result string)) eelgrasspoint.Table {
	transport := &http.Transport{DialContext: n.simulator.Network.Dial(n.Host), IdleConnTimeout: 5 * time.Second}
	return connector.New(n.simulator.store, &http.Client{Transport: transport}, count)
}

// StopNode stops the node gracefully and waits for its end.
func (n *Node) StopNode() {
	n.process <- struct{}{}
	defer func() { <-n.process }()
	n.running = false
	n.stopNode()
	<-n.nodeEnded
}

// KillNode ends the node's process at once.
func (n *Node) KillNode() {
	n.process <- struct{}{}
	defer func() { <-n.process }()
	n.running = false
	n.simulator.Network.Kill(n.at(callerPort), n.at(peerPort), n.at(controlPort))
	n.Runner.Abort()
	n.simulator.Network.Reset(n.Host)
	<-n.nodeEnded
}

// StartBackend starts the backend server's process, as if it were new.
func (n *Node) StartBackend() {
	n.Backend = backend.New(n.Service, n.slots, n.behavior, n.crash)
	n.backends = append(n.backends, n.Backend)
	listener, err := n.simulator.Network.Listen("tcp", n.at(backendPort).String())
	if err != nil {
		return
	}
	n.server = quietServer(n.Backend)
	server := n.server
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	n.stopBackend = cancel
	go backend.Announce(ctx, n.announcer(), n.at(controlPort), backend.Announcement{
		Service: n.Service, Address: n.at(backendPort), Incarnation: uint64(time.Now().UnixNano()),
		Slots: n.slots, Connections: 260,
	})
}

// StopBackend lets the backend server say that it leaves and finish what it runs.
func (n *Node) StopBackend() {
	n.stopBackend()
	backend.Leave(n.announcer(), n.at(controlPort))
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	_ = n.server.Shutdown(ctx)
}

// stopLimit is how long a backend server waits for what it runs.
const stopLimit = 10 * time.Second

func (n *Node) announcer() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.simulator.Network.Dial(n.Host), DisableKeepAlives: true}}
}

// KillBackend ends the backend server's process at once and without a word.
func (n *Node) KillBackend() {
	if n.server == nil {
		return
	}
	n.simulator.Network.Kill(n.at(backendPort))
	n.stopBackend()
	_ = n.server.Close()
}

// Backends returns every backend server that was ever beside the node.
func (n *Node) Backends() []*backend.Backend { return n.backends }

// Behavior returns what the backend server beside the node does without faults.
func (n *Node) Behavior() backend.Behavior { return n.behavior }

// Crashes returns how often a request crashed the backend server.
func (n *Node) Crashes() int { return int(n.crashes.Load()) }

// crashRestart is how long a crashed backend server stays away.
const crashRestart = 2 * time.Second

// crash is called by the backend server while it runs a request.
func (n *Node) crash() {
	n.crashes.Add(1)
	go func() {
		n.KillBackend()
		time.Sleep(crashRestart)
		n.StartBackend()
	}()
}

func quietServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: time.Minute}
}
