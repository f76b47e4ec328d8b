// Package forwarder takes a caller's request to a backend server and its answer back.
package forwarder

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"eelgrasspoint"
	"eelgrasspoint/coordination/retrier"
	"eelgrasspoint/protocol/propagator"
	"eelgrasspoint/protocol/responder"
	"eelgrasspoint/state/budgeter"
	"eelgrasspoint/state/holder"
	"eelgrasspoint/state/meter"
	"eelgrasspoint/transport/relayer"
	"eelgrasspoint/transport/replayer"
)

// Forwarder is the http.Handler of an entry node.
type Forwarder struct {
	Options
	relayer *relayer.Relayer
}

// Options are what a forwarder depends on.
type Options struct {
	Holder       *holder.Holder
	Chooser      eelgrasspoint.Chooser
	Retrier      *retrier.Retrier
	Link         *budgeter.Budgeter
	Peers        eelgrasspoint.RoundTripper
	Local        eelgrasspoint.RoundTripper
	Meter        *meter.Meter
	Recorder     eelgrasspoint.Recorder
	Clock        eelgrasspoint.Clock
	Random       *rand.Rand
	MaxBodyBytes int64
	// Stopping reports whether callers are to open their next connection elsewhere.
	Stopping func() bool
	// CatchUp fetches from a candidate's node what was configured after a revision.
	CatchUp  func(ctx context.Context, from *eelgrasspoint.Candidate, after uint64)
	Contract eelgrasspoint.Contract
	// Service is that of the backend server beside the node.
	Service string
}

// New returns a forwarder.
func New(options Options) *Forwarder {
	return &Forwarder{Options: options, relayer: relayer.New()}
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := f.Clock()
	// The answer may begin before the request's body has ended.
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex()
	p, refusal := f.prepare(r, began)
	defer p.body.Close(func() { _ = controller.SetReadDeadline(began) })
	if refusal != nil {
		f.refuse(w, p, began, refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), p.meta.Deadline)
	defer cancel()
	answer, failure := p.runAttempts(ctx)
	if failure != nil {
		f.refuse(w, p, began, failure)
		return
	}
	f.answer(w, p, began, answer)
}

// prepare reads everything that is known before the first attempt.
func (f *Forwarder) prepare(r *http.Request, now time.Time) (*passage, *eelgrasspoint.OutcomeError) {
	call, refusal := f.Contract.ReadCall(r)
	p := &passage{
		forwarder: f,
		snapshot:  f.Holder.Load(),
		request:   r,
		began:     now,
		meta:      eelgrasspoint.RequestMetadata{RequestID: call.RequestID, Client: call.Client, Depth: call.Depth, Caller: f.Service},
		body:      replayer.New(r.Body, f.MaxBodyBytes),
	}
	p.self = p.snapshot.Self
	if refusal != nil {
		return p, refusal
	}
	if refusal := p.route(); refusal != nil {
		return p, refusal
	}
	p.meta.Deadline = now.Add(timeLimit(p.matched, call.Timeout))
	if r.ContentLength > f.MaxBodyBytes {
		return p, eelgrasspoint.Refuse(eelgrasspoint.BodyTooLarge, "")
	}
	if err := p.body.Prefetch(r.ContentLength); err != nil {
		return p, eelgrasspoint.Refuse(eelgrasspoint.BodyCutShort, err.Error())
	}
	p.meta.Fingerprint = fingerprint(p)
	return p, nil
}

// idempotencyKey tells sendings of one caller apart that are else alike.
func (p *passage) idempotencyKey() string { return p.request.Header.Get("Idempotency-Key") }

func timeLimit(route *eelgrasspoint.Route, asked time.Duration) time.Duration {
	limit := route.TimeLimit
	if limit == 0 {
		limit = eelgrasspoint.DefaultTimeLimit
	}
	if asked > 0 {
		limit = min(limit, asked)
	}
	return limit
}

// fingerprint tells one request from another as far as its caller's words go.
func fingerprint(p *passage) uint64 {
	d := xxhash.New()
	r := p.request
	for _, part := range []string{r.Method, r.Host, r.RequestURI, p.meta.Client, p.idempotencyKey()} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(r.ContentLength)))
	_, _ = d.Write(p.body.Buffered())
	return d.Sum64()
}

func (f *Forwarder) answer(w http.ResponseWriter, p *passage, began time.Time, answer *eelgrasspoint.Answer) {
	header := answer.Response.Header
	propagator.Strip(header)
	f.Contract.WriteAnswer(header, &p.meta)
	p.closeIfDue(header)
	defer func() { f.Meter.ObserveRequest(p.meta.Service, eelgrasspoint.Answered, f.Clock().Sub(began)) }()
	p.recordEnd(eelgrasspoint.EventRequestAnswered, "", began, answer.Response.StatusCode)
	f.relayer.Relay(w, answer.Response)
}

func (f *Forwarder) refuse(w http.ResponseWriter, p *passage, began time.Time, err *eelgrasspoint.OutcomeError) {
	f.Meter.ObserveRequest(p.meta.Service, err.Outcome, f.Clock().Sub(began))
	f.Meter.CountRefusal(p.meta.Service, err.Reason)
	p.recordEnd(refusalEvent(err), err.Error(), began, eelgrasspoint.Status(err.Outcome, err.Reason))
	p.closeIfDue(w.Header())
	responder.Write(w, f.Contract, p.meta.RequestID, &eelgrasspoint.OutcomeError{
		Outcome: err.Outcome, Reason: err.Reason, Detail: publicDetail(err), RetryAfter: err.RetryAfter,
	})
}

// publicDetail keeps addresses of nodes and backend servers from callers.
func publicDetail(err *eelgrasspoint.OutcomeError) string {
	switch err.Reason {
	case eelgrasspoint.BadHeader, eelgrasspoint.HeaderTooLarge, eelgrasspoint.TooDeep, eelgrasspoint.BodyCutShort:
		return err.Detail
	default:
		return ""
	}
}

func refusalEvent(err *eelgrasspoint.OutcomeError) eelgrasspoint.EventNumber {
	if err.Outcome == eelgrasspoint.MayHaveRun {
		return eelgrasspoint.EventRequestFailed
	}
	return eelgrasspoint.EventRequestRefused
}
