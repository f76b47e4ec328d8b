// Package network simulates the network between VMs: in-memory connections with latency, links of
// limited bandwidth and faults. In a testing/synctest bubble it runs in virtual time.
package network

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// Host describes a VM by its location.
type Host struct {
	Region           string
	AvailabilityZone string
}

// Network is a simulated network of hosts. It is safe for concurrent use.
type Network struct {
	conditions Conditions

	mu          sync.Mutex
	hosts       map[netip.Addr]Host
	listeners   map[netip.AddrPort]*listener
	conns       map[*conn]struct{}
	blackholed  map[netip.Addr]bool
	partitioned bool
	// linkFreeAt is, by sending region, the time at which the link that leaves the region has sent
	// all bytes written so far.
	linkFreeAt map[string]time.Time
	linkBytes  int64
	tap        func(from, to Host, data []byte)
}

// Conditions are the properties of the network without faults.
type Conditions struct {
	// SameZone, SameRegion and OtherRegion are one-way latencies.
	SameZone    time.Duration
	SameRegion  time.Duration
	OtherRegion time.Duration
	// LinkBytesPerSecond is the bandwidth of all traffic that leaves a region for other regions; zero is
	// unlimited.
	LinkBytesPerSecond int64
}

// New returns a network without hosts.
func New(conditions Conditions) *Network {
	return &Network{
		conditions: conditions, hosts: make(map[netip.Addr]Host), listeners: make(map[netip.AddrPort]*listener),
		conns: make(map[*conn]struct{}), blackholed: make(map[netip.Addr]bool), linkFreeAt: make(map[string]time.Time),
	}
}

// Add registers a host at an address, or replaces the host registered there.
func (n *Network) Add(address netip.Addr, host Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[address] = host
}

// Dial returns the function with which a host opens connections, for http.Transport.DialContext.
func (n *Network) Dial(from netip.Addr) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, err
		}
		return n.dial(ctx, from, to)
	}
}

// DialWithTimeout is like Dial, but the connections are reset if they are stalled for the timeout after a write, like
// those of TCP with a user timeout.
func (n *Network) DialWithTimeout(from netip.Addr, timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	dial := n.Dial(from)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if c, ok := opened.(*conn); ok && err == nil {
			c.userTimeout = timeout
		}
		return opened, err
	}
}

// Listen opens a listening port on a host. It fails with EADDRINUSE if the port is already open.
func (n *Network) Listen(_, address string) (net.Listener, error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addrPort] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
	}
	l := &listener{network: n, address: addrPort, backlog: make(chan net.Conn, 128), closed: make(chan struct{})}
	n.listeners[addrPort] = l
	return l, nil
}

// Tap sets a function that every write calls with its data before the data is sent, also if the data
// never arrives. Several writes may call it at once.
func (n *Network) Tap(tap func(from, to Host, data []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tap = tap
}

func (n *Network) callTap(c *conn, data []byte) {
	n.mu.Lock()
	tap, from, to := n.tap, n.hosts[c.local.Addr()], n.hosts[c.remote.Addr()]
	n.mu.Unlock()
	if tap != nil {
		tap(from, to, data)
	}
}

// LinkBytes returns the number of bytes sent between regions so far.
func (n *Network) LinkBytes() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.linkBytes
}

// dial opens a connection after one round trip.
func (n *Network) dial(ctx context.Context, from netip.Addr, to netip.AddrPort) (net.Conn, error) {
	latency, crossRegion := n.latency(from, to.Addr())
	if err := sleep(ctx, 2*latency); err != nil {
		return nil, dialError(to, err)
	}
	if n.unreachable(from, to.Addr(), crossRegion) {
		return nil, dialError(to, waitForConnectTimeout(ctx))
	}
	n.mu.Lock()
	l := n.listeners[to]
	n.mu.Unlock()
	if l == nil {
		return nil, dialError(to, os.NewSyscallError("connect", syscall.ECONNREFUSED))
	}
	dialed, accepted := n.newConnPair(from, to, latency, crossRegion)
	select {
	case l.backlog <- accepted:
		return dialed, nil
	case <-l.closed:
		return nil, dialError(to, os.NewSyscallError("connect", syscall.ECONNREFUSED))
	case <-ctx.Done():
		return nil, dialError(to, ctx.Err())
	}
}

func (n *Network) unreachable(from, to netip.Addr, crossRegion bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if from == to {
		return false
	}
	return n.blackholed[from] || n.blackholed[to] || crossRegion && n.partitioned
}

// latency returns the one-way latency between two hosts, and whether they are in different regions.
func (n *Network) latency(from, to netip.Addr) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a, b := n.hosts[from], n.hosts[to]
	switch {
	case from == to:
		return 0, false
	case a.Region != b.Region:
		return n.conditions.OtherRegion, true
	case a.AvailabilityZone != b.AvailabilityZone:
		return n.conditions.SameRegion, false
	default:
		return n.conditions.SameZone, false
	}
}

// arrivalTime returns when bytes that are written now arrive. Bytes to another region are sent once the
// link that leaves the sender's region has sent all earlier bytes.
func (n *Network) arrivalTime(c *conn, bytes int) time.Time {
	now := time.Now()
	if !c.crossRegion {
		return now.Add(c.latency)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.linkBytes += int64(bytes)
	if n.conditions.LinkBytesPerSecond == 0 {
		return now.Add(c.latency)
	}
	region := n.hosts[c.local.Addr()].Region
	freeAt := n.linkFreeAt[region]
	if freeAt.Before(now) {
		freeAt = now
	}
	freeAt = freeAt.Add(time.Duration(int64(bytes) * int64(time.Second) / n.conditions.LinkBytesPerSecond))
	n.linkFreeAt[region] = freeAt
	return freeAt.Add(c.latency)
}

// newConnPair returns the dialing end and the accepting end of a new connection.
func (n *Network) newConnPair(from netip.Addr, to netip.AddrPort, latency time.Duration, crossRegion bool) (*conn, *conn) {
	forward, backward := newStream(), newStream()
	source := netip.AddrPortFrom(from, 0)
	dialed := &conn{network: n, local: source, remote: to, latency: latency, crossRegion: crossRegion, in: backward, out: forward}
	accepted := &conn{network: n, local: to, remote: source, latency: latency, crossRegion: crossRegion, in: forward, out: backward}
	dialed.init()
	accepted.init()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[dialed] = struct{}{}
	n.conns[accepted] = struct{}{}
	return dialed, accepted
}

func (n *Network) removeConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// forEachConn calls apply, without the lock, for each connection end that matches.
func (n *Network) forEachConn(match func(*conn) bool, apply func(*conn)) {
	n.mu.Lock()
	var matching []*conn
	for c := range n.conns {
		if match(c) {
			matching = append(matching, c)
		}
	}
	n.mu.Unlock()
	for _, c := range matching {
		apply(c)
	}
}

func dialError(to netip.AddrPort, err error) error {
	return &net.OpError{Op: "dial", Net: "tcp", Addr: net.TCPAddrFromAddrPort(to), Err: err}
}

// ConnectTimeout is how long the operating system of a host tries to connect to an unreachable
// address, unless the dial's context ends earlier.
const ConnectTimeout = 2 * time.Minute

// waitForConnectTimeout returns ETIMEDOUT after ConnectTimeout, or the error of ctx if it ends earlier.
func waitForConnectTimeout(ctx context.Context) error {
	if err := sleep(ctx, ConnectTimeout); err != nil {
		return err
	}
	return os.NewSyscallError("connect", syscall.ETIMEDOUT)
}

func sleep(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type listener struct {
	network *Network
	address netip.AddrPort
	backlog chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }
