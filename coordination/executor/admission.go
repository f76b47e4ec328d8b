package executor

import (
	"context"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/admitter"
	"eelgrasspoint/coordination/quarantiner"
)

// usualSlownessLimit is the slowness below which a backend server runs at its usual speed.
const usualSlownessLimit = 1.25

// admit returns the run of an attempt that got a slot. An answer beside an error holds only the load hint.
func (e *Executor) admit(ctx context.Context, attempt *eelgrasspoint.Attempt) (*run, *eelgrasspoint.Answer, error) {
	if err := e.checkAllowed(&attempt.Meta); err != nil {
		return nil, nil, err
	}
	if err := e.checkLoad(ctx, &attempt.Meta); err != nil {
		return nil, e.loadHint(), err
	}
	admittedAt, err := e.options.Admitter.Admit(ctx, &attempt.Meta)
	if err != nil {
		return nil, e.loadHint(), err
	}
	r, err := e.identifyAndRegister(ctx, attempt, admittedAt)
	if err != nil {
		e.options.Admitter.Release(eelgrasspoint.Sample{At: e.options.Clock(), Admitted: admittedAt, Ignored: true})
		return nil, nil, err
	}
	return r, nil, nil
}

// checkLoad returns a refusal if the backend server takes no request for the moment, whether it has a slot or not.
func (e *Executor) checkLoad(ctx context.Context, meta *eelgrasspoint.RequestMetadata) error {
	if err := e.options.Admitter.CheckRate(); err != nil {
		// A health check before each refusal would be a further load, but one now and then may show that the limit has ended.
		e.checkHealthIfOld()
		return err
	}
	if err := e.hanging(meta); err != nil {
		return err
	}
	if e.tooSlow(ctx, meta.Insists) {
		return eelgrasspoint.Refuse(eelgrasspoint.SlowServer, "")
	}
	if e.tooLate(meta, e.lastingSlowness()) {
		return eelgrasspoint.Refuse(eelgrasspoint.SlowServer, "the run would end after the deadline")
	}
	return nil
}

// checkAllowed returns a refusal if the request may not run on this exit node, whatever its load.
func (e *Executor) checkAllowed(meta *eelgrasspoint.RequestMetadata) error {
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
	if zoneOutOfService(snapshot) {
		return eelgrasspoint.Refuse(eelgrasspoint.ZoneOutOfService, "")
	}
	e.mu.Lock()
	backend := e.backend
	e.mu.Unlock()
	if backend == nil || backend.Service != meta.Service {
		return eelgrasspoint.Refuse(eelgrasspoint.NoServer, "")
	}
	if !meta.BodyOpen && e.options.Quarantiner.Status(meta.Fingerprint) == quarantiner.Quarantined {
		return eelgrasspoint.Refuse(eelgrasspoint.Quarantined, "")
	}
	return nil
}

// identifyAndRegister registers the run of an attempt once its request is identified as far as necessary.
func (e *Executor) identifyAndRegister(ctx context.Context, attempt *eelgrasspoint.Attempt, admittedAt time.Time) (*run, error) {
	attempt, id, err := e.identify(ctx, attempt)
	if err != nil {
		return nil, err
	}
	r, err := e.waitAndRegister(ctx, attempt, id, admittedAt)
	if err != nil {
		id.release()
	}
	return r, err
}

// waitAndRegister registers the run. An attempt with Insists set can't or should not go to another backend
// server, so it first waits while this one is slow.
func (e *Executor) waitAndRegister(ctx context.Context, attempt *eelgrasspoint.Attempt, id *identity, admittedAt time.Time) (*run, error) {
	if attempt.Meta.Insists {
		if err := e.waitWhileSlow(ctx, &attempt.Meta); err != nil {
			return nil, err
		}
	}
	return e.register(attempt, id, admittedAt)
}

// register adds a run to those in flight. It repeats checkAllowed, since the zone may have gone out of
// service or the backend server may have left while the attempt waited.
func (e *Executor) register(attempt *eelgrasspoint.Attempt, id *identity, admittedAt time.Time) (*run, error) {
	if err := e.checkAllowed(&attempt.Meta); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	// The backend server may have left or begun to drain after checkAllowed. Either is refused as Draining.
	if e.backend == nil || e.backend.Draining {
		return nil, eelgrasspoint.Refuse(eelgrasspoint.Draining, "")
	}
	suspect := !attempt.Meta.BodyOpen && e.options.Quarantiner.Status(attempt.Meta.Fingerprint) == quarantiner.Suspect
	if suspect && e.runningSuspects > 0 {
		return nil, eelgrasspoint.Refuse(eelgrasspoint.Overloaded, "another request suspected of causing crashes is in flight")
	}
	r := &run{
		executor: e, attempt: attempt, identity: id, backend: *e.backend, transport: e.transport,
		crashesAtStart: e.suspectedCrashes, suspect: suspect, admittedAt: admittedAt, startedAt: e.options.Clock(),
	}
	if suspect {
		e.runningSuspects++
	}
	e.runs[r] = struct{}{}
	r.crowded = len(e.runs) > admitter.FastSlots(int(e.backend.Slots))
	r.usualSpeed = e.hasFreshLoadReport() && e.loadReport.load.Slowness < usualSlownessLimit
	e.watch(r)
	return r, nil
}

func zoneOutOfService(snapshot *eelgrasspoint.Snapshot) bool {
	for _, zone := range snapshot.Configuration.Document.AvailabilityZones {
		if zone.Name == snapshot.Self.AvailabilityZone {
			return zone.OutOfService
		}
	}
	return false
}
