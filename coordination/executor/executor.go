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
	"eelgrasspoint/coordination/quarantiner"
	"eelgrasspoint/state/holder"
	"eelgrasspoint/transport/dialer"
)

// Executor is the only way to its backend server, so it knows exactly what runs there.
// It is safe for concurrent use.
type Executor struct {
	options   Options
	transport *http.Transport

	mu       sync.Mutex
	backend  *eelgrasspoint.BackendServer
	epoch    uint64
	runs     map[*run]struct{}
	suspects int
	crash    *pendingCrash
	load     timedLoad
	health   healthCheck
}

// Options are what an executor depends on.
type Options struct {
	Holder      *holder.Holder
	Admitter    *admitter.Admitter
	Quarantiner *quarantiner.Quarantiner
	Recorder    eelgrasspoint.Recorder
	Clock       eelgrasspoint.Clock
	Dial        dialer.Func
	Contract    eelgrasspoint.Contract
	// TellsLoad is set if backend servers tell their load.
	TellsLoad bool
	// CountCheck is told of each health check.
	CountCheck func()
	// Report tells the other exit nodes of the service about a crash.
	Report func(Crash)
}

// Crash is the end of a backend server with requests in flight.
type Crash struct {
	Name         string
	Service      string
	Fingerprints []SuspectRequest
}

// SuspectRequest is a request that was in flight at a crash.
type SuspectRequest struct {
	Fingerprint uint64
	Permitted   []string
}

var _ eelgrasspoint.RoundTripper = (*Executor)(nil)

// New returns an executor without a backend server.
func New(options Options) *Executor {
	return &Executor{options: options, runs: make(map[*run]struct{})}
}

// SetBackend takes what the backend server announced, or nil if it left. Another incarnation
// is a cold start.
func (e *Executor) SetBackend(backend *eelgrasspoint.BackendServer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.backend
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
	if old == nil || old.Incarnation != backend.Incarnation || old.Address != backend.Address {
		e.options.Admitter.Reset(int(backend.Slots))
		e.load = timedLoad{}
		e.health.at = time.Time{}
		e.replaceTransport(backend)
		e.confirmCrash()
	}
}

// Close closes the warm connections to the backend server.
func (e *Executor) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.transport != nil {
		e.transport.CloseIdleConnections()
	}
}

// Load returns the present counts of the backend server's work.
func (e *Executor) Load() eelgrasspoint.Load {
	load := e.options.Admitter.Load()
	if said := e.told(); !said.at.IsZero() {
		load.Slowness = said.load.Slowness
	}
	return load
}

// RoundTrip admits the attempt, runs it and returns the backend server's answer. The slot is
// held until the answer's body is closed.
func (e *Executor) RoundTrip(ctx context.Context, candidate *eelgrasspoint.Candidate, attempt *eelgrasspoint.Attempt) (*eelgrasspoint.Answer, error) {
	answer, err := e.carry(ctx, candidate, attempt)
	if err != nil {
		e.recordEnd(&attempt.Meta, eelgrasspoint.AsOutcome(err))
	}
	return answer, err
}

// recordEnd says why an attempt ended without an answer of the backend server.
func (e *Executor) recordEnd(meta *eelgrasspoint.RequestMetadata, outcome *eelgrasspoint.OutcomeError) {
	snapshot := e.options.Holder.Load()
	if !meta.Permits(snapshot.Self.Region) {
		return
	}
	number := eelgrasspoint.EventAttemptFailed
	if outcome.Outcome == eelgrasspoint.NotRun {
		number = eelgrasspoint.EventAttemptRefused
	}
	load := e.Load()
	said := e.told()
	inputs := []eelgrasspoint.Input{
		{Name: "Attempt", Value: meta.Attempt},
		{Name: "Insists", Value: meta.Insists},
		{Name: "InUse", Value: load.InUse},
		{Name: "Limit", Value: load.Limit},
		{Name: "Queued", Value: load.Queued},
		{Name: "LeftMilliseconds", Value: eelgrasspoint.Remaining(meta.Deadline, e.options.Clock()).Milliseconds()},
		{Name: "Revision", Value: snapshot.Configuration.Revision},
	}
	if !said.at.IsZero() {
		inputs = append(inputs,
			eelgrasspoint.Input{Name: "Slowness", Value: said.load.Slowness},
			eelgrasspoint.Input{Name: "AgeMilliseconds", Value: e.options.Clock().Sub(said.at).Milliseconds()})
	}
	e.options.Recorder.Record(eelgrasspoint.Event{
		Number: number, Service: meta.Service, RequestID: meta.RequestID, Permitted: meta.Permitted,
		AvailabilityZone: snapshot.Self.AvailabilityZone, Detail: outcome.Error(), Inputs: inputs,
	})
}

func (e *Executor) carry(ctx context.Context, _ *eelgrasspoint.Candidate, attempt *eelgrasspoint.Attempt) (*eelgrasspoint.Answer, error) {
	if err := e.check(&attempt.Meta); err != nil {
		return nil, err
	}
	if e.slowNow(ctx, attempt.Meta.Insists) {
		return &eelgrasspoint.Answer{Load: e.Load(), HasLoad: true}, eelgrasspoint.Refuse(eelgrasspoint.SlowServer, "")
	}
	admitted, err := e.options.Admitter.Admit(ctx, &attempt.Meta)
	if err != nil {
		return &eelgrasspoint.Answer{Load: e.Load(), HasLoad: true}, err
	}
	r, err := e.start(ctx, attempt, admitted)
	if err != nil {
		e.options.Admitter.Release(eelgrasspoint.Sample{At: e.options.Clock(), Admitted: admitted, Ignored: true})
		return nil, err
	}
	response, err := r.roundTrip(ctx)
	if err != nil {
		return nil, err
	}
	return &eelgrasspoint.Answer{Response: response, Load: e.Load(), HasLoad: true, ServedBy: e.options.Holder.Load().Self.Name}, nil
}

// check refuses what may not run here, whatever the load.
func (e *Executor) check(meta *eelgrasspoint.RequestMetadata) error {
	snapshot := e.options.Holder.Load()
	if !meta.Permits(snapshot.Self.Region) {
		return eelgrasspoint.Refuse(eelgrasspoint.WrongRegion, "")
	}
	if e.options.Holder.Stale(e.options.Clock()) {
		return eelgrasspoint.Refuse(eelgrasspoint.StaleNode, "")
	}
	if snapshot.Draining {
		return eelgrasspoint.Refuse(eelgrasspoint.Draining, "")
	}
	if zoneOut(snapshot) {
		return eelgrasspoint.Refuse(eelgrasspoint.ZoneOutOfService, "")
	}
	e.mu.Lock()
	backend := e.backend
	e.mu.Unlock()
	if backend == nil || backend.Service != meta.Service {
		return eelgrasspoint.Refuse(eelgrasspoint.NoServer, "")
	}
	if e.options.Quarantiner.Status(meta.Fingerprint) == quarantiner.Quarantined {
		return eelgrasspoint.Refuse(eelgrasspoint.Quarantined, "")
	}
	return nil
}

// start registers the run, once the backend server is fast if the attempt has nowhere else to go.
func (e *Executor) start(ctx context.Context, attempt *eelgrasspoint.Attempt, admitted time.Time) (*run, error) {
	if attempt.Meta.Insists {
		if err := e.awaitSpeed(ctx, &attempt.Meta); err != nil {
			return nil, err
		}
	}
	return e.begin(attempt, admitted)
}

// begin registers the run. A zone or backend server may have left while the attempt waited,
// so what check saw is looked at again.
func (e *Executor) begin(attempt *eelgrasspoint.Attempt, admitted time.Time) (*run, error) {
	if err := e.check(&attempt.Meta); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.backend == nil || e.backend.Draining {
		return nil, eelgrasspoint.Refuse(eelgrasspoint.Draining, "")
	}
	suspect := e.options.Quarantiner.Status(attempt.Meta.Fingerprint) == quarantiner.Suspect
	if suspect && e.suspects > 0 {
		return nil, eelgrasspoint.Refuse(eelgrasspoint.Overloaded, "another suspect request runs")
	}
	r := &run{
		executor: e, attempt: attempt, backend: *e.backend, transport: e.transport,
		epoch: e.epoch, suspect: suspect, admitted: admitted, began: e.options.Clock(),
	}
	if suspect {
		e.suspects++
	}
	e.runs[r] = struct{}{}
	r.crowded = len(e.runs) > admitter.FastSlots(int(e.backend.Slots))
	r.usual = e.freshLoad() && e.load.load.Slowness < usualSlowness
	return r, nil
}

// usualSlowness is below what a backend server says when work takes longer than usual.
const usualSlowness = 1.25

// end gives the slot back. It may be called more than once; the first call counts.
func (e *Executor) end(r *run, sample eelgrasspoint.Sample) {
	if !r.ended.CompareAndSwap(false, true) {
		return
	}
	e.mu.Lock()
	delete(e.runs, r)
	if r.suspect {
		e.suspects--
	}
	e.mu.Unlock()
	sample.Route, sample.Usual, sample.Crowded = r.attempt.Meta.Route, r.usual, r.crowded
	sample.At = e.options.Clock()
	sample.Admitted = r.admitted
	sample.Duration = r.serviceTime(sample.At)
	if sample.Succeeded {
		e.options.Quarantiner.RecordSuccess(r.attempt.Meta.Fingerprint)
	}
	cold, crowded := e.options.Admitter.Release(sample)
	if cold {
		e.record(eelgrasspoint.EventBackendCold, r.backend.Service, r.backend.Address.String())
	}
	if crowded {
		e.record(eelgrasspoint.EventLastSlotsGivenUp, r.backend.Service, fmt.Sprintf("%d of %d slots are used", admitter.FastSlots(int(r.backend.Slots)), r.backend.Slots))
	}
}

func (e *Executor) record(number eelgrasspoint.EventNumber, service, detail string) {
	e.options.Recorder.Record(eelgrasspoint.Event{
		Number: number, Service: service,
		AvailabilityZone: e.options.Holder.Load().Self.AvailabilityZone, Detail: detail,
	})
}

// replaceTransport drops the warm connections to an earlier incarnation.
func (e *Executor) replaceTransport(backend *eelgrasspoint.BackendServer) {
	if e.transport != nil {
		go e.transport.CloseIdleConnections()
	}
	e.transport = newTransport(dialer.New(e.options.Dial).DialContext, backend)
}

func newTransport(dial dialer.Func, backend *eelgrasspoint.BackendServer) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		DisableCompression:  true,
		MaxConnsPerHost:     int(backend.Connections),
		MaxIdleConnsPerHost: int(backend.Connections),
		// A connection kept for long may have gone silent; a new one costs about a millisecond.
		IdleConnTimeout: eelgrasspoint.BackendIdleTimeout,
	}
}

func zoneOut(snapshot *eelgrasspoint.Snapshot) bool {
	for _, zone := range snapshot.Configuration.Document.AvailabilityZones {
		if zone.Name == snapshot.Self.AvailabilityZone {
			return zone.OutOfService
		}
	}
	return false
}

// timeout is the bound of the check whether a backend server still listens.
const probeTimeout = 200 * time.Millisecond
