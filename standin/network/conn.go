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

// conn is one end of a connection. It implements net.Conn.
type conn struct {
	network       *Network
	local, remote netip.AddrPort
	latency       time.Duration
	crossRegion   bool
	in, out       *stream
	// userTimeout is the time after which a stalled connection with sent data is reset, or zero.
	userTimeout   time.Duration
	readDeadline  deadline
	writeDeadline deadline
}

func (c *conn) init() {
	c.readDeadline.init()
	c.writeDeadline.init()
}

func (c *conn) hasEndpoint(host netip.Addr) bool {
	return c.local.Addr() == host || c.remote.Addr() == host
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.in.read(p, c.readDeadline.wait()) }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if isClosed(c.writeDeadline.wait()) {
		return 0, os.ErrDeadlineExceeded
	}
	c.network.callTap(c, p)
	if c.userTimeout > 0 && c.out.isStalled() {
		time.AfterFunc(c.userTimeout, c.reset)
	}
	return c.out.write(p, c.network.arrivalTime(c, len(p)))
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.network.removeConn(c)
	c.out.closeWrite(time.Now().Add(c.latency))
	c.in.closeRead()
	return nil
}

func (c *conn) reset() {
	c.in.reset()
	c.out.reset()
}

func (c *conn) stall() {
	c.in.stall()
	c.out.stall()
}

func (c *conn) LocalAddr() net.Addr  { return net.TCPAddrFromAddrPort(c.local) }
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.readDeadline.set(t)
	c.writeDeadline.set(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.readDeadline.set(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.set(t)
	return nil
}

// chunk holds the bytes of one write and the time of their arrival.
type chunk struct {
	data      []byte
	arrivesAt time.Time
}

// stream is one direction of a connection.
type stream struct {
	mu           sync.Mutex
	chunks       []chunk
	writerClosed bool
	eofAt        time.Time
	readerClosed bool
	wasReset     bool
	stalled      bool
	// changed is closed and replaced whenever bytes are read or written and at each close or reset, to
	// wake blocked reads.
	changed chan struct{}
	// lastArrival is the arrival time of the latest chunk; later chunks never arrive before it.
	lastArrival time.Time
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

// broadcast wakes all goroutines that wait on changed. The caller holds mu.
func (s *stream) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) read(p []byte, expired <-chan struct{}) (int, error) {
	for {
		result := s.tryRead(p)
		if result.n > 0 || result.err != nil {
			return result.n, result.err
		}
		if isClosed(expired) {
			return 0, os.ErrDeadlineExceeded
		}
		if err := waitForChange(result.changed, result.nextArrival, expired); err != nil {
			return 0, err
		}
	}
}

// readResult is the result of one non-blocking attempt to read from a stream.
type readResult struct {
	n   int
	err error
	// nextArrival is when the next bytes or the end of the stream arrive; zero if neither was sent.
	nextArrival time.Time
	changed     <-chan struct{}
}

func (s *stream) tryRead(p []byte) readResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case s.readerClosed:
		return readResult{err: net.ErrClosed}
	case s.wasReset:
		return readResult{err: os.NewSyscallError("read", syscall.ECONNRESET)}
	case s.stalled:
		return readResult{changed: s.changed}
	case len(s.chunks) > 0 && !s.chunks[0].arrivesAt.After(now):
		return readResult{n: s.consume(p)}
	case len(s.chunks) > 0:
		return readResult{nextArrival: s.chunks[0].arrivesAt, changed: s.changed}
	case s.writerClosed && !s.eofAt.After(now):
		return readResult{err: io.EOF}
	case s.writerClosed:
		return readResult{nextArrival: s.eofAt, changed: s.changed}
	default:
		return readResult{changed: s.changed}
	}
}

func (s *stream) consume(p []byte) int {
	n := copy(p, s.chunks[0].data)
	s.chunks[0].data = s.chunks[0].data[n:]
	if len(s.chunks[0].data) == 0 {
		s.chunks = s.chunks[1:]
	}
	s.broadcast()
	return n
}

// write never blocks: HTTP/2 writes with a lock held, and a goroutine that waits for that lock
// would stop virtual time. The flow control of the protocols above bounds the buffered bytes.
func (s *stream) write(p []byte, arrivesAt time.Time) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.writerClosed:
		return 0, net.ErrClosed
	case s.wasReset || s.readerClosed:
		return 0, os.NewSyscallError("write", syscall.ECONNRESET)
	}
	if arrivesAt.Before(s.lastArrival) {
		arrivesAt = s.lastArrival
	}
	s.lastArrival = arrivesAt
	s.chunks = append(s.chunks, chunk{data: append([]byte(nil), p...), arrivesAt: arrivesAt})
	s.broadcast()
	return len(p), nil
}

// closeWrite ends the stream: after the bytes already written, and not before eofAt, the reader
// gets io.EOF.
func (s *stream) closeWrite(eofAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writerClosed {
		return
	}
	s.writerClosed = true
	s.eofAt = eofAt
	s.broadcast()
}

// closeRead discards the buffered bytes; later reads and writes fail.
func (s *stream) closeRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readerClosed = true
	s.chunks = nil
	s.broadcast()
}

func (s *stream) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wasReset = true
	s.broadcast()
}

// stall holds back all bytes for good, also those that have arrived but were not read. Writes still
// succeed until either end closes or a reset; reads block until their deadline, a reset or the reader's
// Close. stall wakes no blocked reads because they stay blocked.
func (s *stream) stall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalled = true
}

func (s *stream) isStalled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stalled
}

// waitForChange blocks until changed is closed or, unless it is zero, nextArrival is reached. It
// returns os.ErrDeadlineExceeded if expired is closed.
func waitForChange(changed <-chan struct{}, nextArrival time.Time, expired <-chan struct{}) error {
	var arrived <-chan time.Time
	if !nextArrival.IsZero() {
		timer := time.NewTimer(time.Until(nextArrival))
		defer timer.Stop()
		arrived = timer.C
	}
	select {
	case <-changed:
		return nil
	case <-arrived:
		return nil
	case <-expired:
		return os.ErrDeadlineExceeded
	}
}

// deadline closes a channel when its time passes.
type deadline struct {
	mu      sync.Mutex
	timer   *time.Timer
	expired chan struct{}
}

func (d *deadline) init() { d.expired = make(chan struct{}) }

// wait returns the channel that is closed when the deadline passes.
func (d *deadline) wait() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expired
}

func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil && !d.timer.Stop() {
		// The timer has fired: wait until its function has closed the channel.
		<-d.expired
	}
	d.timer = nil
	if isClosed(d.expired) {
		d.expired = make(chan struct{})
	}
	if t.IsZero() {
		return
	}
	if remaining := time.Until(t); remaining > 0 {
		expired := d.expired
		d.timer = time.AfterFunc(remaining, func() { close(expired) })
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
