package executor

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"eelgrasspoint"
)

// Bounds of what is known of the backend server's speed.
const (
	// maxLoadAge is how long a word on the backend server's speed is relied upon.
	maxLoadAge = 25 * time.Millisecond
	// healthCheckTimeout bounds a health check; without an answer the speed is not known.
	healthCheckTimeout = 40 * time.Millisecond
	// maxHealthAge is how long a health check is relied upon for whether the backend server is cold.
	maxHealthAge = 500 * time.Millisecond
	// maxDrainBytes bounds what is read of an answer that nobody wants.
	maxDrainBytes = 4 << 10
)

// timedLoad is what the backend server last said of its work.
type timedLoad struct {
	load eelgrasspoint.ServerLoad
	at   time.Time
}

// healthCheck is the one that is under way, if any, and when the last was answered.
type healthCheck struct {
	running chan struct{}
	at      time.Time
}

// learnLoad keeps what the backend server said beside an answer.
func (e *Executor) learnLoad(remark eelgrasspoint.AnswerMetadata) {
	if !remark.HasLoad {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load = timedLoad{load: remark.Load, at: e.options.Clock()}
}

// InvalidateLoad discards the last load report and health check, so that the next request makes
// a new health check.
func (e *Executor) InvalidateLoad() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load.at = time.Time{}
	e.health.at = time.Time{}
}

// slowNow reports whether the backend server says that it is slow at this moment. It is asked
// if what it said last is too old.
func (e *Executor) slowNow(ctx context.Context, insists bool) bool {
	path := e.healthPath()
	if path == "" || insists && !e.unknown() {
		return false
	}
	return e.askedSlow(ctx, path) && !insists
}

// askedSlow asks the backend server how it is, unless that is known, and reports whether it is slow.
func (e *Executor) askedSlow(ctx context.Context, path string) bool {
	if done := e.askIfOld(path); done != nil {
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.freshLoad() && e.load.load.Slowness >= eelgrasspoint.SlownessThreshold
}

// freshLoad reports whether what the backend server said last is relied upon. It is called with
// the lock held.
func (e *Executor) freshLoad() bool { return e.options.Clock().Sub(e.load.at) <= maxLoadAge }

// awaitSpeed waits while the backend server is slow, for a part of the request's target latency: a
// run that begins then takes as many times as long to its end.
func (e *Executor) awaitSpeed(ctx context.Context, meta *eelgrasspoint.RequestMetadata) error {
	path := e.healthPath()
	if path == "" {
		return nil
	}
	until := e.options.Clock().Add(time.Duration(eelgrasspoint.MaxSlowWaitRatio * float64(meta.TargetLatency)))
	for e.askedSlow(ctx, path) && e.options.Clock().Before(until) {
		select {
		case <-ctx.Done():
		case <-time.After(maxLoadAge):
		}
	}
	if ctx.Err() != nil {
		return eelgrasspoint.Refuse(eelgrasspoint.NotSentReason(ctx), "the backend server was slow")
	}
	return nil
}

// unknown reports whether the backend server was not asked yet whether it is cold.
func (e *Executor) unknown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.health.at.IsZero()
}

// askIfOld starts a health check, or joins the one under way, unless what is known is fresh.
func (e *Executor) askIfOld(path string) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Clock()
	if e.freshLoad() && now.Sub(e.health.at) <= maxHealthAge {
		return nil
	}
	if e.health.running == nil {
		e.health.running = make(chan struct{})
		go e.refreshHealth(path, e.health.running)
	}
	return e.health.running
}

// healthPath returns where the backend server answers health checks, or nothing.
func (e *Executor) healthPath() string {
	if !e.options.TellsLoad {
		return ""
	}
	e.mu.Lock()
	backend := e.backend
	e.mu.Unlock()
	if backend == nil {
		return ""
	}
	return e.options.Holder.Load().Configuration.Document.Service(backend.Service).HealthPath
}

// refreshHealth makes a health check, stores its result and closes done.
func (e *Executor) refreshHealth(path string, done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), healthCheckTimeout)
	defer cancel()
	health, err := e.askHealth(ctx, path)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.health.running = nil
	defer close(done)
	if err != nil {
		return
	}
	now := e.options.Clock()
	e.health.at = now
	if health.HasLoad {
		e.load = timedLoad{load: health.Load, at: now}
	}
	if health.Cold > 0 || e.options.Admitter.Cold() {
		e.options.Admitter.SetCold(health.Cold)
	}
}

func (e *Executor) askHealth(ctx context.Context, path string) (eelgrasspoint.Health, error) {
	e.mu.Lock()
	backend, transport := e.backend, e.transport
	e.mu.Unlock()
	if backend == nil {
		return eelgrasspoint.Health{}, eelgrasspoint.Refuse(eelgrasspoint.NoServer, "")
	}
	return e.ask(ctx, transport, backend.Address, path)
}

// CheckHealth sends a health check to an address from which no backend server has announced
// itself yet.
func (e *Executor) CheckHealth(ctx context.Context, address netip.AddrPort, path string) (eelgrasspoint.Health, error) {
	transport := &http.Transport{DialContext: e.options.Dial, DisableKeepAlives: true}
	return e.ask(ctx, transport, address, path)
}

func (e *Executor) ask(ctx context.Context, transport *http.Transport, address netip.AddrPort, path string) (eelgrasspoint.Health, error) {
	e.options.CountCheck()
	request := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: address.String(), Path: path},
		Header: http.Header{"User-Agent": nil}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	response, err := transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return eelgrasspoint.Health{}, err
	}
	defer drain(response)
	return e.options.Contract.ReadHealth(response), nil
}

// drain reads what is left of a short answer, so that its connection can be used again.
func drain(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxDrainBytes)
	response.Body.Close()
}

// told returns what the backend server last said of its work; the time is zero if it said nothing.
func (e *Executor) told() timedLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load
}
