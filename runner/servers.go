package runner

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"eelgrasspoint"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/state/loader"
	"eelgrasspoint/state/transcriber"
	"eelgrasspoint/transport/annotator"
	"eelgrasspoint/transport/receiver"
)

// Timeouts of the servers.
const (
	readHeaderTimeout = 10 * time.Second
	serverIdleTimeout = 2 * time.Minute
	// shortCallTimeout bounds a short call, from its head to the end of its answer.
	shortCallTimeout = 2 * time.Minute
	// serverPingAfter is how long an HTTP/2 connection receives nothing before the server pings it.
	serverPingAfter = 15 * time.Second
)

// Limits of the connections to the servers.
const (
	// maxServerHeaderBytes bounds the headers in net/http. With ContractOwn, package parser refuses
	// those above MaxHeaderBytes; with ContractPlatform this is the only limit.
	maxServerHeaderBytes = 4 * eelgrasspoint.MaxHeaderBytes
	// maxPeerHeaderBytes admits all headers that the caller server admits: HTTP/2 counts 32 bytes more for each
	// header, so at least 33 for one that has 4 bytes in HTTP/1.1. net/http closes a connection, with all its
	// requests, on headers far above the limit.
	maxPeerHeaderBytes    = 9 * maxServerHeaderBytes
	connectionWindowBytes = 4 * eelgrasspoint.PeerWindowBytes
	// callerWindowBytes bounds the bodies of all streams on one connection of a caller that are not read yet.
	callerWindowBytes = eelgrasspoint.PeerWindowBytes
	// maxCallerStreams bounds the concurrent HTTP/2 streams on one connection of a caller.
	maxCallerStreams = 250
)

// Paths on the control server.
const (
	registrationPath = "/backend-server"
	metricsPath      = "/metrics"
)

// handlers are the HTTP handlers of the servers.
type handlers struct {
	// registration serves the announcements in the project's own form on the control server;
	// announcements serves those in the platform's form on AnnounceAddress.
	callers, attempts, exchange, operators, registration, metrics http.Handler
	// readiness and announcements are served only if their addresses are set.
	readiness, announcements http.Handler
	limits                   nodeLimits
}

// servers are the HTTP servers of a node and their listeners.
type servers struct {
	callers, peers, control limitedServer
	// optional has the order of the addresses in listenOptional.
	optional []optionalServer
	// cancelRequests cancels the contexts of the requests of callers.
	cancelRequests context.CancelCauseFunc
}

// optionalServer is a server whose address may be left out of the settings. Its listener is then nil.
type optionalServer struct {
	setting string
	limitedServer
}

// Names of the servers, and of the standard library's default logger, in events and metrics.
const (
	callerServer       = "callers"
	peerServer         = "peers"
	controlServer      = "control"
	readinessServer    = "readiness"
	announcementServer = "announcements"
	defaultLogger      = "log"
)

func newServers(h handlers, recorder eelgrasspoint.Recorder) servers {
	base, cancel := context.WithCancelCause(context.Background())
	callers := newCallerServer(h.callers)
	callers.BaseContext = func(net.Listener) context.Context { return base }
	closeUnusedOnShutdown(callers)
	s := servers{
		callers:        limitedServer{server: callers, limits: h.limits.callers},
		cancelRequests: cancel,
		peers:          limitedServer{server: newPeerServer(h.attempts, h.exchange), limits: h.limits.peers},
		control:        limitedServer{server: newControlServer(h), limits: h.limits.control},
		optional: []optionalServer{
			{"ReadyAddress", limitedServer{server: newShortCallServer(h.readiness), limits: h.limits.readiness}},
			{"AnnounceAddress", limitedServer{server: newShortCallServer(h.announcements), limits: h.limits.announcements}},
		},
	}
	s.callers.server.ErrorLog = transcriber.NewLogger(recorder, callerServer)
	s.peers.server.ErrorLog = transcriber.NewLogger(recorder, peerServer)
	s.control.server.ErrorLog = transcriber.NewLogger(recorder, controlServer)
	for _, o := range s.optional {
		o.server.ErrorLog = transcriber.NewLogger(recorder, o.setting)
	}
	return s
}

// newCallerServer returns a server for HTTP/1.1 and HTTP/2, both without TLS.
func newCallerServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: handler, Protocols: protocols, MaxHeaderBytes: maxServerHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: serverIdleTimeout,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxCallerStreams, SendPingTimeout: serverPingAfter,
			MaxReceiveBufferPerConnection: callerWindowBytes, MaxReceiveBufferPerStream: callerWindowBytes,
		},
	}
}

// newPeerServer returns a server for attempts and the Exchange service, over HTTP/2 without TLS. Attempts
// are recognized by a header that only nodes set.
func newPeerServer(attempts, exchange http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if receiver.IsAttempt(r) {
			attempts.ServeHTTP(w, r)
			return
		}
		exchange.ServeHTTP(w, r)
	})
	return &http.Server{
		Handler: handler, Protocols: protocols, MaxHeaderBytes: maxPeerHeaderBytes,
		// Twice the idle timeout of the client, so that the client closes an idle connection first.
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: 2 * eelgrasspoint.PeerIdleTimeout,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: eelgrasspoint.MaxPeerStreams, SendPingTimeout: serverPingAfter,
			MaxReceiveBufferPerConnection: connectionWindowBytes, MaxReceiveBufferPerStream: eelgrasspoint.PeerWindowBytes,
		},
	}
}

// newShortCallServer returns an HTTP server for short calls with small bodies.
func newShortCallServer(handler http.Handler) *http.Server {
	server := &http.Server{
		Handler: handler, MaxHeaderBytes: eelgrasspoint.MaxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: serverIdleTimeout, WriteTimeout: shortCallTimeout,
	}
	closeUnusedOnShutdown(server)
	return server
}

func newControlServer(h handlers) *http.Server {
	mux := http.NewServeMux()
	mux.Handle(schema.OperatorsPathPrefix, h.operators)
	mux.Handle(registrationPath, h.registration)
	mux.Handle(metricsPath, h.metrics)
	return newShortCallServer(mux)
}

// listen opens the listeners. The error names the setting of the address.
func (s *servers) listen(listen func(network, address string) (net.Listener, error), settings *loader.Settings) error {
	var err error
	if s.callers.listener, err = listen("tcp", settings.CallerAddress.String()); err != nil {
		return trace.Wrap(err, "listen on CallerAddress %v", settings.CallerAddress)
	}
	if s.peers.listener, err = listen("tcp", settings.PeerAddress.String()); err != nil {
		return trace.Wrap(err, "listen on PeerAddress %v", settings.PeerAddress)
	}
	if s.control.listener, err = listen("tcp", settings.ControlAddress.String()); err != nil {
		return trace.Wrap(err, "listen on ControlAddress %v", settings.ControlAddress)
	}
	return s.listenOptional(listen, settings)
}

func (s *servers) listenOptional(listen func(network, address string) (net.Listener, error), settings *loader.Settings) error {
	for i, address := range []netip.AddrPort{settings.ReadyAddress, settings.AnnounceAddress} {
		if !address.IsValid() {
			continue
		}
		var err error
		if s.optional[i].listener, err = listen("tcp", address.String()); err != nil {
			return trace.Wrap(err, "listen on %s %v", s.optional[i].setting, address)
		}
	}
	return nil
}

// serve starts all servers that have a listener. The returned channel receives the error of each one
// that fails.
func (s *servers) serve() <-chan error {
	failed := make(chan error, 3+len(s.optional))
	start := func(server *limitedServer) {
		if err := server.serve(); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}
	s.callers.listener = annotator.New(s.callers.listener)
	go start(&s.callers)
	go start(&s.peers)
	go start(&s.control)
	for i := range s.optional {
		if s.optional[i].listener != nil {
			go start(&s.optional[i].limitedServer)
		}
	}
	return failed
}

// errStopTimeout is the cause of the cancellation of requests that outlast a stop.
var errStopTimeout = errors.New("the node stops, and the time to wait for requests has passed")

// shutdown stops the servers and waits for the requests in flight. The caller server is first, since its
// requests may need the peer server. Requests of callers that are in flight when ctx ends are canceled, so
// that they get an answer; all connections are closed when last ends.
func (s *servers) shutdown(ctx, last context.Context) error {
	defer s.close()
	if s.callers.server.Shutdown(ctx) != nil {
		s.cancelRequests(errStopTimeout)
	}
	errs := []error{s.callers.server.Shutdown(last), s.peers.server.Shutdown(last), s.control.server.Shutdown(last)}
	for _, o := range s.optional {
		errs = append(errs, o.server.Shutdown(last))
	}
	return trace.NewAggregate(errs...)
}

// close closes all servers without waiting for the requests in flight.
func (s *servers) close() {
	_ = s.callers.server.Close()
	_ = s.peers.server.Close()
	_ = s.control.server.Close()
	for _, o := range s.optional {
		_ = o.server.Close()
	}
}
