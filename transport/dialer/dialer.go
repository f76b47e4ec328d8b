// Package dialer opens connections and counts the bytes that are read from and written to them.
package dialer

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
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
	return &countingConn{Conn: conn, dialer: d}, nil
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

// countingConn adds the bytes read and written to those of its dialer.
type countingConn struct {
	net.Conn
	dialer *Dialer
	// passedToWrite counts the bytes passed to Write, which may be more than were sent.
	passedToWrite atomic.Int64
	// broken is set once a read or write has failed while the connection was open on this side.
	broken atomic.Bool
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.dialer.read.Add(int64(n))
	c.noteError(err)
	return n, err
}

// Write adds the whole of p to passedToWrite before it writes, because a failed write may still have sent a part
// of p.
func (c *countingConn) Write(p []byte) (int, error) {
	c.passedToWrite.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	c.dialer.written.Add(int64(n))
	c.noteError(err)
	return n, err
}

func (c *countingConn) noteError(err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.broken.Store(true)
	}
}
