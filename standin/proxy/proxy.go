// Package proxy is a fault-injecting TCP proxy on loopback: it delays, stalls and resets what
// passes, so that a test can disturb the connections of real processes from outside.
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
	ended    chan struct{}

	mu     sync.Mutex
	target netip.AddrPort
	delay  time.Duration
	stall  Stall
	pairs  map[*pair]struct{}
}

// Stall holds back bytes by direction, without closing the connections.
type Stall struct{ ToTarget, FromTarget bool }

// pair is one relayed connection.
type pair struct {
	caller, target net.Conn
	// silent is set once nothing more is to pass.
	silent bool
}

// Bounds of a proxy.
const (
	bufferBytes = 32 << 10
	// holdInterval is how often a direction that is held back looks whether it may go on.
	holdInterval   = 5 * time.Millisecond
	connectTimeout = time.Second
)

// New returns a proxy that listens on a loopback port and has no target so far.
func New() (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Proxy{listener: listener, ended: make(chan struct{}), pairs: make(map[*pair]struct{})}
	go l.accept()
	return l, nil
}

// Address is where the proxy listens.
func (l *Proxy) Address() netip.AddrPort { return netip.MustParseAddrPort(l.listener.Addr().String()) }

// SetTarget tells where connections that come later go.
func (l *Proxy) SetTarget(target netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// SetDelay holds all bytes for the time, each way.
func (l *Proxy) SetDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// SetStall holds bytes back until the stall is lifted; then they are forwarded.
func (l *Proxy) SetStall(stall Stall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stall = stall
}

// StallConnections stalls the connections that are open now for good; new ones work.
func (l *Proxy) StallConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.silent = true
	}
}

// Reset resets the connections that are open now.
func (l *Proxy) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.reset()
	}
}

// Close ends the proxy and its connections.
func (l *Proxy) Close() {
	close(l.ended)
	_ = l.listener.Close()
	l.Reset()
}

func (l *Proxy) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.relay(conn)
	}
}

func (l *Proxy) relay(caller net.Conn) {
	l.mu.Lock()
	address := l.target
	l.mu.Unlock()
	target, err := net.DialTimeout("tcp", address.String(), connectTimeout)
	if err != nil {
		abort(caller)
		return
	}
	p := &pair{caller: caller, target: target}
	l.mu.Lock()
	l.pairs[p] = struct{}{}
	l.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { l.copy(p, target, caller, func(s Stall) bool { return s.ToTarget }) })
	group.Go(func() { l.copy(p, caller, target, func(s Stall) bool { return s.FromTarget }) })
	group.Wait()
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
	_ = caller.Close()
	_ = target.Close()
}

// copy relays one direction to its end.
func (l *Proxy) copy(p *pair, to, from net.Conn, held func(Stall) bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !l.pass(p, held) {
				return
			}
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				p.reset()
				return
			}
		}
		if err != nil {
			l.pass(p, held)
			closeWrite(to)
			return
		}
	}
}

// pass waits until bytes may go on, and reports whether they may at all.
func (l *Proxy) pass(p *pair, held func(Stall) bool) bool {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	for {
		l.mu.Lock()
		wait := p.silent || held(l.stall)
		l.mu.Unlock()
		if !wait {
			return true
		}
		select {
		case <-l.ended:
			return false
		case <-time.After(holdInterval):
		}
	}
}

func (p *pair) reset() {
	abort(p.caller)
	abort(p.target)
}

// abort closes a connection with a reset in place of an orderly end.
func abort(conn net.Conn) {
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
