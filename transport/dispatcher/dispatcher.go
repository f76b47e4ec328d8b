// Package dispatcher sends attempts to the exit nodes of other backend servers.
package dispatcher

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"

	"eelgrasspoint"
	"eelgrasspoint/protocol/propagator"
	"eelgrasspoint/transport/dialer"
	"eelgrasspoint/transport/relayer"
)

// Dispatcher sends attempts over HTTP/2 without TLS. It is safe for concurrent use.
type Dispatcher struct {
	transport *http.Transport
	region    string
	clock     eelgrasspoint.Clock
}

var _ eelgrasspoint.RoundTripper = (*Dispatcher)(nil)

// New returns a dispatcher for a node in the region. It opens its connections with dial. A connection that
// receives nothing for PeerPingAfter is pinged; it is closed if the ping is not answered within
// PeerPingTimeout, so that later attempts use a new connection.
func New(dial dialer.Func, region string, clock eelgrasspoint.Clock) *Dispatcher {
	transport := NewTransport(dial)
	transport.IdleConnTimeout = eelgrasspoint.PeerIdleTimeout
	transport.HTTP2.SendPingTimeout = eelgrasspoint.PeerPingAfter
	transport.HTTP2.PingTimeout = eelgrasspoint.PeerPingTimeout
	return &Dispatcher{transport: transport, region: region, clock: clock}
}

// NewTransport returns an HTTP/2 transport for connections between nodes. It sends no pings: heartbeats
// detect an unresponsive connection, and an idle connection is closed after ExchangeIdleTimeout.
func NewTransport(dial dialer.Func) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext:           withConnectTimeout(dial),
		Protocols:             protocols,
		DisableCompression:    true,
		IdleConnTimeout:       eelgrasspoint.ExchangeIdleTimeout,
		ExpectContinueTimeout: eelgrasspoint.PeerContinueTimeout,
		HTTP2: &http.HTTP2Config{
			// The window of a connection is that of four streams, here as in the nodes' servers.
			MaxReceiveBufferPerConnection: eelgrasspoint.PeerWindowBytes * 4,
			MaxReceiveBufferPerStream:     eelgrasspoint.PeerWindowBytes,
		},
	}
}

// Close closes the idle connections.
func (d *Dispatcher) Close() { d.transport.CloseIdleConnections() }

// RoundTrip sends the attempt to the candidate's exit node and returns the answer of the backend server. If
// there is none, the error is an *eelgrasspoint.OutcomeError; an answer that is returned with the error
// holds only the load hint.
func (d *Dispatcher) RoundTrip(ctx context.Context, candidate *eelgrasspoint.Candidate, attempt *eelgrasspoint.Attempt) (*eelgrasspoint.Answer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		// net/http gets another connection only if the exit node has not processed the request.
		GetConn: func(string) { connected.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	request := d.request(httptrace.WithClientTrace(ctx, trace), candidate, attempt)
	response, err := d.transport.RoundTrip(request)
	if err != nil {
		return nil, attemptError(ctx, connected.Load() && !errors.Is(err, errNotProcessed), err)
	}
	return parseResponse(response)
}

// errNotProcessed is the error of a request that the exit node has not processed, as one that crossed the GOAWAY
// of a stopping node: net/http asks for the body again only then.
var errNotProcessed = errors.New("the exit node closed the connection and has not processed the request")

func (d *Dispatcher) request(ctx context.Context, candidate *eelgrasspoint.Candidate, attempt *eelgrasspoint.Attempt) *http.Request {
	header := attempt.Header.Clone()
	propagator.Write(header, &attempt.Meta, d.clock())
	header[eelgrasspoint.HeaderEntryRegion] = []string{d.region}
	target := &url.URL{Scheme: "http", Host: candidate.PeerAddress.String(), Opaque: attempt.Target}
	request := &http.Request{
		Method:        attempt.Method,
		URL:           target,
		Host:          attempt.Host,
		Header:        header,
		Body:          attempt.Body,
		ContentLength: attempt.Length,
	}
	if attempt.Length == 0 {
		request.Body = http.NoBody
	} else {
		request.GetBody = func() (io.ReadCloser, error) { return nil, errNotProcessed }
	}
	if eelgrasspoint.ExpectsContinue(attempt.Length) {
		// The exit node can refuse the attempt before a long body is sent.
		header["Expect"] = []string{"100-continue"}
	}
	return request.WithContext(ctx)
}

// attemptError returns the error of an attempt without a response. If it was not sent on a connection, or the
// exit node has not processed it, the attempt was not run; otherwise it may have run. If it was sent and reading
// the request body failed, err contains an *OutcomeError; its reason is kept and its detail is dropped.
func attemptError(ctx context.Context, sent bool, err error) error {
	var outcome *eelgrasspoint.OutcomeError
	if errors.As(err, &outcome) && sent {
		return &eelgrasspoint.OutcomeError{Outcome: eelgrasspoint.MayHaveRun, Reason: outcome.Reason}
	}
	if !sent {
		return eelgrasspoint.Refuse(eelgrasspoint.NotSentReason(ctx), err.Error())
	}
	return &eelgrasspoint.OutcomeError{Outcome: eelgrasspoint.MayHaveRun, Reason: eelgrasspoint.LostReason(ctx), Detail: err.Error()}
}

// parseResponse returns the answer of the backend server. If the response is one of the exit node itself, it
// returns an error and an answer that holds only the load hint; the detail in the response's body is dropped.
// Without a known outcome in the response, the attempt may have run.
func parseResponse(response *http.Response) (*eelgrasspoint.Answer, error) {
	header := response.Header
	load, hasLoad := propagator.ReadLoad(header)
	outcome, known := eelgrasspoint.ParseOutcome(header.Get(eelgrasspoint.HeaderOutcome))
	if known && outcome == eelgrasspoint.Answered {
		servedBy := header.Get(eelgrasspoint.HeaderServedBy)
		propagator.Strip(header)
		relayer.StripHopByHop(header)
		return &eelgrasspoint.Answer{Response: response, Load: load, HasLoad: hasLoad, ServedBy: servedBy}, nil
	}
	response.Body.Close()
	if !known {
		outcome = eelgrasspoint.MayHaveRun
	}
	reason := eelgrasspoint.ParseReason(header.Get(eelgrasspoint.HeaderReason))
	answer := &eelgrasspoint.Answer{Load: load, HasLoad: hasLoad}
	return answer, &eelgrasspoint.OutcomeError{Outcome: outcome, Reason: reason}
}

// withConnectTimeout returns a dial function that fails after ConnectTimeout.
func withConnectTimeout(dial dialer.Func) dialer.Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, eelgrasspoint.ConnectTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}
