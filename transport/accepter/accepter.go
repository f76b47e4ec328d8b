// Package accepter accepts the connections of a server, and bounds their number and the memory that the heads of their
// requests use before a handler sees them.
package accepter

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"

	"eelgrasspoint/state/reserver"
)

// Accepter is a listener for an http.Server; Attach connects the two. Above the maximum number of connections it closes
// the one that has waited longest for its first request, else the one that has been idle longest, else the new one.
type Accepter struct {
	net.Listener
	options Options

	mu sync.Mutex
	// unused are the connections without a whole request so far, idle those between two requests. The one that has
	// waited longest is the first.
	unused, idle list.List
	open, http2  int
}

// Options are the limits of an Accepter.
type Options struct {
	MaxConnections int
	// MaxHTTP2 is the maximum number of connections that use HTTP/2. Above it, one of them is closed in the same order.
	MaxHTTP2 int
	// Heads is the memory for the heads of all requests, as far as one is longer than FreeHeadBytes.
	Heads *reserver.Reserver
	// Unread is the memory for the bodies of all streams of HTTP/2 that handlers have not read, beyond a part for each
	// connection.
	Unread *reserver.Reserver
	// Refused is called when the memory does not suffice for a head or a body.
	Refused func()
}

// New returns an accepter over a listener.
func New(listener net.Listener, options Options) *Accepter {
	return &Accepter{Listener: listener, options: options}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// Attach makes a server report the states of its connections. The server must serve the listener of this accepter.
func (a *Accepter) Attach(server *http.Server) {
	next := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if own, ok := c.(*conn); ok {
			a.track(own, state)
		}
		if next != nil {
			next(c, state)
		}
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
}

// BeginRequest replaces what is reserved for the head of a request by its cost in bytes, and reports whether that was
// possible. The context is that of the request. The handler calls it first, and end when it is done.
func BeginRequest(ctx context.Context, cost int64) (end func(), ok bool) {
	c, own := ctx.Value(connKey{}).(*conn)
	if !own {
		return func() {}, true
	}
	return c.beginRequest(max(0, cost-FreeHeadBytes))
}

// Accept implements net.Listener.
func (a *Accepter) Accept() (net.Conn, error) {
	for {
		accepted, err := a.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, accepter: a}
		if a.add(c) {
			return c, nil
		}
		_ = accepted.Close()
	}
}

// add counts a new connection, and reports whether there is room for it.
func (a *Accepter) add(c *conn) bool {
	a.mu.Lock()
	var closed *conn
	if a.open >= a.options.MaxConnections {
		closed = a.longestWaiting(func(*conn) bool { return true })
		if closed == nil {
			a.mu.Unlock()
			return false
		}
		a.drop(closed)
	}
	a.open++
	c.counted = true
	a.wait(c, &a.unused)
	a.mu.Unlock()
	if closed != nil {
		_ = closed.Close()
	}
	return true
}

// addHTTP2 counts a connection that uses HTTP/2, and reports whether there is room for it.
func (a *Accepter) addHTTP2(c *conn) bool {
	a.mu.Lock()
	var closed *conn
	if a.http2 >= a.options.MaxHTTP2 {
		closed = a.longestWaiting(func(other *conn) bool { return other.http2 && other != c })
		if closed == nil {
			a.mu.Unlock()
			return false
		}
		a.drop(closed)
	}
	a.http2++
	c.http2 = true
	a.mu.Unlock()
	if closed != nil {
		_ = closed.Close()
	}
	return true
}

// longestWaiting returns the matching connection that has waited longest, or nil. The caller holds the lock.
func (a *Accepter) longestWaiting(matches func(c *conn) bool) *conn {
	for _, waiting := range []*list.List{&a.unused, &a.idle} {
		for e := waiting.Front(); e != nil; e = e.Next() {
			if c := e.Value.(*conn); matches(c) {
				return c
			}
		}
	}
	return nil
}

// track notes the state of a connection. One that uses HTTP/2 is active before its first request.
func (a *Accepter) track(c *conn, state http.ConnState) {
	switch state {
	case http.StateActive:
		a.mu.Lock()
		a.stopWaiting(c)
		a.mu.Unlock()
		c.setActive()
	case http.StateIdle:
		a.mu.Lock()
		a.wait(c, &a.idle)
		a.mu.Unlock()
		c.setIdle()
	case http.StateHijacked:
		a.remove(c)
	}
}

// wait puts an open connection at the end of a list. The caller holds the lock.
func (a *Accepter) wait(c *conn, waiting *list.List) {
	a.stopWaiting(c)
	if c.counted {
		c.waiting, c.element = waiting, waiting.PushBack(c)
	}
}

// stopWaiting takes a connection from its list. The caller holds the lock.
func (a *Accepter) stopWaiting(c *conn) {
	if c.waiting != nil {
		c.waiting.Remove(c.element)
		c.waiting, c.element = nil, nil
	}
}

// remove ends the count of a connection.
func (a *Accepter) remove(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drop(c)
}

// drop ends the count of a connection once. The caller holds the lock.
func (a *Accepter) drop(c *conn) {
	if !c.counted {
		return
	}
	a.stopWaiting(c)
	c.counted = false
	a.open--
	if c.http2 {
		a.http2--
	}
}
