// Package cluster runs nodes, simulated backend servers and a simulated platform as separate processes
// on loopback, for the demonstration, the measurements and the tests that need real processes.
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
	"strings"
	"syscall"
	"time"
)

// Cluster is a set of processes that Stop ends.
type Cluster struct {
	binDir   string
	dir      string
	Platform *Process
	// PlatformAddress is the address of the platform. A POST of platform.Faults as JSON to the path
	// /standin there replaces the faults that the platform injects.
	PlatformAddress netip.AddrPort
	Nodes           []*Node
}

// Process is one process of a cluster.
type Process struct {
	Name    string
	command *exec.Cmd
	done    chan struct{}
	exitErr error
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
	settingsFile   string
	slots          int
	serviceTime    time.Duration
	advertised     netip.AddrPort
	stopTimeout    time.Duration
}

// NodeSpec configures a node and the backend server beside it.
type NodeSpec struct {
	Name        string
	Region      string
	Zone        string
	Service     string
	Slots       int
	ServiceTime time.Duration
	// WithoutBackend leaves the backend server out.
	WithoutBackend bool
	// Advertised is the address for other nodes, if it differs from the address that the node listens on.
	Advertised netip.AddrPort
	// StopTimeout bounds the node's graceful shutdown; zero means the node's default.
	StopTimeout time.Duration
}

// New returns a cluster that runs the programs in binDir and keeps its settings and logs in dir.
func New(binDir, dir string) *Cluster { return &Cluster{binDir: binDir, dir: dir} }

// StartPlatform starts the simulated platform and returns its address.
func (c *Cluster) StartPlatform() (netip.AddrPort, error) {
	address, err := freeAddress()
	if err != nil {
		return address, err
	}
	c.PlatformAddress = address
	c.Platform, err = c.startProcess("platform", "platform", "--address", address.String())
	return address, err
}

// StartNode starts a node and, unless the spec excludes it, the backend server beside it. Without a valid
// platform address the node runs without a platform. peers are the addresses of other nodes to contact
// first.
func (c *Cluster) StartNode(spec NodeSpec, platform netip.AddrPort, peers []netip.AddrPort) (*Node, error) {
	n := &Node{
		Name: spec.Name, Region: spec.Region, Zone: spec.Zone, Service: spec.Service,
		slots: spec.Slots, serviceTime: spec.ServiceTime, advertised: spec.Advertised, stopTimeout: spec.StopTimeout,
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
	if err := c.StartNodeProcess(n); err != nil || spec.WithoutBackend {
		return n, err
	}
	return n, c.StartBackendProcess(n)
}

// StartNodeProcess starts the node's process, for the first time or again. The process must not
// be running.
func (c *Cluster) StartNodeProcess(n *Node) error {
	var err error
	n.Process, err = c.startProcess(n.Name, "eelgrassd", "--settings", n.settingsFile)
	return err
}

// StartBackendProcess starts the backend server's process, for the first time or again. The process
// must not be running.
func (c *Cluster) StartBackendProcess(n *Node) error {
	var err error
	n.Backend, err = c.startProcess(n.Name+"-backend", "backend",
		"--service", n.Service, "--address", n.BackendAddress.String(), "--node", n.Control.String(),
		"--control", n.BackendControl.String(), "--slots", strconv.Itoa(n.slots), "--time", n.serviceTime.String())
	return err
}

// Stop kills every process that is still running and waits up to 5 s for each.
func (c *Cluster) Stop() {
	for _, p := range c.processes() {
		// SIGCONT resumes a process that was paused with SIGSTOP.
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range c.processes() {
		p.Wait(5 * time.Second)
	}
}

// Signal sends a signal to the process, unless it has ended.
func (p *Process) Signal(signal syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.command.Process.Signal(signal)
	}
}

// Wait reports whether the process ended without an error within the timeout.
func (p *Process) Wait(timeout time.Duration) bool {
	select {
	case <-p.done:
		return p.exitErr == nil
	case <-time.After(timeout):
		return false
	}
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// OpenDescriptors returns the number of descriptors that the process has open, or 0 if it cannot be read.
func (p *Process) OpenDescriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// ResidentBytes returns the resident memory of the process now, or 0 if it cannot be read.
func (p *Process) ResidentBytes() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	_, _ = fmt.Sscan(string(data), &size, &resident)
	return resident * int64(os.Getpagesize())
}

// PeakResidentBytes returns the highest resident memory of the process so far, or 0 if it cannot be read.
func (p *Process) PeakResidentBytes() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			var kilobytes int64
			_, _ = fmt.Sscan(value, &kilobytes)
			return kilobytes << 10
		}
	}
	return 0
}

// CPUTime returns the CPU time used so far by the threads that the process has now.
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

// Run runs a program to completion and returns its combined output and its exit status.
func (c *Cluster) Run(program string, arguments ...string) (string, int) {
	command := exec.Command(filepath.Join(c.binDir, program), arguments...)
	output, _ := command.CombinedOutput()
	return string(output), command.ProcessState.ExitCode()
}

// Path returns the path of a file in the cluster's directory.
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

// startProcess starts a program whose output is appended to NAME.log.
func (c *Cluster) startProcess(name, program string, arguments ...string) (*Process, error) {
	log, err := os.OpenFile(c.Path(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &Process{Name: name, command: exec.Command(filepath.Join(c.binDir, program), arguments...), done: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.exitErr = p.command.Wait()
		close(p.done)
	}()
	return p, nil
}

// writeSettings writes the node's settings to NAME.json.
func (c *Cluster) writeSettings(n *Node, platform netip.AddrPort, peers []netip.AddrPort) error {
	n.settingsFile = c.Path(n.Name + ".json")
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
	return os.WriteFile(n.settingsFile, data, 0o600)
}

// platformRegion returns the region of the cluster's first node, where the platform is assumed to be.
func (c *Cluster) platformRegion(n *Node) string {
	if len(c.Nodes) == 0 {
		return n.Region
	}
	return c.Nodes[0].Region
}

// Ports are chosen below the range that the operating system uses for outgoing connections.
const (
	firstPort = 12000
	lastPort  = 30000
)

// portsPerProcess is the distance between the first ports of processes with consecutive IDs. A node that is down
// must find its ports free when it starts again, so processes that run at once should not try the same ones.
const portsPerProcess = 1511

// lastTriedPort is the port that freeAddress tried last.
var lastTriedPort = firstPort + os.Getpid()*portsPerProcess%(lastPort-firstPort)

// freeAddress returns a loopback address whose port is free at the time of the call.
func freeAddress() (netip.AddrPort, error) {
	for range lastPort - firstPort {
		lastTriedPort++
		if lastTriedPort > lastPort {
			lastTriedPort = firstPort
		}
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(lastTriedPort))
		listener, err := net.Listen("tcp", address.String())
		if err == nil {
			return address, listener.Close()
		}
	}
	return netip.AddrPort{}, fmt.Errorf("no free port between %d and %d", firstPort, lastPort)
}
