package forwarder

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/retrier"
	"eelgrasspoint/protocol/labeler"
	"eelgrasspoint/transport/relayer"
	"eelgrasspoint/transport/replayer"
)

// passage is one request on its way through the entry node.
type passage struct {
	forwarder *Forwarder
	snapshot  *eelgrasspoint.Snapshot
	// self does not change, unlike the snapshot, which each choice reads anew.
	self     eelgrasspoint.Member
	request  *http.Request
	matched  *eelgrasspoint.Route
	meta     eelgrasspoint.Meta
	body     *replayer.Replayer
	header   http.Header
	tried    []*eelgrasspoint.Candidate
	began    time.Time
	attempts int
	// arrivals counts the attempts that may have reached a backend server.
	arrivals atomic.Int32
	// busy are the candidates that refused for their load.
	busy      []*eelgrasspoint.Candidate
	insisting bool
	caughtUp  bool
	// mayHaveRun is set once an attempt ended without proof that it did not run.
	mayHaveRun atomic.Bool
}

// route finds where the request may go.
func (p *passage) route() *eelgrasspoint.OutcomeError {
	r := p.request
	p.matched = p.snapshot.Router.Match(hostName(r.Host), r.URL.Path, r.Method)
	if p.matched == nil && p.snapshot.Configuration.Revision == 0 {
		return eelgrasspoint.Refuse(eelgrasspoint.NotReady, "no configuration yet")
	}
	if p.matched == nil {
		return eelgrasspoint.Refuse(eelgrasspoint.NoRoute, "")
	}
	p.meta.SetRoute(p.matched)
	p.meta.Revision = p.snapshot.Configuration.Revision
	if len(p.matched.Split) > 0 {
		p.meta.Service = p.matched.Pick(p.forwarder.Random.Float64())
	}
	permitted, lawful := p.snapshot.Router.Permitted(p.matched, p.meta.Client)
	p.meta.Permitted = permitted
	if !lawful {
		return eelgrasspoint.Refuse(eelgrasspoint.WrongRegion, "")
	}
	return nil
}

// runAttempts says "not run" only if no attempt may have run.
func (p *passage) runAttempts(ctx context.Context) (*eelgrasspoint.Answer, *eelgrasspoint.OutcomeError) {
	answer, failure := p.run(ctx)
	if failure != nil && failure.Outcome == eelgrasspoint.NotRun && p.mayHaveRun.Load() {
		failure = &eelgrasspoint.OutcomeError{Outcome: eelgrasspoint.MayHaveRun, Reason: failure.Reason, Detail: failure.Detail}
	}
	return answer, failure
}

// run sends attempts until one is answered or none may follow.
func (p *passage) run(ctx context.Context) (*eelgrasspoint.Answer, *eelgrasspoint.OutcomeError) {
	p.header = p.outgoingHeader()
	p.forwarder.Retrier.Earn(p.meta.Service)
	var last *eelgrasspoint.OutcomeError
	for {
		candidate := p.next()
		if candidate == nil {
			return nil, p.noCandidate(last)
		}
		answer, err := p.send(ctx, candidate)
		if err == nil && !p.replaceAnswer(answer) {
			return answer, nil
		}
		if err == nil {
			continue
		}
		last = p.callerFailure(err)
		if last.Reason == eelgrasspoint.StaleRoute && p.catchUp(ctx) {
			continue
		}
		if !p.mayRetry(last) {
			return nil, last
		}
	}
}

// next chooses a candidate, and one that refused for its load after a few such refusals.
func (p *passage) next() *eelgrasspoint.Candidate {
	if len(p.busy) >= eelgrasspoint.MaxRedirects {
		p.insist()
	}
	candidate := p.choose()
	if candidate == nil && p.insist() {
		candidate = p.choose()
	}
	return candidate
}

// insist makes candidates that refused only for their load eligible again: a busy backend
// server is better than none.
func (p *passage) insist() bool {
	if p.insisting || len(p.busy) == 0 {
		return false
	}
	p.insisting = true
	p.tried = slices.DeleteFunc(p.tried, func(c *eelgrasspoint.Candidate) bool { return slices.Contains(p.busy, c) })
	return true
}

// catchUp fetches the configuration that another node has and looks the route up again.
func (p *passage) catchUp(ctx context.Context) bool {
	if p.caughtUp {
		return false
	}
	p.caughtUp = true
	p.forwarder.CatchUp(ctx, p.tried[len(p.tried)-1], p.meta.Revision)
	p.snapshot = p.forwarder.Holder.Load()
	p.tried, p.busy = nil, nil
	return p.snapshot.Configuration.Revision > p.meta.Revision && p.route() == nil
}

// outgoingHeader is what every attempt carries of the caller's headers.
func (p *passage) outgoingHeader() http.Header {
	header := p.request.Header.Clone()
	labeler.Strip(header)
	relayer.StripHop(header)
	header.Del("Expect")
	p.forwarder.Contract.Forward(header, p.request.RemoteAddr)
	return header
}

// choose asks for a candidate as the snapshot of this moment has them: a zone may have left
// since the request came.
func (p *passage) choose() *eelgrasspoint.Candidate {
	f := p.forwarder
	p.snapshot = f.Holder.Load()
	need := &eelgrasspoint.Need{
		Region:           p.self.Region,
		AvailabilityZone: p.self.AvailabilityZone,
		Self:             p.self.Name,
		Meta:             &p.meta,
		Tried:            p.tried,
		SpillAllowed:     p.mayCrossLink(),
	}
	return f.Chooser.Choose(p.snapshot.Candidates[p.meta.Service], need, f.Clock(), f.Random)
}

// spillReserve is the share of the link's budget kept for requests that have no other way.
const spillReserve = 0.5

// mayCrossLink keeps what could be served here within the budget. A request that is bound to
// another region has no other way and is only counted.
func (p *passage) mayCrossLink() bool {
	if !p.meta.Permits(p.self.Region) {
		return true
	}
	return p.forwarder.Link.Allows(spillReserve)
}

// noCandidate says why no attempt can follow.
func (p *passage) noCandidate(last *eelgrasspoint.OutcomeError) *eelgrasspoint.OutcomeError {
	if last != nil {
		return last
	}
	return eelgrasspoint.Refuse(eelgrasspoint.NoServer, "")
}

// send makes one attempt, with a second one beside it if the route asks for hedging.
func (p *passage) send(ctx context.Context, candidate *eelgrasspoint.Candidate) (*eelgrasspoint.Answer, error) {
	if p.matched.Hedge && p.meta.Idempotent && p.body.Complete() {
		return p.hedge(ctx, candidate)
	}
	return p.attempt(ctx, candidate, p.body.Open())
}

// attempt sends the request to one candidate and learns from what comes back.
func (p *passage) attempt(ctx context.Context, candidate *eelgrasspoint.Candidate, body io.ReadCloser) (*eelgrasspoint.Answer, error) {
	return p.carry(ctx, candidate, p.nextAttempt(candidate), body)
}

// nextAttempt counts an attempt at the candidate.
func (p *passage) nextAttempt(candidate *eelgrasspoint.Candidate) eelgrasspoint.Meta {
	p.tried = append(p.tried, candidate)
	meta := p.meta
	meta.Attempt = p.attempts
	meta.Insists = p.insisting || !p.forwarder.Retrier.Has(p.meta.Service, retrier.Redirect)
	p.attempts++
	p.forwarder.Meter.Attempt(meta.Service, meta.Attempt)
	return meta
}

// carry is safe to be run beside another attempt of the same request.
func (p *passage) carry(ctx context.Context, candidate *eelgrasspoint.Candidate, meta eelgrasspoint.Meta, body io.ReadCloser) (*eelgrasspoint.Answer, error) {
	f := p.forwarder
	gauge := candidate.Gauge
	began := f.Clock()
	gauge.Begin(began)
	p.chargeLink(candidate, max(p.request.ContentLength, 0)+headerAllowance)
	answer, err := p.carrier(candidate).Carry(ctx, candidate, &eelgrasspoint.Attempt{
		Meta: meta, Method: p.request.Method, Target: p.request.RequestURI, Host: p.request.Host,
		Header: p.header, Body: body, Length: p.request.ContentLength,
	})
	now := f.Clock()
	if answer != nil && answer.HasLoad {
		gauge.SetLoad(answer.Load, now)
	}
	if err != nil {
		gauge.End(began)
		outcome := eelgrasspoint.AsOutcome(err)
		if !outcome.Reason.BeforeServer() || outcome.Outcome != eelgrasspoint.NotRun {
			p.arrivals.Add(1)
		}
		if outcome.Outcome != eelgrasspoint.NotRun {
			p.mayHaveRun.Store(true)
		}
		learnFailure(gauge, outcome, now)
		return nil, err
	}
	p.arrivals.Add(1)
	gauge.Succeed()
	gauge.ObserveStatus(serverError(answer.Response.StatusCode), now)
	gauge.Observe(now.Sub(began), now)
	if err := p.prefetch(answer); err != nil {
		gauge.End(began)
		gauge.Fail(now)
		p.mayHaveRun.Store(true)
		return nil, &eelgrasspoint.OutcomeError{Outcome: eelgrasspoint.MayHaveRun, Reason: eelgrasspoint.LostReason(ctx), Detail: err.Error()}
	}
	answer.Response.Body = &countedBody{ReadCloser: answer.Response.Body, passage: p, candidate: candidate, began: began}
	return answer, nil
}

func (p *passage) carrier(candidate *eelgrasspoint.Candidate) eelgrasspoint.Carrier {
	if candidate.Node == p.self.Name {
		return p.forwarder.Local
	}
	return p.forwarder.Peers
}

// chargeLink counts what crosses the link to another region: the request when it is sent, the
// answer as it comes.
func (p *passage) chargeLink(candidate *eelgrasspoint.Candidate, bytes int64) {
	if candidate.Region == p.self.Region || bytes == 0 {
		return
	}
	p.forwarder.Link.Charge(bytes)
	p.forwarder.Meter.Link(bytes)
}

// headerAllowance stands for the headers of a request and its answer on the link, in bytes.
const headerAllowance = 1024

// learnFailure holds back a backend server that could not be reached or broke off. A refusal
// for load says nothing against it.
func learnFailure(gauge *eelgrasspoint.Gauge, err *eelgrasspoint.OutcomeError, now time.Time) {
	switch err.Reason {
	case eelgrasspoint.ServerUnreachable, eelgrasspoint.ConnectionLost, eelgrasspoint.NoServer,
		eelgrasspoint.Draining, eelgrasspoint.ZoneOutOfService:
		gauge.Fail(now)
	case eelgrasspoint.TimedOut:
		gauge.ObserveStatus(true, now)
	}
}

func serverError(status int) bool { return status >= http.StatusInternalServerError }

// callerFailure turns a failure of the caller's own body into what it is.
func (p *passage) callerFailure(err error) *eelgrasspoint.OutcomeError {
	outcome := eelgrasspoint.AsOutcome(err)
	bodyErr := p.body.Err()
	if bodyErr == nil {
		return outcome
	}
	reason := eelgrasspoint.BodyCutShort
	if tooLarge := eelgrasspoint.AsOutcome(bodyErr); tooLarge.Reason == eelgrasspoint.BodyTooLarge {
		reason = eelgrasspoint.BodyTooLarge
	}
	return &eelgrasspoint.OutcomeError{Outcome: outcome.Outcome, Reason: reason, Detail: bodyErr.Error()}
}

func (p *passage) mayRetry(last *eelgrasspoint.OutcomeError) bool {
	failure := retrier.Failure{
		Err: last, Idempotent: p.meta.Idempotent, Replayable: p.body.Replayable(),
		Attempts: int(p.arrivals.Load()), MaxAttempts: int(p.matched.MaxAttempts), Deadline: p.meta.Deadline,
	}
	if !retrier.Allowed(failure, p.forwarder.Clock()) || p.attempts >= eelgrasspoint.MaxTries {
		return false
	}
	purpose := retrier.PurposeOf(last)
	if p.insisting && p.waited() {
		return false
	}
	if last.Reason == eelgrasspoint.SlowServer || last.Reason == eelgrasspoint.Overloaded {
		p.busy = append(p.busy, p.tried[len(p.tried)-1])
	}
	// A redirect that was already answered by "slow" is not given up for the budget's sake.
	if !p.forwarder.Retrier.Spend(p.meta.Service, purpose) && purpose != retrier.Redirect {
		return false
	}
	p.recordRetry(last)
	return true
}

// replaceAnswer reports whether an error of the backend server is worth another attempt, and
// gives the answer up if so.
func (p *passage) replaceAnswer(answer *eelgrasspoint.Answer) bool {
	if !serverError(answer.Response.StatusCode) || p.arrivals.Load() > 1 || !p.meta.Idempotent {
		return false
	}
	if p.choose() == nil {
		return false
	}
	if !p.mayRetry(&eelgrasspoint.OutcomeError{Outcome: eelgrasspoint.MayHaveRun}) {
		return false
	}
	answer.Response.Body.Close()
	p.mayHaveRun.Store(true)
	return true
}

// prefetch reads a short answer whole before any of it goes to the caller, so that a request
// whose answer breaks off can still be sent elsewhere.
func (p *passage) prefetch(answer *eelgrasspoint.Answer) error {
	response := answer.Response
	if response.ContentLength > eelgrasspoint.MaxPrefetchBytes || p.request.Method == http.MethodHead {
		return nil
	}
	head, err := io.ReadAll(io.LimitReader(response.Body, eelgrasspoint.MaxPrefetchBytes))
	if err != nil {
		response.Body.Close()
		return err
	}
	response.Body = &headedBody{Reader: io.MultiReader(bytes.NewReader(head), response.Body), Closer: response.Body}
	return nil
}

// headedBody is a body whose beginning was read already.
type headedBody struct {
	io.Reader
	io.Closer
}

// closeIfDue ends an HTTP/1.1 connection when the node stops, and after an answer that begins
// before the request's body has ended: net/http can't take the next request from it safely.
func (p *passage) closeIfDue(header http.Header) {
	unread := p.request.ContentLength != 0 && !p.body.Ended()
	if p.request.ProtoMajor == 1 && (unread || p.forwarder.Stopping()) {
		header["Connection"] = []string{"close"}
	}
}

// record writes an event unless this node's region may not store anything of the request.
func (p *passage) record(number eelgrasspoint.EventNumber, detail string, inputs ...eelgrasspoint.Input) {
	if !p.meta.Permits(p.self.Region) {
		return
	}
	p.forwarder.Recorder.Record(eelgrasspoint.Event{
		Number: number, Service: p.meta.Service, RequestID: p.meta.RequestID,
		AvailabilityZone: p.self.AvailabilityZone, Detail: detail, Permitted: p.meta.Permitted,
		Inputs: append(inputs,
			eelgrasspoint.Input{Name: "Route", Value: p.meta.Route},
			eelgrasspoint.Input{Name: "Revision", Value: p.meta.Revision},
			eelgrasspoint.Input{Name: "Attempts", Value: p.attempts},
			eelgrasspoint.Input{Name: "Arrivals", Value: p.arrivals.Load()}),
	})
}

// waited reports whether the request has had its time to wait for a slot: another wait would only
// hold back the answer that there is none.
func (p *passage) waited() bool {
	target := p.meta.TargetLatency
	patience := time.Duration(eelgrasspoint.QueueShare * float64(target))
	return target > 0 && p.forwarder.Clock().Sub(p.began) > patience
}

// recordRetry says why an attempt ended and what was known of its candidate.
func (p *passage) recordRetry(last *eelgrasspoint.OutcomeError) {
	candidate := p.tried[len(p.tried)-1]
	load, at := candidate.Gauge.Load()
	inputs := []eelgrasspoint.Input{
		{Name: "ExitNode", Value: candidate.Node},
		{Name: "InUse", Value: load.InUse},
		{Name: "Limit", Value: load.Limit},
		{Name: "Queued", Value: load.Queued},
		{Name: "Slowness", Value: load.Slowness},
	}
	if !at.IsZero() {
		inputs = append(inputs, eelgrasspoint.Input{Name: "AgeMilliseconds", Value: p.forwarder.Clock().Sub(at).Milliseconds()})
	}
	p.record(eelgrasspoint.EventRequestRetried, last.Error(), inputs...)
}

// recordEnd says how the request ended at this node.
func (p *passage) recordEnd(number eelgrasspoint.EventNumber, detail string, began time.Time, status int) {
	now := p.forwarder.Clock()
	inputs := []eelgrasspoint.Input{
		{Name: "Status", Value: status}, {Name: "TookMilliseconds", Value: now.Sub(began).Milliseconds()},
	}
	if !p.meta.Deadline.IsZero() {
		inputs = append(inputs, eelgrasspoint.Input{Name: "LeftMilliseconds", Value: p.meta.Deadline.Sub(now).Milliseconds()})
	}
	if len(p.tried) > 0 {
		inputs = append(inputs, eelgrasspoint.Input{Name: "ExitNode", Value: p.tried[len(p.tried)-1].Node})
	}
	p.record(number, detail, inputs...)
}

// countedBody ends the count of the request at its candidate when the answer ends.
type countedBody struct {
	io.ReadCloser
	passage   *passage
	candidate *eelgrasspoint.Candidate
	began     time.Time
	ended     bool
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.passage.chargeLink(b.candidate, int64(n))
	return n, err
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	if !b.ended {
		b.ended = true
		b.candidate.Gauge.End(b.began)
	}
	return b.ReadCloser.Close()
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
