// Package dialer opens connections that count the bytes read from and written to them, and that tell an orderly end
// from a broken connection.
package dialer

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"eelgrasspoint/transport/inspector"
)

// Func opens a connection, like net.Dialer.DialContext.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer counts the bytes of the connections that it opens. It is safe for concurrent use.
type Dialer struct {
	dial    Func
	read    atomic.Int64
	written atomic.Int64
}

// New returns a dialer that opens its connections with dial.
func New(dial Func) *Dialer { return &Dialer{dial: dial} }

// DialContext opens a connection whose bytes are counted.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &countingConn{Conn: conn, dialer: d}
	c.changed.L = &c.mu
	return c, nil
}

// Bytes returns the bytes read and written over all connections so far. Of a failed write, it counts only the
// part that was written.
func (d *Dialer) Bytes() (read, written int64) { return d.read.Load(), d.written.Load() }

// BytesPassedToWrite returns the bytes passed to Write of a connection that a Dialer opened, those of failed
// writes included. For any other connection it returns false.
func BytesPassedToWrite(conn net.Conn) (int64, bool) {
	c, ok := conn.(*countingConn)
	if !ok {
		return 0, false
	}
	return c.passedToWrite.Load(), true
}

// Broken reports whether a read or write of a connection that a Dialer opened has failed, the end of what the
// other side sends included. A connection that was closed on this side isn't broken by that. For any other
// connection it returns true.
func Broken(conn net.Conn) bool {
	c, ok := conn.(*countingConn)
	return !ok || c.broken.Load()
}

// ErrUnusable is the error of the first write of a request on a connection that can't answer it.
var ErrUnusable = errors.New("the connection ended, or bytes arrived on it, before the request was written")

// BrokenError is the error of a read that reaches the end of a connection on which a write has failed. The other side
// may have sent more than was read.
type BrokenError struct {
	// Cause is the error of the write.
	Cause error
}

// Error implements error.
func (e *BrokenError) Error() string {
	return "the connection ended after a failed write: " + e.Cause.Error()
}

// Unwrap returns the error of the write.
func (e *BrokenError) Unwrap() error { return e.Cause }

// BeginRequest waits until the reader of an idle connection that a Dialer opened has consumed all bytes and
// waits for more, or the connection has ended. If it ends or more bytes arrive before the next write, that write
// fails with ErrUnusable: the bytes can't belong to its request. The reader must read while the connection is
// idle. The head of the answer is checked as its bytes arrive.
func BeginRequest(conn net.Conn) {
	c, ok := conn.(*countingConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.reading && !c.ended {
		c.changed.Wait()
	}
	c.requestBegun, c.readBefore = true, c.bytesRead
	c.head = new(inspector.Inspector)
}

// countingConn adds the bytes read and written to those of its dialer.
type countingConn struct {
	net.Conn
	dialer *Dialer
	// passedToWrite counts the bytes passed to Write, which may be more than were sent.
	passedToWrite atomic.Int64
	// broken is set once a read or write has failed while the connection was open on this side.
	broken atomic.Bool

	mu sync.Mutex
	// changed is signaled when reading, ended or writes changes.
	changed sync.Cond
	// reading is set while a read is in progress.
	reading bool
	// ended is set once a read has failed or the connection was closed on this side.
	ended     bool
	bytesRead int64
	// requestBegun is set between BeginRequest and the next write; readBefore is bytesRead at BeginRequest.
	requestBegun bool
	readBefore   int64
	// head checks the head of the answer to the current request; nil if it has ended.
	head *inspector.Inspector
	// writes is the number of writes in progress.
	writes int
	// writeError is the error of the first write that failed while the connection was open on this side.
	writeError error
}

// Read implements net.Conn. It returns io.EOF only at an orderly end, and a *BrokenError if a write has failed. After
// BeginRequest, it returns an *inspector.MalformedHeadError in place of the bytes that make the head of an answer malformed.
func (c *countingConn) Read(p []byte) (int, error) {
	c.setReading(0, nil, true)
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.checkEnd()
	}
	c.setReading(n, err, false)
	c.dialer.read.Add(int64(n))
	if err := c.inspectHead(p[:n]); err != nil {
		return 0, err
	}
	c.noteError(err)
	return n, err
}

// inspectHead checks what was read of the head of an answer.
func (c *countingConn) inspectHead(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head == nil || len(p) == 0 {
		return nil
	}
	err := c.head.Inspect(p)
	if c.head.Ended() {
		c.head = nil
	}
	return err
}

// setReading records the start of a read, or its end with its result.
func (c *countingConn) setReading(n int, err error, reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
	c.bytesRead += int64(n)
	c.ended = c.ended || err != nil
	c.changed.Broadcast()
}

// checkEnd returns the error of a read that has reached the end. The operating system reports the loss of a connection
// to one call only: if that was a write, the read sees an orderly end. A write in progress may be the one, so it
// is interrupted; what it has not sent is of no use any more.
func (c *countingConn) checkEnd() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.writes > 0 {
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
		c.changed.Wait()
	}
	if c.writeError != nil {
		return &BrokenError{Cause: c.writeError}
	}
	return io.EOF
}

// Write adds the whole of p to passedToWrite before it writes, because a failed write may still have sent a part
// of p. It adds nothing if it fails with ErrUnusable.
func (c *countingConn) Write(p []byte) (int, error) {
	if !c.beginWrite(len(p)) {
		return 0, ErrUnusable
	}
	n, err := c.Conn.Write(p)
	c.endWrite(err)
	c.dialer.written.Add(int64(n))
	c.noteError(err)
	return n, err
}

// endWrite records the result of a write. A write that its deadline or the end of the connection on this side ended
// says nothing of the connection.
func (c *countingConn) endWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
	if c.writeError == nil && err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.writeError = err
	}
	c.changed.Broadcast()
}

// beginWrite reports whether a write may begin, and counts its bytes if so.
func (c *countingConn) beginWrite(bytes int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestBegun && (c.ended || c.bytesRead != c.readBefore) {
		return false
	}
	c.requestBegun = false
	c.writes++
	c.passedToWrite.Add(int64(bytes))
	return true
}

// SyscallConn implements syscall.Conn, as far as the connection does.
func (c *countingConn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return conn.SyscallConn()
}

// Close implements net.Conn.
func (c *countingConn) Close() error {
	c.mu.Lock()
	c.ended = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

func (c *countingConn) noteError(err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.broken.Store(true)
	}
}
