package forwarder

import (
	"context"
	"io"
	"slices"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/retrier"
)

// rival is one of two attempts that run beside each other.
type rival struct {
	answer *eelgrasspoint.Answer
	err    error
	cancel context.CancelFunc
}

// hedgeFactor is how many times the usual latency an attempt may take before another joins it.
const hedgeFactor = 3

// hedge sends the request to a second candidate if the first is slow. The first answer wins;
// the other attempt is cancelled and its answer goes nowhere.
func (p *passage) hedge(ctx context.Context, first *eelgrasspoint.Candidate) (*eelgrasspoint.Answer, error) {
	ended := make(chan *rival, 2)
	running := []*rival{p.launch(ctx, first, ended)}
	timer := time.NewTimer(p.hedgeDelay(first))
	defer timer.Stop()
	for {
		select {
		case r := <-ended:
			running = slices.DeleteFunc(running, func(other *rival) bool { return other == r })
			if r.err == nil || len(running) == 0 {
				// Those that are cancelled may have reached their backend servers.
				p.arrivals.Add(int32(len(running)))
				cancelAll(running, ended)
				return keep(r)
			}
			r.cancel()
		case <-timer.C:
			if second := p.second(len(running)); second != nil {
				running = append(running, p.launch(ctx, second, ended))
			}
		}
	}
}

// second returns another candidate if the route and the budget allow one beside those running.
func (p *passage) second(running int) *eelgrasspoint.Candidate {
	if most := int(p.matched.MaxAttempts); most > 0 && int(p.arrivals.Load())+running >= most {
		return nil
	}
	candidate := p.choose()
	if candidate == nil || !p.forwarder.Retrier.TryWithdraw(p.meta.Service, retrier.Hedge) {
		return nil
	}
	p.forwarder.Meter.CountHedge(p.meta.Service)
	p.record(eelgrasspoint.EventRequestHedged, "")
	return candidate
}

func (p *passage) launch(ctx context.Context, candidate *eelgrasspoint.Candidate, ended chan<- *rival) *rival {
	ctx, cancel := context.WithCancel(ctx)
	meta := p.nextAttempt(candidate)
	r := &rival{cancel: cancel}
	go func() {
		r.answer, r.err = p.carry(ctx, candidate, meta, p.body.NewSharedReader())
		ended <- r
	}()
	return r
}

func (p *passage) hedgeDelay(candidate *eelgrasspoint.Candidate) time.Duration {
	usual := candidate.Gauge.SmoothedLatency()
	return max(eelgrasspoint.MinHedgeDelay, hedgeFactor*usual)
}

// keep ties the attempt's context to the answer's body.
func keep(r *rival) (*eelgrasspoint.Answer, error) {
	if r.err != nil {
		r.cancel()
		return nil, r.err
	}
	r.answer.Response.Body = &cancelingBody{ReadCloser: r.answer.Response.Body, cancel: r.cancel}
	return r.answer, nil
}

// cancelingBody ends its attempt's context when it is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelingBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// cancelAll ends the other attempts and closes what they may still bring.
func cancelAll(running []*rival, ended <-chan *rival) {
	for _, r := range running {
		r.cancel()
	}
	go func() {
		for range running {
			if r := <-ended; r.err == nil {
				r.answer.Response.Body.Close()
			}
		}
	}()
}
