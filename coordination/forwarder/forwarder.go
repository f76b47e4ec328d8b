// Package forwarder forwards a caller's request to a backend server and relays the answer.
package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/fingerprinter"
	"eelgrasspoint/coordination/retrier"
	"eelgrasspoint/protocol/propagator"
	"eelgrasspoint/protocol/responder"
	"eelgrasspoint/state/budgeter"
	"eelgrasspoint/state/holder"
	"eelgrasspoint/state/meter"
	"eelgrasspoint/transport/interrupter"
	"eelgrasspoint/transport/relayer"
	"eelgrasspoint/transport/replayer"
)

// Forwarder is the http.Handler of an entry node.
type Forwarder struct {
	Options
	relayer *relayer.Relayer
	// prefetched counts the bytes that are reserved for the prefetched parts of answers.
	prefetched atomic.Int64
}

// Options are the dependencies and settings of a forwarder.
type Options struct {
	Holder  *holder.Holder
	Chooser eelgrasspoint.Chooser
	Retrier *retrier.Retrier
	// Link is the byte budget of the traffic with other regions.
	Link *budgeter.Budgeter
	// Peers sends attempts to other nodes, Local to the backend server beside this node.
	Peers        eelgrasspoint.RoundTripper
	Local        eelgrasspoint.RoundTripper
	Meter        *meter.Meter
	Recorder     eelgrasspoint.Recorder
	Clock        eelgrasspoint.Clock
	Random       *rand.Rand
	MaxBodyBytes int64
	// Stopping reports whether the node is stopping, so that callers' connections are closed.
	Stopping func() bool
	// Fetch fetches the configuration from the candidate's node if the revision there is higher than the
	// given one.
	Fetch    func(ctx context.Context, from *eelgrasspoint.Candidate, revision eelgrasspoint.Revision)
	Contract eelgrasspoint.Contract
	// Service is the service of the backend server beside the node.
	Service string
}

// New returns a forwarder.
func New(options Options) *Forwarder {
	return &Forwarder{Options: options, relayer: relayer.New()}
}

// unreadBodyTime is how long net/http may read the rest of a request's body after the answer, before it closes the
// connection: a caller that is still sending must be able to read its answer.
const unreadBodyTime = 200 * time.Millisecond

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := f.Clock()
	// The answer may begin before the request's body has ended.
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex()
	p, err := f.prepare(r, start, interrupter.New(w))
	defer func() {
		p.body.Close(p.interrupter.Interrupt)
		if p.bodyUnread() {
			_ = controller.SetReadDeadline(f.Clock().Add(unreadBodyTime))
		}
	}()
	if err != nil {
		f.respondError(w, p, start, err)
		return
	}
	answer, err := p.runAttempts(r.Context())
	if err != nil {
		f.respondError(w, p, start, err)
		return
	}
	f.respond(w, p, start, answer)
}

// prepare reads the caller's options, matches the route and buffers the body if its length is known and at
// most MaxReplayBytes, and if the process stays within MaxReplayTotalBytes. The request is returned even
// with an error.
func (f *Forwarder) prepare(r *http.Request, now time.Time, bodyInterrupter *interrupter.Interrupter) (*proxiedRequest, *eelgrasspoint.OutcomeError) {
	callOptions, err := f.Contract.ReadCall(r)
	p := &proxiedRequest{
		forwarder:   f,
		snapshot:    f.Holder.Load(),
		request:     r,
		target:      eelgrasspoint.Target(r),
		start:       now,
		timeout:     callOptions.Timeout,
		meta:        eelgrasspoint.RequestMetadata{RequestID: callOptions.RequestID, Client: callOptions.Client, Depth: callOptions.Depth, Caller: f.Service},
		body:        replayer.New(r.Body, f.MaxBodyBytes),
		interrupter: bodyInterrupter,
	}
	p.self = p.snapshot.Self
	if err != nil {
		return p, err
	}
	if eelgrasspoint.TargetURL("", p.target).RequestURI() != p.target {
		return p, eelgrasspoint.Refuse(eelgrasspoint.BadHeader, "the path contains bytes that must be percent-encoded")
	}
	if err := p.matchRoute(); err != nil {
		return p, err
	}
	if r.ContentLength > f.MaxBodyBytes {
		return p, eelgrasspoint.Refuse(eelgrasspoint.BodyTooLarge, "")
	}
	if err := p.bufferBody(r.Context()); err != nil {
		return p, err
	}
	p.setFingerprint()
	return p, nil
}

// idempotencyKey returns the caller's Idempotency-Key header; it distinguishes requests that are
// otherwise identical.
func (p *proxiedRequest) idempotencyKey() string { return p.request.Header.Get("Idempotency-Key") }

// timeLimit returns the shorter of the route's time limit and the caller's timeout, if it set one.
func timeLimit(route *eelgrasspoint.Route, requested time.Duration) time.Duration {
	limit := route.TimeLimit
	if limit == 0 {
		limit = eelgrasspoint.DefaultTimeLimit
	}
	if requested > 0 {
		limit = min(limit, requested)
	}
	return limit
}

// setFingerprint sets the fingerprint of the request, by which it is recognized again after it crashed a backend server. If
// the body is not buffered as a whole, the exit node completes the fingerprint.
func (p *proxiedRequest) setFingerprint() {
	r := p.request
	head := fingerprinter.Head(r.Method, r.Host, p.target, p.meta.Client, p.idempotencyKey())
	if r.ContentLength != 0 && !p.body.Complete() {
		p.meta.Fingerprint, p.meta.BodyOpen = head, true
		return
	}
	whole := fingerprinter.New(head)
	_, _ = whole.Write(p.body.Buffered())
	p.meta.Fingerprint, p.meta.BodyOpen = whole.Sum(), false
}

func (f *Forwarder) respond(w http.ResponseWriter, p *proxiedRequest, start time.Time, answer *eelgrasspoint.Answer) {
	header := answer.Response.Header
	propagator.Strip(header)
	f.Contract.WriteAnswer(header, &p.meta)
	p.setConnectionClose(header)
	took := f.Clock().Sub(start)
	err := f.relayer.Relay(w, answer.Response)
	var cutShort *eelgrasspoint.AnswerCutShortError
	if errors.As(err, &cutShort) && !cutShort.Begun {
		f.respondError(w, p, start, p.lostAnswer(cutShort))
		return
	}
	f.Meter.ObserveRequest(p.meta.Service, eelgrasspoint.Answered, f.Clock().Sub(start))
	if err != nil {
		p.recordCutShort(err, took, answer.Response.StatusCode)
		p.resetOldCaller(w)
		panic(http.ErrAbortHandler)
	}
	p.recordEnd(eelgrasspoint.EventRequestAnswered, "", took, answer.Response.StatusCode)
}

// lostAnswer returns the error of a request whose answer was lost before a part of it was relayed.
func (p *proxiedRequest) lostAnswer(err *eelgrasspoint.AnswerCutShortError) *eelgrasspoint.OutcomeError {
	reason := eelgrasspoint.ConnectionLost
	if !p.forwarder.Clock().Before(p.meta.Deadline) {
		reason = eelgrasspoint.TimedOut
	}
	return &eelgrasspoint.OutcomeError{Outcome: eelgrasspoint.MayHaveRun, Reason: reason, Detail: err.Error()}
}

func (f *Forwarder) respondError(w http.ResponseWriter, p *proxiedRequest, start time.Time, err *eelgrasspoint.OutcomeError) {
	f.Meter.ObserveRequest(p.meta.Service, err.Outcome, f.Clock().Sub(start))
	f.Meter.CountWithoutAnswer(p.meta.Service, err.Reason)
	p.recordError(err, f.Clock().Sub(start))
	p.setConnectionClose(w.Header())
	responder.Write(w, f.Contract, p.meta.RequestID, &eelgrasspoint.OutcomeError{
		Outcome: err.Outcome, Reason: err.Reason, Detail: publicDetail(err), RetryAfter: err.RetryAfter,
	})
}

// publicDetail returns the detail if its reason is one whose details the caller may see; other details may
// contain addresses of nodes and backend servers.
func publicDetail(err *eelgrasspoint.OutcomeError) string {
	switch err.Reason {
	case eelgrasspoint.BadHeader, eelgrasspoint.HeaderTooLarge, eelgrasspoint.TooDeep, eelgrasspoint.BodyCutShort:
		return err.Detail
	default:
		return ""
	}
}

func errorEvent(err *eelgrasspoint.OutcomeError) eelgrasspoint.EventNumber {
	if err.Outcome == eelgrasspoint.MayHaveRun {
		return eelgrasspoint.EventRequestFailed
	}
	return eelgrasspoint.EventRequestRefused
}
