package forwarder

import (
	"context"
	"io"
	"slices"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/retrier"
)

// hedgedAttempt is one of two concurrent attempts of a request.
type hedgedAttempt struct {
	attemptResult
	startedAt time.Time
	cancel    context.CancelFunc
}

// hedgeLatencyFactor is the multiple of the candidate's smoothed latency after which the second attempt
// starts.
const hedgeLatencyFactor = 3

// hedge sends the request to a second candidate if the first has not answered within hedgeDelay, or, without budget for
// that, within a multiple of it. The first answer is returned, or the last error if no attempt is answered; the other
// attempt is canceled and its answer discarded.
func (p *proxiedRequest) hedge(ctx context.Context, first *eelgrasspoint.Candidate) attemptResult {
	done := make(chan *hedgedAttempt, 2)
	running := []*hedgedAttempt{p.startAttempt(ctx, first, done)}
	delay := p.hedgeDelay(first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	purpose := retrier.Hedge
	for {
		select {
		case a := <-done:
			p.noteEnd(a.attemptResult)
			running = slices.DeleteFunc(running, func(other *hedgedAttempt) bool { return other == a })
			if a.err == nil || len(running) == 0 {
				// The canceled attempts may have reached their backend servers.
				p.deliveredAttempts.Add(int32(len(running)))
				p.cancelRest(running, done)
				return bindCancel(a.attemptResult, a.cancel)
			}
			a.cancel()
		case <-timer.C:
			if second := p.hedgeCandidate(len(running), purpose); second != nil {
				running = append(running, p.startAttempt(ctx, second, done))
				continue
			}
			// An attempt that takes this long is more like one that failed than one that is slow.
			purpose = retrier.Retry
			delay *= 2
			timer.Reset(delay)
		}
	}
}

// hedgeCandidate returns the candidate of the second attempt. It returns nil if there is no other candidate,
// or if the route's MaxAttempts or the budget of the purpose doesn't allow another attempt.
func (p *proxiedRequest) hedgeCandidate(running int, purpose retrier.Purpose) *eelgrasspoint.Candidate {
	if maxAttempts := int(p.matchedRoute.MaxAttempts); maxAttempts > 0 && int(p.deliveredAttempts.Load())+running >= maxAttempts {
		return nil
	}
	candidate := p.choose()
	if candidate == nil || !p.forwarder.Retrier.TryWithdraw(p.meta.Service, purpose) {
		return nil
	}
	p.forwarder.Meter.CountHedge(p.meta.Service)
	p.record(eelgrasspoint.EventRequestHedged, "")
	return candidate
}

func (p *proxiedRequest) startAttempt(ctx context.Context, candidate *eelgrasspoint.Candidate, done chan<- *hedgedAttempt) *hedgedAttempt {
	ctx, cancel := context.WithDeadline(ctx, p.meta.Deadline)
	meta := p.newAttempt(candidate)
	a := &hedgedAttempt{attemptResult: attemptResult{candidate: candidate}, startedAt: p.forwarder.Clock(), cancel: cancel}
	go func() {
		a.answer, a.err = p.roundTrip(ctx, candidate, meta, p.body.NewSharedReader())
		done <- a
	}()
	return a
}

func (p *proxiedRequest) hedgeDelay(candidate *eelgrasspoint.Candidate) time.Duration {
	latency := candidate.Gauge.SmoothedLatency()
	return max(eelgrasspoint.MinHedgeDelay, hedgeLatencyFactor*latency)
}

// bindCancel returns the result of an attempt, whose context is canceled when the answer's body is closed, or
// at once after an error.
func bindCancel(result attemptResult, cancel context.CancelFunc) attemptResult {
	if result.err != nil {
		cancel()
		return result
	}
	response := result.answer.Response
	response.Body = &cancelingBody{ReadCloser: response.Body, cancel: cancel}
	return result
}

// cancelingBody cancels its attempt's context when it is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelingBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// cancelRest cancels the running attempts and closes the answers that they may still return. An attempt without an
// answer has taken at least the time since its start, which must not be forgotten: its candidate may answer nothing.
func (p *proxiedRequest) cancelRest(running []*hedgedAttempt, done <-chan *hedgedAttempt) {
	now := p.forwarder.Clock()
	for _, a := range running {
		if waited := now.Sub(a.startedAt); waited > a.candidate.Gauge.SmoothedLatency() {
			a.candidate.Gauge.ObserveLatency(waited, now)
		}
		a.cancel()
	}
	go func() {
		for range running {
			if a := <-done; a.err == nil {
				a.answer.Response.Body.Close()
			}
		}
	}()
}
