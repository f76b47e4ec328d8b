// Package simulator runs real nodes with simulated backend servers and a simulated platform on an
// in-memory network, so that tests exercise the shipped code in virtual time.
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
	"eelgrasspoint/standin/follower"
	"eelgrasspoint/standin/network"
	"eelgrasspoint/standin/platform"
	"eelgrasspoint/state/connector"
	"eelgrasspoint/state/loader"
	"eelgrasspoint/transport/dispatcher"
)

// Simulator runs nodes, backend servers and a platform in one process on a simulated network.
type Simulator struct {
	Network         *network.Network
	Platform        *platform.Platform
	Nodes           []*Node
	callerHost      netip.Addr
	platformAddress netip.AddrPort
	options         Options
}

// Options configures a Simulator.
type Options struct {
	// Shape sets the latencies and the bandwidth of the network.
	Shape network.Conditions
	// StoreRegion is the region of the platform.
	StoreRegion string
	// Chooser and Limiter, unless nil, return the chooser and the limiter of each node that starts, in
	// place of the default ones.
	Chooser func() eelgrasspoint.Chooser
	Limiter func() eelgrasspoint.Limiter
	// Follows makes the nodes wait at the platform for changes of the configuration, which Publish makes.
	Follows bool
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
	// Incarnation is that of the backend server.
	Incarnation uint64
	Log         *logrus.Logger
	Runner      *runner.Runner

	simulator      *Simulator
	slots          int
	behavior       backend.Behavior
	cancelNode     context.CancelFunc
	nodeDone       chan struct{}
	nodeError      error
	cancelAnnounce context.CancelFunc
	httpServer     *http.Server
	startCount     uint64
	// processLock holds one value while the node's process is started or stopped. It is a channel
	// because a goroutine that waits for a mutex would stop virtual time.
	processLock chan struct{}
	running     bool
	backends    []*backend.Backend
	crashes     atomic.Int64
}

// Ports, the same on every host.
const (
	callerPort   = 7000
	peerPort     = 7001
	controlPort  = 7002
	backendPort  = 8000
	platformPort = 9000
)

// New returns a simulator with a running platform and no nodes.
func New(options Options) *Simulator {
	s := &Simulator{Network: network.New(options.Shape), Platform: platform.New(), options: options}
	s.callerHost = netip.AddrFrom4([4]byte{10, 255, 0, 1})
	platformHost := netip.AddrFrom4([4]byte{10, 255, 0, 2})
	s.Network.Add(s.callerHost, network.Host{Region: options.StoreRegion, AvailabilityZone: "callers"})
	s.Network.Add(platformHost, network.Host{Region: options.StoreRegion, AvailabilityZone: "store"})
	s.platformAddress = netip.AddrPortFrom(platformHost, platformPort)
	s.servePlatform()
	return s
}

func (s *Simulator) servePlatform() {
	listener, _ := s.Network.Listen("tcp", s.platformAddress.String())
	server := newServer(s.Platform)
	go func() { _ = server.Serve(listener) }()
}

// AddNode starts a node and, if slots is not zero, the backend server beside it.
func (s *Simulator) AddNode(region, zone, service string, slots int, behavior backend.Behavior) *Node {
	number := len(s.Nodes) + 1
	host := netip.AddrFrom4([4]byte{10, 0, byte(number / 250), byte(number%250 + 1)})
	s.Network.Add(host, network.Host{Region: region, AvailabilityZone: zone})
	n := &Node{
		Name: fmt.Sprintf("%s-%s-%d", zone, service, number), Region: region, Zone: zone, Service: service,
		Host: host, simulator: s, slots: slots, behavior: behavior, processLock: make(chan struct{}, 1),
	}
	n.Settings = &loader.Settings{
		Name: n.Name, Cluster: "stage", Region: region, AvailabilityZone: zone,
		CallerAddress: n.address(callerPort), PeerAddress: n.address(peerPort), AdvertisedAddress: n.address(peerPort), ControlAddress: n.address(controlPort),
		Platform: s.platformAddress, PlatformRegion: s.options.StoreRegion, LogLevel: "debug", ColdOvershoot: 1, MaxBodyBytes: 64 << 20, StopTimeout: 20 * time.Second,
	}
	s.Nodes = append(s.Nodes, n)
	n.StartNode()
	if slots > 0 {
		n.StartBackend()
	}
	return n
}

// Close stops all processes. A synctest bubble must not end with goroutines running, so Close also
// waits until pending attempts to connect have reached network.ConnectTimeout, and one minute longer as
// a margin for goroutines that end after them.
func (s *Simulator) Close() {
	s.Network.Heal()
	for _, n := range s.Nodes {
		s.Network.Restore(n.Host)
		n.KillBackend()
		n.KillNode()
	}
	s.Network.Kill(s.platformAddress)
	for _, n := range s.Nodes {
		<-n.nodeDone
	}
	time.Sleep(network.ConnectTimeout + time.Minute)
}

// HTTPClient returns a new HTTP client for callers outside the nodes' zones, without open connections.
func (s *Simulator) HTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: s.Network.Dial(s.callerHost), DisableCompression: true, MaxIdleConnsPerHost: 512}}
}

// PeerHTTPClient returns an HTTP/2 client for the port on which nodes serve each other.
func (s *Simulator) PeerHTTPClient() *http.Client {
	return &http.Client{Transport: dispatcher.NewTransport(s.Network.Dial(s.callerHost))}
}

// HTTPClientIn returns a new HTTP client for callers in the zone of a node. The address of the client's host
// depends only on the length of the zone's name and the number of nodes. Clients with the same address
// share one host, which is in the zone of the latest call, also for the earlier clients.
func (s *Simulator) HTTPClientIn(n *Node) *http.Client {
	host := netip.AddrFrom4([4]byte{10, 254, 0, byte(len(n.Zone) + len(s.Nodes))})
	s.Network.Add(host, network.Host{Region: n.Region, AvailabilityZone: n.Zone})
	return &http.Client{Transport: &http.Transport{DialContext: s.Network.Dial(host), DisableCompression: true, MaxIdleConnsPerHost: 512}}
}

func (n *Node) address(port uint16) netip.AddrPort { return netip.AddrPortFrom(n.Host, port) }

// URL returns the URL of a path at the node's port for callers.
func (n *Node) URL(path string) string { return "http://" + n.address(callerPort).String() + path }

// BackendAddress returns the address of the backend server beside the node.
func (n *Node) BackendAddress() netip.AddrPort { return n.address(backendPort) }

// ControlURL returns the base URL of the node's port for operators.
func (n *Node) ControlURL() string { return "http://" + n.address(controlPort).String() }

// StartNode starts a new process of the node, without state of earlier ones, unless one is running.
func (n *Node) StartNode() {
	n.processLock <- struct{}{}
	defer func() { <-n.processLock }()
	if n.running {
		return
	}
	n.running = true
	n.Log = logrus.New()
	n.Log.SetOutput(io.Discard)
	n.startCount++
	options := runner.Options{
		Settings: n.Settings, Dial: n.simulator.Network.Dial(n.Host),
		BackendDial: n.simulator.Network.DialWithTimeout(n.Host, eelgrasspoint.BackendSilenceLimit), Listen: n.simulator.Network.Listen,
		Log: n.Log, Clock: time.Now, Seed: uint64(len(n.simulator.Nodes))*1000 + n.startCount, Table: n.newTable,
	}
	if n.simulator.options.Chooser != nil {
		options.Chooser = n.simulator.options.Chooser()
	}
	if n.simulator.options.Limiter != nil {
		options.Limiter = n.simulator.options.Limiter()
	}
	if n.simulator.options.Follows {
		options.Source = n.newSource
	}
	n.Runner = runner.New(options)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancelNode = cancel
	n.nodeDone = make(chan struct{})
	nodeRunner, nodeDone := n.Runner, n.nodeDone
	go func() {
		defer close(nodeDone)
		n.nodeError = nodeRunner.Run(ctx)
	}()
}

func (n *Node) newTable(count func(call, result string)) eelgrasspoint.Table {
	transport := &http.Transport{DialContext: n.simulator.Network.Dial(n.Host), IdleConnTimeout: 5 * time.Second}
	return connector.New(n.simulator.platformAddress, &http.Client{Transport: transport}, count)
}

func (n *Node) newSource(wait func() time.Duration) eelgrasspoint.Source {
	transport := &http.Transport{DialContext: n.simulator.Network.Dial(n.Host), IdleConnTimeout: eelgrasspoint.StoreSilenceLimit}
	return follower.New(n.simulator.platformAddress, &http.Client{Transport: transport}, wait)
}

// StopNode shuts the node down gracefully and waits until it has ended, which closes the connections that
// are still open.
func (n *Node) StopNode() {
	n.processLock <- struct{}{}
	defer func() { <-n.processLock }()
	n.running = false
	n.cancelNode()
	<-n.nodeDone
	n.simulator.Network.Exit(n.address(callerPort), n.address(peerPort), n.address(controlPort))
}

// RunError returns the error with which the node's process ended last.
func (n *Node) RunError() error { return n.nodeError }

// KillNode ends the node's process without a graceful shutdown and resets all connections of its host.
func (n *Node) KillNode() {
	n.processLock <- struct{}{}
	defer func() { <-n.processLock }()
	n.running = false
	n.simulator.Network.Kill(n.address(callerPort), n.address(peerPort), n.address(controlPort))
	n.Runner.Abort()
	n.simulator.Network.Reset(n.Host)
	<-n.nodeDone
}

// newServer returns an HTTP server that discards its error log.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: time.Minute}
}
