package runner

import (
	"net"
	"net/http"
	"sync"
)

// unusedConnections are the connections of a server on which no request has begun. Shutdown would wait up to
// 6 s for them, although net/http serves none of their requests any more.
type unusedConnections struct {
	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]struct{}
}

// closeUnusedOnShutdown closes the unused connections of a server as soon as it shuts down.
func closeUnusedOnShutdown(server *http.Server) {
	u := &unusedConnections{conns: make(map[net.Conn]struct{})}
	server.ConnState = u.track
	server.RegisterOnShutdown(u.close)
}

func (u *unusedConnections) track(conn net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case state != http.StateNew:
		delete(u.conns, conn)
	case u.closed:
		_ = conn.Close()
	default:
		u.conns[conn] = struct{}{}
	}
}

func (u *unusedConnections) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	for conn := range u.conns {
		_ = conn.Close()
	}
}
