// Package dispatcher sends attempts to the exit nodes of other backend servers.
package dispatcher

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/protocol/propagator"
	"eelgrasspoint/transport/dialer"
	"eelgrasspoint/transport/relayer"
	"eelgrasspoint/transport/renewer"
)

// Dispatcher sends attempts over HTTP/2 without TLS. It is safe for concurrent use.
type Dispatcher struct {
	transport *http.Transport
	renewer   *renewer.Renewer
	region    string
	clock     eelgrasspoint.Clock
}

var _ eelgrasspoint.RoundTripper = (*Dispatcher)(nil)

// New returns a dispatcher for a node in the region. It opens its connections with dial. A connection with attempts from
// which nothing is read is checked after PeerCheckAfter at most. If nothing is read for another PeerSuspectAfter at most,
// later attempts use a new connection, and those that have not arrived at the exit node are withdrawn. After PeerSilentAfter, the attempts
// that can be repeated fail; the others wait until the connection is dead or their deadline passes.
func New(dial dialer.Func, region string, clock eelgrasspoint.Clock) *Dispatcher {
	d := &Dispatcher{renewer: renewer.New(), region: region, clock: clock}
	d.transport = newTransport(withTimeout(d.watched(d.renewer.Dial(dial)), eelgrasspoint.ConnectTimeout))
	d.transport.IdleConnTimeout = eelgrasspoint.PeerIdleTimeout
	return d
}

// NewTransport returns an HTTP/2 transport for the Exchange service of other nodes. It sends no pings: heartbeats
// detect an unresponsive connection, and an idle connection is closed after ExchangeIdleTimeout.
func NewTransport(dial dialer.Func) *http.Transport {
	return newTransport(withTimeout(dial, eelgrasspoint.ExchangeConnectTimeout))
}

func newTransport(dial dialer.Func) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext:            dial,
		Protocols:              protocols,
		DisableCompression:     true,
		IdleConnTimeout:        eelgrasspoint.ExchangeIdleTimeout,
		ExpectContinueTimeout:  eelgrasspoint.PeerContinueTimeout,
		MaxResponseHeaderBytes: eelgrasspoint.MaxPeerAnswerHeaderBytes,
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
	sendCtx, cancel := context.WithCancel(ctx)
	sentAt := time.Now()
	v := &delivery{giveUp: attempt.GiveUp, cancel: cancel, deadline: attempt.Meta.Deadline, withdraw: func() bool { return d.withdraw(candidate, &attempt.Meta, sentAt) }}
	request := d.request(httptrace.WithClientTrace(sendCtx, v.trace()), candidate, attempt)
	if attempt.Length != 0 {
		v.attach(request, attempt.Body)
	}
	response, err := d.transport.RoundTrip(request)
	if err != nil && v.withdrawn.Load() {
		v.end()
		return nil, eelgrasspoint.Refuse(eelgrasspoint.Withdrawn, "the connection to the exit node was silent")
	}
	if err != nil {
		if sendCtx.Err() != nil && ctx.Err() == nil {
			err = errSilent
		}
		v.end()
		return nil, attemptError(ctx, v.connected, err)
	}
	// The caller may get a part of the answer before its end, so the request can't be repeated any more.
	v.endWatch()
	response.Body = &deliveredBody{ReadCloser: response.Body, delivery: v}
	return parseResponse(response)
}

func (d *Dispatcher) request(ctx context.Context, candidate *eelgrasspoint.Candidate, attempt *eelgrasspoint.Attempt) *http.Request {
	header := attempt.Header.Clone()
	propagator.Write(header, &attempt.Meta, d.clock())
	header[eelgrasspoint.HeaderEntryRegion] = []string{d.region}
	request := &http.Request{
		Method:        attempt.Method,
		URL:           eelgrasspoint.TargetURL(d.renewer.Host(candidate.PeerAddress), attempt.Target),
		Host:          attempt.Host,
		Header:        header,
		Body:          http.NoBody,
		ContentLength: attempt.Length,
	}
	if eelgrasspoint.ExpectsContinue(attempt.Length) {
		// The exit node can refuse the attempt before a long body is sent.
		header["Expect"] = []string{"100-continue"}
	}
	return request.WithContext(ctx)
}

// attemptError returns the error of an attempt without a response. The attempt was not run if it had no
// connection, so that nothing was sent, or if the exit node did not process it; otherwise it may have run. If
// reading the request body of such an attempt failed, err contains an *OutcomeError; its reason is kept and its
// detail is dropped.
func attemptError(ctx context.Context, connected bool, err error) error {
	if !connected || errors.Is(err, errNotProcessed) {
		return eelgrasspoint.Refuse(eelgrasspoint.NotSentReason(ctx), err.Error())
	}
	var outcome *eelgrasspoint.OutcomeError
	if errors.As(err, &outcome) {
		return &eelgrasspoint.OutcomeError{Outcome: eelgrasspoint.MayHaveRun, Reason: outcome.Reason}
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

// withTimeout returns a dial function that fails after the timeout.
func withTimeout(dial dialer.Func, timeout time.Duration) dialer.Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}
