// Package network stands in for the network between VMs: connections in memory with
// latency, bounded links and faults, in virtual time when run in a testing/synctest bubble.
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

// Host is one VM.
type Host struct {
	Region           string
	AvailabilityZone string
}

// Network connects hosts. It is safe for concurrent use.
type Network struct {
	shape Conditions

	mu        sync.Mutex
	hosts     map[netip.Addr]Host
	listeners map[netip.AddrPort]*listener
	conns     map[*conn]struct{}
	lost      map[netip.Addr]bool
	cut       bool
	linkFree  map[string]time.Time
	linkBytes int64
	tap       func(from, to Host, data []byte)
}

// Conditions are the properties of the network without faults.
type Conditions struct {
	// SameZone, SameRegion and OtherRegion are one-way latencies.
	SameZone    time.Duration
	SameRegion  time.Duration
	OtherRegion time.Duration
	// LinkBytesPerSecond bounds each direction between two regions, unless zero.
	LinkBytesPerSecond int64
}

// New returns a network without hosts.
func New(shape Conditions) *Network {
	return &Network{
		shape: shape, hosts: make(map[netip.Addr]Host), listeners: make(map[netip.AddrPort]*listener),
		conns: make(map[*conn]struct{}), lost: make(map[netip.Addr]bool), linkFree: make(map[string]time.Time),
	}
}

// Add places a host.
func (n *Network) Add(address netip.Addr, host Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[address] = host
}

// Dial returns the dialing function of a host.
func (n *Network) Dial(from netip.Addr) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, err
		}
		return n.dial(ctx, from, to)
	}
}

// Listen opens a listening port on a host.
func (n *Network) Listen(_, address string) (net.Listener, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[at] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
	}
	l := &listener{network: n, address: at, arrivals: make(chan net.Conn, 128), closed: make(chan struct{})}
	n.listeners[at] = l
	return l, nil
}

// Kill ends every port and connection of a process whose ports are at the address.
func (n *Network) Kill(addresses ...netip.AddrPort) {
	for _, address := range addresses {
		n.mu.Lock()
		l := n.listeners[address]
		n.mu.Unlock()
		if l != nil {
			_ = l.Close()
		}
		n.each(func(c *conn) bool { return c.local == address || c.remote == address }, (*conn).reset)
	}
}

// Blackhole drops all traffic of a host without resets, as when its VM is gone.
func (n *Network) Blackhole(host netip.Addr) {
	n.mu.Lock()
	n.lost[host] = true
	n.mu.Unlock()
	n.StallConnections(host)
}

// Restore makes a blackholed host reachable for new connections.
func (n *Network) Restore(host netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.lost, host)
}

// StallConnections stalls every open connection of a host for good; new ones work.
func (n *Network) StallConnections(host netip.Addr) {
	n.each(func(c *conn) bool { return c.touches(host) }, (*conn).silence)
}

// Reset breaks every open connection of a host.
func (n *Network) Reset(host netip.Addr) {
	n.each(func(c *conn) bool { return c.touches(host) }, (*conn).reset)
}

// Partition separates the regions until Heal; open connections between them stall for good.
func (n *Network) Partition() {
	n.mu.Lock()
	n.cut = true
	n.mu.Unlock()
	n.each(func(c *conn) bool { return c.crosses }, (*conn).silence)
}

// Heal ends a partition.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = false
}

// Tap shows every write between hosts to a function.
func (n *Network) Tap(tap func(from, to Host, data []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tap = tap
}

func (n *Network) show(c *conn, data []byte) {
	n.mu.Lock()
	tap, from, to := n.tap, n.hosts[c.local.Addr()], n.hosts[c.remote.Addr()]
	n.mu.Unlock()
	if tap != nil {
		tap(from, to, data)
	}
}

// LinkBytes returns the bytes that went between regions.
func (n *Network) LinkBytes() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.linkBytes
}

func (n *Network) dial(ctx context.Context, from netip.Addr, to netip.AddrPort) (net.Conn, error) {
	latency, crosses := n.latency(from, to.Addr())
	if err := sleep(ctx, 2*latency); err != nil {
		return nil, dialError(to, err)
	}
	if n.unreachable(from, to.Addr(), crosses) {
		return nil, dialError(to, noAnswer(ctx))
	}
	n.mu.Lock()
	l := n.listeners[to]
	n.mu.Unlock()
	if l == nil {
		return nil, dialError(to, os.NewSyscallError("connect", syscall.ECONNREFUSED))
	}
	near, far := n.pair(from, to, latency, crosses)
	select {
	case l.arrivals <- far:
		return near, nil
	case <-l.closed:
		return nil, dialError(to, os.NewSyscallError("connect", syscall.ECONNREFUSED))
	case <-ctx.Done():
		return nil, dialError(to, ctx.Err())
	}
}

func (n *Network) unreachable(from, to netip.Addr, crosses bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if from == to {
		return false
	}
	return n.lost[from] || n.lost[to] || crosses && n.cut
}

func (n *Network) latency(from, to netip.Addr) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a, b := n.hosts[from], n.hosts[to]
	switch {
	case from == to:
		return 0, false
	case a.Region != b.Region:
		return n.shape.OtherRegion, true
	case a.AvailabilityZone != b.AvailabilityZone:
		return n.shape.SameRegion, false
	default:
		return n.shape.SameZone, false
	}
}

// arrival returns when bytes that are sent now arrive.
func (n *Network) arrival(c *conn, bytes int) time.Time {
	now := time.Now()
	if !c.crosses {
		return now.Add(c.latency)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.linkBytes += int64(bytes)
	if n.shape.LinkBytesPerSecond == 0 {
		return now.Add(c.latency)
	}
	direction := n.hosts[c.local.Addr()].Region
	free := n.linkFree[direction]
	if free.Before(now) {
		free = now
	}
	free = free.Add(time.Duration(int64(bytes) * int64(time.Second) / n.shape.LinkBytesPerSecond))
	n.linkFree[direction] = free
	return free.Add(c.latency)
}

func (n *Network) pair(from netip.Addr, to netip.AddrPort, latency time.Duration, crosses bool) (*conn, *conn) {
	there, back := newStream(), newStream()
	source := netip.AddrPortFrom(from, 0)
	near := &conn{network: n, local: source, remote: to, latency: latency, crosses: crosses, in: back, out: there}
	far := &conn{network: n, local: to, remote: source, latency: latency, crosses: crosses, in: there, out: back}
	near.init()
	far.init()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[near] = struct{}{}
	n.conns[far] = struct{}{}
	return near, far
}

func (n *Network) forget(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

func (n *Network) each(chosen func(*conn) bool, apply func(*conn)) {
	n.mu.Lock()
	var list []*conn
	for c := range n.conns {
		if chosen(c) {
			list = append(list, c)
		}
	}
	n.mu.Unlock()
	for _, c := range list {
		apply(c)
	}
}

func dialError(to netip.AddrPort, err error) error {
	return &net.OpError{Op: "dial", Net: "tcp", Addr: net.TCPAddrFromAddrPort(to), Err: err}
}

// ConnectTimeout is how long a system tries to open a connection by itself.
const ConnectTimeout = 2 * time.Minute

func noAnswer(ctx context.Context) error {
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
	network  *Network
	address  netip.AddrPort
	arrivals chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.arrivals:
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
