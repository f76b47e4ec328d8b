// Package cluster starts nodes and stand-ins as separate processes on loopback, for the
// demonstration, the measurements and the tests that need real processes.
package cluster

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// Cluster is a set of processes that end with it.
type Cluster struct {
	bin      string
	dir      string
	Platform *Process
	// PlatformAddress takes the stand-in's faults at /standin.
	PlatformAddress netip.AddrPort
	Nodes           []*Node
}

// Process is one process of a cluster.
type Process struct {
	Name    string
	command *exec.Cmd
	ended   chan struct{}
	err     error
}

// Node is a node and the backend server beside it.
type Node struct {
	Name           string
	Region         string
	Zone           string
	Service        string
	Callers        netip.AddrPort
	Peers          netip.AddrPort
	Control        netip.AddrPort
	BackendAddress netip.AddrPort
	BackendControl netip.AddrPort
	Process        *Process
	Backend        *Process
	settings       string
	slots          int
	backendTime    time.Duration
	advertised     netip.AddrPort
	stopTimeout    time.Duration
}

// NodeSpec says what a node is to be.
type NodeSpec struct {
	Name        string
	Region      string
	Zone        string
	Service     string
	Slots       int
	ServiceTime time.Duration
	// WithoutBackend leaves the backend server out.
	WithoutBackend bool
	// Advertised is where other nodes reach the node, if not at the address that it listens on.
	Advertised netip.AddrPort
	// StopTimeout is the time that the node has to stop, or zero for its default.
	StopTimeout time.Duration
}

// New returns a cluster that runs the programs in bin and keeps its files in dir.
func New(bin, dir string) *Cluster { return &Cluster{bin: bin, dir: dir} }

// StartPlatform starts the stand-in of the platform.
func (c *Cluster) StartPlatform() (netip.AddrPort, error) {
	address, err := freeAddress()
	if err != nil {
		return address, err
	}
	c.PlatformAddress = address
	c.Platform, err = c.start("platform", "platform", "--address", address.String())
	return address, err
}

// StartNode starts a node and its backend server.
func (c *Cluster) StartNode(spec NodeSpec, platform netip.AddrPort, peers []netip.AddrPort) (*Node, error) {
	n := &Node{
		Name: spec.Name, Region: spec.Region, Zone: spec.Zone, Service: spec.Service,
		slots: spec.Slots, backendTime: spec.ServiceTime, advertised: spec.Advertised, stopTimeout: spec.StopTimeout,
	}
	for _, address := range []*netip.AddrPort{&n.Callers, &n.Peers, &n.Control, &n.BackendAddress, &n.BackendControl} {
		var err error
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	if err := c.writeSettings(n, platform, peers); err != nil {
		return nil, err
	}
	c.Nodes = append(c.Nodes, n)
	if err := c.RestartNode(n); err != nil || spec.WithoutBackend {
		return n, err
	}
	return n, c.RestartBackend(n)
}

// RestartNode starts the node's process again.
func (c *Cluster) RestartNode(n *Node) error {
	var err error
	n.Process, err = c.start(n.Name, "eelgrassd", "--settings", n.settings)
	return err
}

// RestartBackend starts the backend server's process again.
func (c *Cluster) RestartBackend(n *Node) error {
	var err error
	n.Backend, err = c.start(n.Name+"-backend", "backend",
		"--service", n.Service, "--address", n.BackendAddress.String(), "--node", n.Control.String(),
		"--control", n.BackendControl.String(), "--slots", strconv.Itoa(n.slots), "--time", n.backendTime.String())
	return err
}

// Stop ends every process that still runs.
func (c *Cluster) Stop() {
	for _, p := range c.processes() {
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range c.processes() {
		p.Wait(5 * time.Second)
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) {
	select {
	case <-p.ended:
	default:
		_ = p.command.Process.Signal(signal)
	}
}

// Wait reports whether the process ended without an error in time.
func (p *Process) Wait(limit time.Duration) bool {
	select {
	case <-p.ended:
		return p.err == nil
	case <-time.After(limit):
		return false
	}
}

// ResidentBytes returns the memory that the process holds now.
func (p *Process) ResidentBytes() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	_, _ = fmt.Sscan(string(data), &size, &resident)
	return resident * int64(os.Getpagesize())
}

// CPUTime returns the processor time that the process has used.
func (p *Process) CPUTime() time.Duration {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.command.Process.Pid))
	var total time.Duration
	for _, thread := range threads {
		data, err := os.ReadFile(thread)
		if err != nil {
			continue
		}
		var nanoseconds int64
		_, _ = fmt.Sscan(string(data), &nanoseconds)
		total += time.Duration(nanoseconds)
	}
	return total
}

// Run runs one of the programs to its end and returns its output and exit status.
func (c *Cluster) Run(program string, arguments ...string) (string, int) {
	command := exec.Command(filepath.Join(c.bin, program), arguments...)
	output, _ := command.CombinedOutput()
	return string(output), command.ProcessState.ExitCode()
}

// Path returns the path of a file of the cluster.
func (c *Cluster) Path(name string) string { return filepath.Join(c.dir, name) }

func (c *Cluster) processes() []*Process {
	var list []*Process
	if c.Platform != nil {
		list = append(list, c.Platform)
	}
	for _, n := range c.Nodes {
		for _, p := range []*Process{n.Process, n.Backend} {
			if p != nil {
				list = append(list, p)
			}
		}
	}
	return list
}

func (c *Cluster) start(name, program string, arguments ...string) (*Process, error) {
	log, err := os.OpenFile(c.Path(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &Process{Name: name, command: exec.Command(filepath.Join(c.bin, program), arguments...), ended: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.err = p.command.Wait()
		close(p.ended)
	}()
	return p, nil
}

func (c *Cluster) writeSettings(n *Node, platform netip.AddrPort, peers []netip.AddrPort) error {
	n.settings = c.Path(n.Name + ".json")
	settings := map[string]any{
		"Name": n.Name, "Region": n.Region, "AvailabilityZone": n.Zone,
		"CallerAddress": n.Callers, "PeerAddress": n.Peers, "ControlAddress": n.Control, "Peers": peers,
	}
	if n.advertised.IsValid() {
		settings["AdvertisedAddress"] = n.advertised
	}
	if n.stopTimeout > 0 {
		settings["StopTimeout"] = n.stopTimeout.String()
	}
	if platform.IsValid() {
		settings["Platform"] = platform
		settings["PlatformRegion"] = c.platformRegion(n)
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(n.settings, data, 0o600)
}

// platformRegion is that of the first node.
func (c *Cluster) platformRegion(n *Node) string {
	if len(c.Nodes) == 0 {
		return n.Region
	}
	return c.Nodes[0].Region
}

// Ports are taken from below the range that the system gives to outgoing connections.
const (
	firstPort = 12000
	lastPort  = 30000
)

// nextPort goes on from a place that differs between processes.
var nextPort = firstPort + os.Getpid()*37%(lastPort-firstPort)

// freeAddress returns a loopback address whose port is free now.
func freeAddress() (netip.AddrPort, error) {
	for range lastPort - firstPort {
		nextPort++
		if nextPort > lastPort {
			nextPort = firstPort
		}
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(nextPort))
		listener, err := net.Listen("tcp", address.String())
		if err == nil {
			return address, listener.Close()
		}
	}
	return netip.AddrPort{}, fmt.Errorf("no free port between %d and %d", firstPort, lastPort)
}
