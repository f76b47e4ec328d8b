package forwarder

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/retrier"
	"eelgrasspoint/protocol/propagator"
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
	meta     eelgrasspoint.RequestMetadata
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
		p.meta.Service = p.matched.PickService(p.forwarder.Random.Float64())
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
	p.forwarder.Retrier.Deposit(p.meta.Service)
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
			if refusal := p.route(); refusal != nil {
				return nil, refusal
			}
			continue
		}
		if !p.mayRetry(last) {
			return nil, last
		}
	}
}

// catchUp fetches the configuration that another node has, once, and reports whether it is newer.
func (p *passage) catchUp(ctx context.Context) bool {
	if p.caughtUp {
		return false
	}
	p.caughtUp = true
	p.forwarder.CatchUp(ctx, p.tried[len(p.tried)-1], p.meta.Revision)
	p.snapshot = p.forwarder.Holder.Load()
	p.tried, p.busy = nil, nil
	return p.snapshot.Configuration.Revision > p.meta.Revision
}

// outgoingHeader is what every attempt carries of the caller's headers.
func (p *passage) outgoingHeader() http.Header {
	header := p.request.Header.Clone()
	propagator.Strip(header)
	relayer.StripHopByHop(header)
	header.Del("Expect")
	p.forwarder.Contract.RewriteHeader(header, p.request.RemoteAddr)
	return header
}

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
	if !retrier.MayRetry(failure, p.forwarder.Clock()) || p.attempts >= eelgrasspoint.MaxTotalAttempts {
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
	if !p.forwarder.Retrier.TryWithdraw(p.meta.Service, purpose) && purpose != retrier.Redirect {
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

// waited reports whether the request has had its time to wait for a slot: another wait would only
// hold back the answer that there is none.
func (p *passage) waited() bool {
	target := p.meta.TargetLatency
	patience := time.Duration(eelgrasspoint.MaxQueueWaitRatio * float64(target))
	return target > 0 && p.forwarder.Clock().Sub(p.began) > patience
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
