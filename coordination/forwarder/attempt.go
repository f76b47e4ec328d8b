package forwarder

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/retrier"
)

// attemptResult is the end of an attempt at its candidate, with an answer or an error.
type attemptResult struct {
	candidate *eelgrasspoint.Candidate
	answer    *eelgrasspoint.Answer
	err       error
}

// send sends the request to the candidate, hedged if the route enables hedging, the request is
// idempotent and its body is buffered.
func (p *proxiedRequest) send(ctx context.Context, candidate *eelgrasspoint.Candidate) attemptResult {
	if p.matchedRoute.Hedge && p.meta.Idempotent && p.body.Complete() {
		return p.hedge(ctx, candidate)
	}
	return p.attempt(ctx, candidate, p.body.NewReader())
}

// attempt sends the request to one candidate without hedging.
func (p *proxiedRequest) attempt(ctx context.Context, candidate *eelgrasspoint.Candidate, body io.ReadCloser) attemptResult {
	ctx, cancel := context.WithDeadline(ctx, p.meta.Deadline)
	// net/http waits for the read of a request's body also after the request's context has ended.
	release := p.interruptAfter(ctx)
	answer, err := p.roundTrip(ctx, candidate, p.newAttempt(candidate), body)
	release()
	result := attemptResult{candidate: candidate, answer: answer, err: err}
	p.noteEnd(result)
	return bindCancel(result, cancel)
}

// noteEnd notes that an attempt ended. A candidate that refused because of its load is added to overloaded, one that the
// attempt did not reach is eligible again.
func (p *proxiedRequest) noteEnd(result attemptResult) {
	p.lastEnded = result.candidate
	if result.err == nil {
		return
	}
	switch eelgrasspoint.AsOutcome(result.err).Reason {
	case eelgrasspoint.SlowServer, eelgrasspoint.Overloaded, eelgrasspoint.ColdServer, eelgrasspoint.HangingServer:
		p.overloaded = append(p.overloaded, result.candidate)
	case eelgrasspoint.Withdrawn:
		// Only the connection failed; a new one may reach the same node.
		p.tried = slices.DeleteFunc(p.tried, func(c *eelgrasspoint.Candidate) bool { return c == result.candidate })
	}
}

// newAttempt counts a new attempt and returns its metadata. Insists asks the exit node to queue the request rather than to
// refuse it. It is set once queueRequested is set, if queueing costs less than a refusal and another attempt, if the
// candidate takes no request at the moment, so that no other one does, or if the budget of redirects (attempts after one
// that reached no backend server) is used up. A refusal would still cause a redirect then, since tryRetry allows
// redirects without budget.
func (p *proxiedRequest) newAttempt(candidate *eelgrasspoint.Candidate) eelgrasspoint.RequestMetadata {
	p.tried = append(p.tried, candidate)
	meta := p.meta
	meta.Attempt = p.attempts
	meta.Insists = p.queueRequested || p.cheaperToQueue(candidate) || candidate.Gauge.PauseLeft(p.forwarder.Clock()) > 0 ||
		!p.forwarder.Retrier.CanWithdraw(p.meta.Service, retrier.Redirect)
	p.attempts++
	meta.Repeatable = p.repeatable()
	p.forwarder.Meter.CountAttempt(meta.Service, meta.Attempt)
	return meta
}

// giveUpFunc returns the function that gives up the attempt, or nil if no other can follow it. It takes the token of
// the next attempt from the budget: several attempts on one connection must not count on the same token.
func (p *proxiedRequest) giveUpFunc(meta eelgrasspoint.RequestMetadata) func() bool {
	if !meta.Repeatable {
		return nil
	}
	return func() bool {
		if !p.forwarder.Retrier.TryWithdraw(meta.Service, retrier.Retry) {
			return false
		}
		p.retryPaid.Store(true)
		return true
	}
}

// repeatable reports whether another attempt could follow one that may have run: the route, the body, the
// candidates and the budget allow it at the moment.
func (p *proxiedRequest) repeatable() bool {
	failure := p.failure(&eelgrasspoint.OutcomeError{Outcome: eelgrasspoint.MayHaveRun})
	failure.Attempts++
	return !p.queueRequested && p.attempts < eelgrasspoint.MaxTotalAttempts &&
		len(p.snapshot.Candidates[p.meta.Service]) > len(p.tried) &&
		retrier.MayRetry(failure, p.forwarder.Clock()) &&
		p.forwarder.Retrier.CanWithdraw(p.meta.Service, retrier.Retry)
}

// roundTrip makes one attempt and updates the candidate's statistics. It is safe for concurrent use
// by the attempts of one request.
func (p *proxiedRequest) roundTrip(ctx context.Context, candidate *eelgrasspoint.Candidate, meta eelgrasspoint.RequestMetadata, body io.ReadCloser) (*eelgrasspoint.Answer, error) {
	f := p.forwarder
	stats := candidate.Gauge
	start := f.Clock()
	stats.Begin(start)
	p.chargeLink(candidate, max(p.request.ContentLength, 0)+estimatedHeaderBytes)
	answer, err := p.roundTripper(candidate).RoundTrip(ctx, candidate, &eelgrasspoint.Attempt{
		Meta: meta, Method: p.request.Method, Target: p.target, Host: p.request.Host,
		Header: p.header, Body: body, Length: p.request.ContentLength, GiveUp: p.giveUpFunc(meta),
	})
	now := f.Clock()
	if answer != nil && answer.HasLoad {
		stats.SetLoad(answer.Load, now)
	}
	if err != nil {
		stats.End(start)
		outcome := eelgrasspoint.AsOutcome(err)
		if outcome.Reason == eelgrasspoint.RateLimited && answer != nil {
			// Others wait for the next request that the server takes, too.
			outcome.RetryAfter = max(answer.Load.Pause, eelgrasspoint.BusyRetryAfter)
		}
		if !outcome.Reason.ServerNotReached() || outcome.Outcome != eelgrasspoint.NotRun {
			p.deliveredAttempts.Add(1)
		}
		if outcome.Outcome != eelgrasspoint.NotRun {
			p.mayHaveRun.Store(true)
		}
		recordFailure(stats, outcome, now)
		return nil, err
	}
	p.deliveredAttempts.Add(1)
	stats.RecordSuccess()
	stats.ObserveStatus(isServerError(answer.Response.StatusCode), now)
	stats.ObserveLatency(now.Sub(start), now)
	if err := p.prefetch(answer); err != nil {
		stats.End(start)
		stats.RecordFailure(now)
		p.mayHaveRun.Store(true)
		return nil, &eelgrasspoint.OutcomeError{Outcome: eelgrasspoint.MayHaveRun, Reason: eelgrasspoint.LostReason(ctx), Detail: err.Error()}
	}
	answer.Response.Body = &countedBody{ReadCloser: answer.Response.Body, proxied: p, candidate: candidate, start: start}
	return answer, nil
}

func (p *proxiedRequest) roundTripper(candidate *eelgrasspoint.Candidate) eelgrasspoint.RoundTripper {
	if candidate.Node == p.self.Name {
		return p.forwarder.Local
	}
	return p.forwarder.Peers
}

// chargeLink charges bytes sent to or received from another region to the link budget: the headers of
// both the request and the answer, as an estimate, and the request body when the request is sent; the
// answer's body as it is read. A request body of unknown length is not charged.
func (p *proxiedRequest) chargeLink(candidate *eelgrasspoint.Candidate, bytes int64) {
	if candidate.Region == p.self.Region || bytes == 0 {
		return
	}
	p.forwarder.Link.Charge(bytes)
	p.forwarder.Meter.AddLinkBytes(bytes)
}

// estimatedHeaderBytes is charged to the link for the headers of a request and its answer.
const estimatedHeaderBytes = 1024

// recordFailure ejects a backend server that could not be reached, is gone or leaving service, lost the
// connection or sent bytes that are no answer, and counts a timeout and an answer that violates the contract as
// server errors. A refusal because of load is not a fault of the server and changes nothing.
func recordFailure(stats *eelgrasspoint.ServerStats, err *eelgrasspoint.OutcomeError, now time.Time) {
	switch err.Reason {
	case eelgrasspoint.ServerUnreachable, eelgrasspoint.ConnectionLost, eelgrasspoint.MalformedAnswer,
		eelgrasspoint.NoServer, eelgrasspoint.Draining, eelgrasspoint.ZoneOutOfService:
		stats.RecordFailure(now)
	case eelgrasspoint.TimedOut, eelgrasspoint.BadAnswer:
		stats.ObserveStatus(true, now)
	}
}

func isServerError(status int) bool { return status >= http.StatusInternalServerError }
