package network

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// conn is one end of a connection.
type conn struct {
	network       *Network
	local, remote netip.AddrPort
	latency       time.Duration
	crosses       bool
	in, out       *stream
	readBy        deadline
	writeBy       deadline
}

func (c *conn) init() {
	c.readBy.init()
	c.writeBy.init()
}

func (c *conn) touches(host netip.Addr) bool {
	return c.local.Addr() == host || c.remote.Addr() == host
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.in.read(p, c.readBy.wait()) }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if isClosed(c.writeBy.wait()) {
		return 0, os.ErrDeadlineExceeded
	}
	c.network.show(c, p)
	return c.out.write(p, c.network.arrival(c, len(p)))
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.network.forget(c)
	c.out.finish(time.Now().Add(c.latency))
	c.in.abandon()
	return nil
}

func (c *conn) reset() {
	c.in.fail()
	c.out.fail()
}

func (c *conn) silence() {
	c.in.mute()
	c.out.mute()
}

func (c *conn) LocalAddr() net.Addr  { return net.TCPAddrFromAddrPort(c.local) }
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.readBy.set(t)
	c.writeBy.set(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.readBy.set(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeBy.set(t)
	return nil
}

// chunk is what one write sent.
type chunk struct {
	data []byte
	at   time.Time
}

// stream is one direction of a connection.
type stream struct {
	mu       sync.Mutex
	chunks   []chunk
	ended    bool
	endsAt   time.Time
	left     bool
	broken   bool
	silent   bool
	changed  chan struct{}
	lastSent time.Time
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

// signal wakes all who wait. It is called with the lock held.
func (s *stream) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) read(p []byte, expired <-chan struct{}) (int, error) {
	for {
		found := s.tryRead(p)
		if found.n > 0 || found.err != nil {
			return found.n, found.err
		}
		if isClosed(expired) {
			return 0, os.ErrDeadlineExceeded
		}
		if err := await(found.changed, found.next, expired); err != nil {
			return 0, err
		}
	}
}

// reading is what one look at a stream found.
type reading struct {
	n   int
	err error
	// next is when the next bytes arrive, if they are on their way.
	next    time.Time
	changed <-chan struct{}
}

func (s *stream) tryRead(p []byte) reading {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case s.left:
		return reading{err: net.ErrClosed}
	case s.broken:
		return reading{err: os.NewSyscallError("read", syscall.ECONNRESET)}
	case s.silent:
		return reading{changed: s.changed}
	case len(s.chunks) > 0 && !s.chunks[0].at.After(now):
		return reading{n: s.take(p)}
	case len(s.chunks) > 0:
		return reading{next: s.chunks[0].at, changed: s.changed}
	case s.ended && !s.endsAt.After(now):
		return reading{err: io.EOF}
	case s.ended:
		return reading{next: s.endsAt, changed: s.changed}
	default:
		return reading{changed: s.changed}
	}
}

func (s *stream) take(p []byte) int {
	n := copy(p, s.chunks[0].data)
	s.chunks[0].data = s.chunks[0].data[n:]
	if len(s.chunks[0].data) == 0 {
		s.chunks = s.chunks[1:]
	}
	s.signal()
	return n
}

// write never waits: HTTP/2 writes with a lock held, and a goroutine that waits for a lock
// would stop the virtual time. Flow control above bounds what is held.
func (s *stream) write(p []byte, at time.Time) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.ended:
		return 0, net.ErrClosed
	case s.broken || s.left:
		return 0, os.NewSyscallError("write", syscall.ECONNRESET)
	}
	if at.Before(s.lastSent) {
		at = s.lastSent
	}
	s.lastSent = at
	s.chunks = append(s.chunks, chunk{data: append([]byte(nil), p...), at: at})
	s.signal()
	return len(p), nil
}

// finish ends the stream after what was sent.
func (s *stream) finish(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	s.endsAt = at
	s.signal()
}

// abandon is the reader's close.
func (s *stream) abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left = true
	s.chunks = nil
	s.signal()
}

func (s *stream) fail() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = true
	s.signal()
}

func (s *stream) mute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
}

// await returns when something changed, the time has come or the deadline has passed.
func await(changed <-chan struct{}, next time.Time, expired <-chan struct{}) error {
	var due <-chan time.Time
	if !next.IsZero() {
		timer := time.NewTimer(time.Until(next))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-changed:
		return nil
	case <-due:
		return nil
	case <-expired:
		return os.ErrDeadlineExceeded
	}
}

// deadline closes a channel when its time has come.
type deadline struct {
	mu      sync.Mutex
	timer   *time.Timer
	expired chan struct{}
}

func (d *deadline) init() { d.expired = make(chan struct{}) }

func (d *deadline) wait() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expired
}

func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil && !d.timer.Stop() {
		<-d.expired
	}
	d.timer = nil
	if isClosed(d.expired) {
		d.expired = make(chan struct{})
	}
	if t.IsZero() {
		return
	}
	if until := time.Until(t); until > 0 {
		expired := d.expired
		d.timer = time.AfterFunc(until, func() { close(expired) })
		return
	}
	close(d.expired)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
