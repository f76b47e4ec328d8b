package runner

import (
	"net"
	"net/http"
	"time"

	"eelgrasspoint/state/loader"
	"eelgrasspoint/state/reserver"
	"eelgrasspoint/transport/accepter"
	"eelgrasspoint/transport/restricter"
)

// Parts of the memory and of the descriptors of the process. What is left is for the rest of the program, for garbage,
// and for the connections to other nodes, the backend server and the table service.
const (
	// headDivisor is for the heads of requests of callers, and for those of attempts and other calls of nodes.
	headDivisor = 8
	// bodyDivisor is for the bodies of calls of nodes, and for the parts of bodies that handlers have not read.
	bodyDivisor = 16
	// answerDivisor is for the heads of answers.
	answerDivisor = 16
	// shortCallDivisor is for the heads and for the bodies of operators' requests, announcements and readiness checks.
	shortCallDivisor = 32
	// connectionsDivisor, of which each server for requests gets connectionsDividend parts, is for its connections.
	connectionsDividend, connectionsDivisor = 3, 8
	// shortCallConnections is the maximum number of connections of each server for short calls.
	shortCallConnections = 64
)

// Memory of one connection or stream at most, besides heads and bodies that are counted on their own.
const (
	callerHTTP2ConnectionBytes = 4 << 20
	callerStreamBytes          = 256 << 10
	peerStreamBytes            = 128 << 10
)

// callTime bounds the body of a call of a node or an operator.
const callTime = 10 * time.Second

// serverLimits are the limits of one server.
type serverLimits struct {
	accepter   accepter.Options
	restricter restricter.Options
}

// newCallerLimits returns the limits of the server for callers.
func newCallerLimits(settings *loader.Settings) serverLimits {
	memory := settings.MemoryBytes()
	return serverLimits{
		accepter: accepter.Options{
			MaxConnections: settings.DescriptorLimit() * connectionsDividend / connectionsDivisor,
			MaxHTTP2:       int(max(1, memory/callerHTTP2ConnectionBytes)),
			Heads:          reserver.New(memory / headDivisor),
			Unread:         reserver.New(memory / bodyDivisor),
		},
		restricter: restricter.Options{MaxStreams: max(1, memory/callerStreamBytes)},
	}
}

// newPeerLimits returns the limits of the server for other nodes.
func newPeerLimits(settings *loader.Settings) serverLimits {
	memory := settings.MemoryBytes()
	connections := settings.DescriptorLimit() * connectionsDividend / connectionsDivisor
	return serverLimits{
		accepter: accepter.Options{
			MaxConnections: connections, MaxHTTP2: connections,
			Heads: reserver.New(memory / headDivisor), Unread: reserver.New(memory / bodyDivisor),
		},
		restricter: restricter.Options{MaxStreams: max(1, memory/peerStreamBytes)},
	}
}

// newShortCallLimits returns the limits of a server for short calls, over HTTP/1.1 only.
func newShortCallLimits(settings *loader.Settings) serverLimits {
	memory := settings.MemoryBytes()
	return serverLimits{
		accepter:   accepter.Options{MaxConnections: shortCallConnections, Heads: reserver.New(memory / shortCallDivisor)},
		restricter: restricter.Options{Bodies: reserver.New(memory / shortCallDivisor), BodyTime: callTime},
	}
}

// newExchangeLimits returns the limits of the handler for the calls of other nodes, besides those of their server.
func newExchangeLimits(settings *loader.Settings) restricter.Options {
	memory := settings.MemoryBytes()
	return restricter.Options{
		MaxStreams: max(1, memory/peerStreamBytes), Bodies: reserver.New(memory / bodyDivisor), BodyTime: callTime,
	}
}

// nodeLimits are the limits of all servers of a node.
type nodeLimits struct {
	callers, peers, control, readiness, announcements serverLimits
	exchange                                          restricter.Options
	// answers is the memory for the heads of answers, beyond a part for each.
	answers *reserver.Reserver
}

// newNodeLimits returns the limits of all servers. refused is called with the name of a server that refuses a request
// before its handler.
func newNodeLimits(settings *loader.Settings, refused func(server string)) nodeLimits {
	limits := nodeLimits{
		callers: newCallerLimits(settings), peers: newPeerLimits(settings), control: newShortCallLimits(settings),
		readiness: newShortCallLimits(settings), announcements: newShortCallLimits(settings),
		exchange: newExchangeLimits(settings), answers: reserver.New(settings.MemoryBytes() / answerDivisor),
	}
	for name, server := range map[string]*serverLimits{
		callerServer: &limits.callers, peerServer: &limits.peers, controlServer: &limits.control,
		readinessServer: &limits.readiness, announcementServer: &limits.announcements,
	} {
		server.accepter.Refused = func() { refused(name) }
	}
	return limits
}

// limitedServer is a server with its listener and its limits.
type limitedServer struct {
	server   *http.Server
	limits   serverLimits
	listener net.Listener
}

// serve serves the listener within the limits.
func (s *limitedServer) serve() error {
	limited := accepter.New(s.listener, s.limits.accepter)
	limited.Attach(s.server)
	return s.server.Serve(limited)
}
