package accepter

import (
	"bytes"
	"container/list"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"eelgrasspoint"
)

// FreeHeadBytes is the memory for the head of a request that is not reserved, so that requests of an ordinary length
// are served whatever others send.
const FreeHeadBytes = 32 << 10

// Memory of a head, by what is read of it: a line of a few bytes becomes an entry in several maps.
const (
	headLineBytes = 512
	// headByteFactor is for the copies of a head.
	headByteFactor = 2
)

// Refusal of a head in HTTP/1.
const (
	refusedHead = "HTTP/1.1 503 Service Unavailable\r\n" + eelgrasspoint.HeaderOutcome + ": NotRun\r\n" +
		"Retry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// refusalTime bounds the time in which the rest of a refused head is discarded, so that the refusal can be read.
	refusalTime = 200 * time.Millisecond
	// maxDiscardedBytes bounds the bytes that are discarded.
	maxDiscardedBytes = 1 << 20
)

// errRefused is the error of a read whose head is refused.
var errRefused = errors.New("no memory is left for the head of the request")

const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// conn is a connection whose reads are inspected while the head of a request is due.
type conn struct {
	net.Conn
	accepter *Accepter

	// The accepter's lock guards these.
	counted, http2 bool
	waiting        *list.List
	element        *list.Element

	mu sync.Mutex
	// inRequest is set from the end of a head in HTTP/1 to the end of its request.
	inRequest bool
	// headBytes and headLines are of the current head in HTTP/1.
	headBytes, headLines int64
	// refused is set once a read was refused.
	refused bool
	// begin is the begin of what was read, as long as it may be the preface of HTTP/2.
	begin    string
	started  bool
	frames   *frames
	reserved int64
	closed   bool
}

// Read implements net.Conn. Nothing more is read after a refusal.
func (c *conn) Read(p []byte) (int, error) {
	if c.refused {
		return 0, c.readError()
	}
	n, err := c.Conn.Read(p)
	if n == 0 || c.inspect(p[:n]) {
		return n, err
	}
	c.refused = true
	c.accepter.options.Refused()
	return 0, c.readError()
}

// readError returns the error of a refused head. It is of a type to which net/http writes no answer of its own.
func (c *conn) readError() error {
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errRefused}
}

// inspect reports whether what was read may be passed on.
func (c *conn) inspect(p []byte) bool {
	if !c.started {
		p = c.inspectBegin(p)
	}
	if c.frames != nil {
		return c.frames.inspectRead(p)
	}
	if c.reserveHead(p) {
		return true
	}
	c.refuse()
	return false
}

// inspectBegin finds out which protocol the connection uses. It returns the bytes behind the preface of HTTP/2.
func (c *conn) inspectBegin(p []byte) []byte {
	rest := http2Preface[len(c.begin):]
	n := min(len(rest), len(p))
	if !strings.HasPrefix(rest, string(p[:n])) {
		c.started, c.begin = true, ""
		return p
	}
	c.begin += string(p[:n])
	if len(c.begin) < len(http2Preface) {
		return nil
	}
	c.started, c.begin = true, ""
	c.frames = newFrames(c)
	return p[n:]
}

// reserveHead reserves memory for what was read of a head in HTTP/1, and reports whether there is any.
func (c *conn) reserveHead(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inRequest || c.closed {
		return true
	}
	c.headBytes += int64(len(p))
	c.headLines += int64(bytes.Count(p, []byte{'\n'}))
	needed := c.headBytes*headByteFactor + c.headLines*headLineBytes - FreeHeadBytes
	return growTo(c.accepter.options.Heads, &c.reserved, needed)
}

// refuse answers a head in HTTP/1 that is not read to its end.
func (c *conn) refuse() {
	c.mu.Lock()
	c.release()
	c.mu.Unlock()
	_ = c.SetDeadline(time.Now().Add(refusalTime))
	if _, err := io.WriteString(c.Conn, refusedHead); err != nil {
		return
	}
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.Conn, maxDiscardedBytes)
}

// setActive notes that the head of a request in HTTP/1 is read, or that a stream of HTTP/2 is open.
func (c *conn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frames != nil {
		c.frames.setIdle(false)
		return
	}
	c.inRequest = true
}

// setIdle notes that the head of the next request in HTTP/1 is due, or that no stream of HTTP/2 is open.
func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frames != nil {
		c.frames.setIdle(true)
		return
	}
	c.inRequest = false
	c.headBytes, c.headLines = 0, 0
	c.shrink(0)
}

// beginRequest replaces what is reserved for the head of a request by the bytes.
func (c *conn) beginRequest(bytes int64) (end func(), ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, false
	}
	if c.frames == nil {
		c.shrink(bytes)
		// setIdle releases the rest.
		return func() {}, true
	}
	c.frames.beginRequest()
	if !c.accepter.options.Heads.Reserve(bytes) {
		return nil, false
	}
	return func() { c.accepter.options.Heads.Release(bytes) }, true
}

// shrink releases what is reserved beyond the bytes for a head in HTTP/1. The caller holds the lock.
func (c *conn) shrink(bytes int64) {
	c.reserved = shrinkTo(c.accepter.options.Heads, c.reserved, bytes)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if c.frames != nil {
		c.frames.inspectWritten(p[:n])
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.accepter.remove(c)
	c.mu.Lock()
	c.closed = true
	c.release()
	c.mu.Unlock()
	return c.Conn.Close()
}

// release releases all that is reserved. The caller holds the lock.
func (c *conn) release() {
	c.shrink(0)
	if c.frames != nil {
		c.frames.release()
	}
}

// SetLinger passes on the call to a TCP connection.
func (c *conn) SetLinger(seconds int) error {
	if inner, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return inner.SetLinger(seconds)
	}
	return nil
}

// CloseWrite closes the write side, as net/http does before it closes a connection.
func (c *conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}
