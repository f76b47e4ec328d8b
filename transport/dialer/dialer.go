// Package dialer opens connections that count what was written to them.
package dialer

import (
	"context"
	"net"
	"sync/atomic"
)

// Func opens a connection, like net.Dialer.DialContext.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer wraps the connections of another dialer. It is safe for concurrent use.
type Dialer struct {
	dial    Func
	read    atomic.Int64
	written atomic.Int64
}

// New returns a dialer over dial.
func New(dial Func) *Dialer { return &Dialer{dial: dial} }

// DialContext opens a counted connection.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, dialer: d}, nil
}

// Bytes returns the bytes read and written over all connections so far.
func (d *Dialer) Bytes() (read, written int64) { return d.read.Load(), d.written.Load() }

// BytesWritten returns the bytes written to a connection of a Dialer, and whether it is one.
func BytesWritten(conn net.Conn) (int64, bool) {
	c, ok := conn.(*countedConn)
	if !ok {
		return 0, false
	}
	return c.written.Load(), true
}

type countedConn struct {
	net.Conn
	dialer  *Dialer
	written atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.dialer.read.Add(int64(n))
	return n, err
}

// Write counts before it writes: a failed write may still have sent something.
func (c *countedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	c.dialer.written.Add(int64(n))
	return n, err
}
