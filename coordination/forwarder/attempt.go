package forwarder

import (
	"context"
	"io"
	"net/http"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/retrier"
)

// send makes one attempt, with a second one beside it if the route asks for hedging.
func (p *passage) send(ctx context.Context, candidate *eelgrasspoint.Candidate) (*eelgrasspoint.Answer, error) {
	if p.matched.Hedge && p.meta.Idempotent && p.body.Complete() {
		return p.hedge(ctx, candidate)
	}
	return p.attempt(ctx, candidate, p.body.NewReader())
}

// attempt sends the request to one candidate and learns from what comes back.
func (p *passage) attempt(ctx context.Context, candidate *eelgrasspoint.Candidate, body io.ReadCloser) (*eelgrasspoint.Answer, error) {
	return p.carry(ctx, candidate, p.nextAttempt(candidate), body)
}

// nextAttempt counts an attempt at the candidate.
func (p *passage) nextAttempt(candidate *eelgrasspoint.Candidate) eelgrasspoint.RequestMetadata {
	p.tried = append(p.tried, candidate)
	meta := p.meta
	meta.Attempt = p.attempts
	meta.Insists = p.insisting || p.dearToMove(candidate) || !p.forwarder.Retrier.CanWithdraw(p.meta.Service, retrier.Redirect)
	p.attempts++
	p.forwarder.Meter.CountAttempt(meta.Service, meta.Attempt)
	return meta
}

// carry is safe to be run beside another attempt of the same request.
func (p *passage) carry(ctx context.Context, candidate *eelgrasspoint.Candidate, meta eelgrasspoint.RequestMetadata, body io.ReadCloser) (*eelgrasspoint.Answer, error) {
	f := p.forwarder
	gauge := candidate.Gauge
	began := f.Clock()
	gauge.Begin(began)
	p.chargeLink(candidate, max(p.request.ContentLength, 0)+headerAllowance)
	answer, err := p.carrier(candidate).RoundTrip(ctx, candidate, &eelgrasspoint.Attempt{
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
		if !outcome.Reason.ServerNotReached() || outcome.Outcome != eelgrasspoint.NotRun {
			p.arrivals.Add(1)
		}
		if outcome.Outcome != eelgrasspoint.NotRun {
			p.mayHaveRun.Store(true)
		}
		learnFailure(gauge, outcome, now)
		return nil, err
	}
	p.arrivals.Add(1)
	gauge.RecordSuccess()
	gauge.ObserveStatus(serverError(answer.Response.StatusCode), now)
	gauge.ObserveLatency(now.Sub(began), now)
	if err := p.prefetch(answer); err != nil {
		gauge.End(began)
		gauge.RecordFailure(now)
		p.mayHaveRun.Store(true)
		return nil, &eelgrasspoint.OutcomeError{Outcome: eelgrasspoint.MayHaveRun, Reason: eelgrasspoint.LostReason(ctx), Detail: err.Error()}
	}
	answer.Response.Body = &countedBody{ReadCloser: answer.Response.Body, passage: p, candidate: candidate, began: began}
	return answer, nil
}

func (p *passage) carrier(candidate *eelgrasspoint.Candidate) eelgrasspoint.RoundTripper {
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
	p.forwarder.Meter.AddLinkBytes(bytes)
}

// headerAllowance stands for the headers of a request and its answer on the link, in bytes.
const headerAllowance = 1024

// learnFailure holds back a backend server that could not be reached or broke off. A refusal
// for load says nothing against it.
func learnFailure(gauge *eelgrasspoint.ServerStats, err *eelgrasspoint.OutcomeError, now time.Time) {
	switch err.Reason {
	case eelgrasspoint.ServerUnreachable, eelgrasspoint.ConnectionLost, eelgrasspoint.NoServer,
		eelgrasspoint.Draining, eelgrasspoint.ZoneOutOfService:
		gauge.RecordFailure(now)
	case eelgrasspoint.TimedOut:
		gauge.ObserveStatus(true, now)
	}
}

func serverError(status int) bool { return status >= http.StatusInternalServerError }
