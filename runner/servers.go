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
	"eelgrasspoint/transport/annotator"
	"eelgrasspoint/transport/receiver"
)

// Bounds of the servers.
const (
	readHeaderTimeout   = 10 * time.Second
	callerIdleTimeout   = 2 * time.Minute
	serverHeaderBytes   = 4 * eelgrasspoint.MaxHeaderBytes
	peerPingAfter       = 15 * time.Second
	announcePath        = "/backend-server"
	metricsPath         = "/metrics"
	connectionWindow    = 4 * eelgrasspoint.PeerWindowBytes
	callerStreamsAtOnce = 250
)

// handlers are what the three servers serve.
type handlers struct {
	callers, attempts, exchange, operators, announce, metrics http.Handler
	// ready and reports are optional.
	ready, reports http.Handler
}

// servers are the node's three listening sides.
type servers struct {
	callers, peers, control       *http.Server
	callersOn, peersOn, controlOn net.Listener
	// optional serve addresses that not every platform has.
	optional []optionalServer
}

// optionalServer serves an address that may be left out of the settings.
type optionalServer struct {
	name     string
	server   *http.Server
	listener net.Listener
}

func newServers(h handlers) servers {
	return servers{
		callers: callerServer(h.callers),
		peers:   peerServer(h.attempts, h.exchange),
		control: controlServer(h),
		optional: []optionalServer{
			{name: "ReadyAddress", server: smallServer(h.ready)},
			{name: "AnnounceAddress", server: smallServer(h.reports)},
		},
	}
}

// callerServer speaks HTTP/1.1 and HTTP/2 without TLS.
func callerServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: handler, Protocols: protocols, MaxHeaderBytes: serverHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: callerStreamsAtOnce, SendPingTimeout: peerPingAfter,
			MaxReceiveBufferPerConnection: connectionWindow, MaxReceiveBufferPerStream: eelgrasspoint.PeerWindowBytes,
		},
	}
}

// peerServer takes attempts and the exchange, told apart by a header that only nodes set.
func peerServer(attempts, exchange http.Handler) *http.Server {
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
		Handler: handler, Protocols: protocols, MaxHeaderBytes: serverHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: 2 * eelgrasspoint.PeerIdleTimeout,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: eelgrasspoint.MaxPeerStreams, SendPingTimeout: peerPingAfter,
			MaxReceiveBufferPerConnection: connectionWindow, MaxReceiveBufferPerStream: eelgrasspoint.PeerWindowBytes,
		},
	}
}

// smallServer takes short calls without bodies to speak of.
func smallServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout}
}

func controlServer(h handlers) *http.Server {
	mux := http.NewServeMux()
	mux.Handle(schema.OperatorsPathPrefix, h.operators)
	mux.Handle(announcePath, h.announce)
	mux.Handle(metricsPath, h.metrics)
	return &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout}
}

func (s *servers) listen(listen func(network, address string) (net.Listener, error), settings *loader.Settings) error {
	var err error
	if s.callersOn, err = listen("tcp", settings.CallerAddress.String()); err != nil {
		return trace.Wrap(err, "CallerAddress %v", settings.CallerAddress)
	}
	if s.peersOn, err = listen("tcp", settings.PeerAddress.String()); err != nil {
		return trace.Wrap(err, "PeerAddress %v", settings.PeerAddress)
	}
	if s.controlOn, err = listen("tcp", settings.ControlAddress.String()); err != nil {
		return trace.Wrap(err, "ControlAddress %v", settings.ControlAddress)
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
			return trace.Wrap(err, "%s %v", s.optional[i].name, address)
		}
	}
	return nil
}

// serve starts all three and returns where the first failure arrives.
func (s *servers) serve() <-chan error {
	failed := make(chan error, 3+len(s.optional))
	start := func(server *http.Server, listener net.Listener) {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}
	go start(s.callers, annotator.New(s.callersOn))
	go start(s.peers, s.peersOn)
	go start(s.control, s.controlOn)
	for _, o := range s.optional {
		if o.listener != nil {
			go start(o.server, o.listener)
		}
	}
	return failed
}

// shutdown waits for what is in flight: first the callers, whose requests may need the peers.
func (s *servers) shutdown(ctx context.Context) error {
	errs := []error{s.callers.Shutdown(ctx), s.peers.Shutdown(ctx), s.control.Shutdown(ctx)}
	for _, o := range s.optional {
		errs = append(errs, o.server.Shutdown(ctx))
	}
	return trace.NewAggregate(errs...)
}

// close ends all three without waiting.
func (s *servers) close() {
	_ = s.callers.Close()
	_ = s.peers.Close()
	_ = s.control.Close()
	for _, o := range s.optional {
		_ = o.server.Close()
	}
}
