package simulator

import (
	"context"
	"net/http"
	"time"

	"eelgrasspoint/standin/backend"
)

// StartBackend starts a new process of the backend server, without state of earlier ones. The earlier
// process must have ended; otherwise the new backend server is added to Backends but serves no requests.
func (n *Node) StartBackend() {
	n.Backend = backend.New(n.Service, n.slots, n.behavior, n.restartAfterCrash)
	n.backends = append(n.backends, n.Backend)
	listener, err := n.simulator.Network.Listen("tcp", n.address(backendPort).String())
	if err != nil {
		return
	}
	n.httpServer = newServer(n.Backend)
	server := n.httpServer
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancelAnnounce = cancel
	n.Incarnation = uint64(time.Now().UnixNano())
	go backend.Announce(ctx, n.announceClient(), n.address(controlPort), n.announcement())
}

func (n *Node) announcement() backend.Announcement {
	return backend.Announcement{
		Service: n.Service, Address: n.address(backendPort), Incarnation: n.Incarnation, Slots: n.slots, Connections: 260,
	}
}

// Register sends one registration of the backend server's current incarnation, as if it were late.
func (n *Node) Register() {
	backend.Register(context.Background(), n.announceClient(), n.address(controlPort), n.announcement())
}

// Deregister deregisters the backend server, which goes on serving, and reports whether the node acknowledged it.
func (n *Node) Deregister() bool {
	n.cancelAnnounce()
	return backend.Deregister(n.announceClient(), n.address(controlPort), n.Incarnation)
}

// StopBackend deregisters the backend server and shuts it down. It waits for the requests in flight for at
// most backendShutdownTimeout.
func (n *Node) StopBackend() {
	n.cancelAnnounce()
	backend.Deregister(n.announceClient(), n.address(controlPort), n.Incarnation)
	ctx, cancel := context.WithTimeout(context.Background(), backendShutdownTimeout)
	defer cancel()
	_ = n.httpServer.Shutdown(ctx)
}

// backendShutdownTimeout bounds the wait of StopBackend for requests in flight.
const backendShutdownTimeout = 10 * time.Second

// announceClient returns the HTTP client with which the backend server calls the node.
func (n *Node) announceClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.simulator.Network.Dial(n.Host), DisableKeepAlives: true}}
}

// KillBackend ends the backend server's process at once, without deregistering it.
func (n *Node) KillBackend() {
	if n.httpServer == nil {
		return
	}
	n.simulator.Network.Kill(n.address(backendPort))
	n.cancelAnnounce()
	_ = n.httpServer.Close()
}

// Backends returns all backend servers that StartBackend has created beside the node, oldest first.
func (n *Node) Backends() []*backend.Backend { return n.backends }

// Behavior returns the behavior with which the backend server beside the node starts.
func (n *Node) Behavior() backend.Behavior { return n.behavior }

// Crashes returns the number of times that a request crashed the backend server.
func (n *Node) Crashes() int { return int(n.crashes.Load()) }

// crashRestartDelay is the time from a crash of a backend server to its restart.
const crashRestartDelay = 2 * time.Second

// restartAfterCrash kills the backend server and restarts it after crashRestartDelay. The backend
// server calls it while it runs a request.
func (n *Node) restartAfterCrash() {
	n.crashes.Add(1)
	go func() {
		n.KillBackend()
		time.Sleep(crashRestartDelay)
		n.StartBackend()
	}()
}
