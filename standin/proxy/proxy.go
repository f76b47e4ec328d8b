// Package proxy is a fault-injecting TCP proxy on loopback. A test uses it to delay, stall and reset
// the connections between real processes without changes to the processes.
package proxy

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// Proxy forwards connections to its target. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	closed   chan struct{}

	mu          sync.Mutex
	target      netip.AddrPort
	delay       time.Duration
	stall       Stall
	connections map[*connection]struct{}
}

// Stall selects the directions in which bytes are held back until a later SetStall clears them; the
// connections stay open. StallConnections, in contrast, is permanent.
type Stall struct{ ToTarget, FromTarget bool }

// connection is one relayed connection: the caller's socket and the one to the target.
type connection struct {
	caller, target net.Conn
	// stalled permanently stops both directions. StallConnections sets it.
	stalled bool
}

const (
	// bufferBytes is the size of the copy buffer of each direction.
	bufferBytes = 32 << 10

	// stallPollInterval is the time between two checks whether a stalled direction may resume.
	stallPollInterval = 5 * time.Millisecond
	// connectTimeout bounds the attempt to connect to the target.
	connectTimeout = time.Second
)

// New returns a proxy that listens on a loopback port. It has no target until SetTarget is called.
func New() (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, closed: make(chan struct{}), connections: make(map[*connection]struct{})}
	go p.acceptConnections()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

// SetTarget sets the address to which new connections are forwarded.
func (p *Proxy) SetTarget(target netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// SetDelay sets the delay in each direction. Each read of up to 32 KiB is held for the delay before it
// is forwarded, so that a delay also limits the throughput.
func (p *Proxy) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// SetStall holds bytes back in the given directions. Bytes held back are forwarded once the stall is
// cleared.
func (p *Proxy) SetStall(stall Stall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stall = stall
}

// StallConnections permanently stalls the connections that are open now; new ones work.
func (p *Proxy) StallConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		c.stalled = true
	}
}

// Reset closes the connections that are open now with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		c.reset()
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	close(p.closed)
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) acceptConnections() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.relay(conn)
	}
}

// relay connects to the target and forwards both directions until both have ended. It resets the
// caller's connection if the target cannot be reached.
func (p *Proxy) relay(caller net.Conn) {
	p.mu.Lock()
	address := p.target
	p.mu.Unlock()
	target, err := net.DialTimeout("tcp", address.String(), connectTimeout)
	if err != nil {
		resetConn(caller)
		return
	}
	c := &connection{caller: caller, target: target}
	p.mu.Lock()
	p.connections[c] = struct{}{}
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.forward(c, target, caller, func(s Stall) bool { return s.ToTarget }) })
	group.Go(func() { p.forward(c, caller, target, func(s Stall) bool { return s.FromTarget }) })
	group.Wait()
	p.mu.Lock()
	delete(p.connections, c)
	p.mu.Unlock()
	_ = caller.Close()
	_ = target.Close()
}

// forward relays one direction until it ends.
func (p *Proxy) forward(c *connection, to, from net.Conn, isStalled func(Stall) bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.waitToForward(c, isStalled) {
				return
			}
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				c.reset()
				return
			}
		}
		if err != nil {
			// The end of the direction is delayed and stalled as its bytes are.
			p.waitToForward(c, isStalled)
			closeWrite(to)
			return
		}
	}
}

// waitToForward sleeps for the delay and then blocks while the direction is stalled. It reports
// false if the proxy is closed before the stall ends.
func (p *Proxy) waitToForward(c *connection, isStalled func(Stall) bool) bool {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	for {
		p.mu.Lock()
		wait := c.stalled || isStalled(p.stall)
		p.mu.Unlock()
		if !wait {
			return true
		}
		select {
		case <-p.closed:
			return false
		case <-time.After(stallPollInterval):
		}
	}
}

func (c *connection) reset() {
	resetConn(c.caller)
	resetConn(c.target)
}

// resetConn closes a connection with a TCP reset instead of a FIN.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
