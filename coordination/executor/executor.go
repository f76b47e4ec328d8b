// Package executor runs attempts on the backend server beside the node.
package executor

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/admitter"
	"eelgrasspoint/coordination/detector"
	"eelgrasspoint/coordination/quarantiner"
	"eelgrasspoint/state/holder"
	"eelgrasspoint/transport/dialer"
)

// Executor runs all requests of one backend server. No request reaches the server another way, so the
// executor's count of requests in flight is exact. It is safe for concurrent use.
type Executor struct {
	options   Options
	transport *http.Transport

	mu      sync.Mutex
	backend *eelgrasspoint.BackendServer
	// suspectedCrashes counts the suspected crashes, confirmed or not.
	suspectedCrashes uint64
	runs             map[*run]struct{}
	runningSuspects  int
	pendingCrash     *pendingCrash
	loadReport       loadReport
	slowness         slownessHistory
	health           healthState
	notice           eelgrasspoint.ServerNotice
	detector         *detector.Detector
}

// Options are the dependencies of an Executor.
type Options struct {
	Holder      *holder.Holder
	Admitter    *admitter.Admitter
	Quarantiner *quarantiner.Quarantiner
	Recorder    eelgrasspoint.Recorder
	Clock       eelgrasspoint.Clock
	Dial        dialer.Func
	Contract    eelgrasspoint.Contract
	// TellsLoad is set if backend servers report their load.
	TellsLoad bool
	// CountCheck is called for each health check.
	CountCheck func()
	// CountArrival is called for each request that is sent to the backend server.
	CountArrival func()
	// Leaving is called when an answer of the announced backend server says that it leaves; it is optional.
	Leaving func(backend eelgrasspoint.BackendServer)
	// Report sends a crash to the other exit nodes of the service. It may be nil.
	Report func(Crash)
	// Quarantined is called when the crashes here quarantined requests. It may be nil.
	Quarantined func()
}

// Crash describes a crash of a backend server and the requests that were in flight.
type Crash struct {
	// Name is node/incarnation.
	Name    string
	Service string
	// Requests are those that were in flight.
	Requests []eelgrasspoint.CrashSuspect
}

var _ eelgrasspoint.RoundTripper = (*Executor)(nil)

// New returns an executor without a backend server.
func New(options Options) *Executor {
	return &Executor{options: options, runs: make(map[*run]struct{}), detector: detector.New()}
}

// SetBackend sets the announced backend server, or nil if it left. It opens the admitter, or closes it if
// there is no server or the server is draining. A server with a new incarnation or address, or one that
// is announced while there is none, counts as restarted: its announcement resets the admitter, load
// report, health state and connections, and confirms a pending crash. Another number of connections replaces them, too; other
// slots are in force at once.
func (e *Executor) SetBackend(backend *eelgrasspoint.BackendServer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	previous := e.backend
	e.backend = backend
	switch {
	case backend == nil:
		e.options.Admitter.Close(eelgrasspoint.NoServer)
	case backend.Draining:
		e.options.Admitter.Close(eelgrasspoint.Draining)
	default:
		e.options.Admitter.Open()
	}
	if backend == nil {
		return
	}
	if previous == nil || previous.Incarnation != backend.Incarnation || previous.Address != backend.Address {
		e.options.Admitter.Reset(int(backend.Slots))
		e.loadReport = loadReport{}
		e.slowness = slownessHistory{}
		e.health.answeredAt = time.Time{}
		e.notice = eelgrasspoint.ServerNotice{}
		e.detector.Reset()
		e.replaceTransport(backend)
		e.confirmCrash()
		return
	}
	if previous.Connections != backend.Connections {
		e.replaceTransport(backend)
	}
	if previous.Slots != backend.Slots {
		e.options.Admitter.SetSlots(int(backend.Slots))
	}
}

// Close closes the idle connections to the backend server.
func (e *Executor) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.transport != nil {
		e.transport.CloseIdleConnections()
	}
}

// Load returns the admitter's current load, with the slowness that the backend server last reported.
func (e *Executor) Load() eelgrasspoint.Load {
	load := e.options.Admitter.Load()
	if report := e.lastLoadReport(); !report.receivedAt.IsZero() {
		load.Slowness = report.load.Slowness
	}
	load.Pause = max(load.Pause, e.detector.Pause(e.options.Clock()), e.slowPause())
	return load
}

// RoundTrip admits the attempt, runs it and returns the backend server's answer. The slot stays in use
// until the answer's body ends, fails or is closed. Errors are of type *OutcomeError; an answer beside an
// error holds only the load hint.
func (e *Executor) RoundTrip(ctx context.Context, _ *eelgrasspoint.Candidate, attempt *eelgrasspoint.Attempt) (*eelgrasspoint.Answer, error) {
	r, answer, err := e.admit(ctx, attempt)
	if err == nil {
		answer, err = e.run(ctx, r)
	}
	if err != nil {
		e.recordFailure(&attempt.Meta, eelgrasspoint.AsOutcome(err), r)
	}
	return answer, err
}

func (e *Executor) loadHint() *eelgrasspoint.Answer {
	return &eelgrasspoint.Answer{Load: e.Load(), HasLoad: true}
}

// run sends the request of a run and returns the backend server's answer.
func (e *Executor) run(ctx context.Context, r *run) (*eelgrasspoint.Answer, error) {
	returned := false
	defer func() {
		if !returned {
			// A panic must not keep the slot.
			e.finish(r, eelgrasspoint.Sample{Ignored: true})
		}
	}()
	response, err := r.roundTrip(ctx)
	returned = true
	if err != nil {
		return nil, err
	}
	return &eelgrasspoint.Answer{Response: response, Load: e.Load(), HasLoad: true, ServedBy: e.options.Holder.Load().Self.Name}, nil
}

// finish releases the slot of the run, passes the sample to the admitter and, if the run succeeded, clears
// the suspicion of its request. It records an event if the admitter then counts the backend server as cold
// or gives up its last slots. Only the first call for a run has an effect; the others wait for it, so that the slot
// is free once an answer is closed.
func (e *Executor) finish(r *run, sample eelgrasspoint.Sample) {
	r.finishing.Do(func() {
		r.finished.Store(true)
		e.release(r, sample)
	})
}

// release does the work of finish.
func (e *Executor) release(r *run, sample eelgrasspoint.Sample) {
	e.mu.Lock()
	delete(e.runs, r)
	if r.suspect {
		e.runningSuspects--
	}
	e.mu.Unlock()
	r.abandoned()
	sample.Route, sample.Usual, sample.Crowded = r.attempt.Meta.Route, r.usualSpeed, r.crowded
	sample.At = e.options.Clock()
	sample.Admitted = r.admittedAt
	sample.Duration = r.serviceTime(sample.At)
	if fingerprint, known := r.identity.fingerprint(); sample.Succeeded && known {
		e.options.Quarantiner.RecordSuccess(fingerprint)
	}
	r.identity.release()
	turnedCold, slotsGivenUp := e.options.Admitter.Release(sample)
	if turnedCold {
		e.record(eelgrasspoint.EventBackendCold, r.backend.Service, "backend server "+r.backend.Address.String()+" looks cold: it refused a connection, or its latency fell repeatedly when the concurrency limit was lowered")
	}
	if slotsGivenUp {
		e.record(eelgrasspoint.EventLastSlotsGivenUp, r.backend.Service, fmt.Sprintf("at most %d of %d slots are used from now on: requests in the last slots took longer", admitter.FastSlots(int(r.backend.Slots)), r.backend.Slots))
	}
}
