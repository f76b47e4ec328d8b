package executor

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"eelgrasspoint"
)

// pendingCrash is a suspected crash that is not confirmed yet.
type pendingCrash struct {
	crash Crash
	timer *time.Timer
}

// connectionLost handles the loss of a run's connection. Among the runs that started since the last
// suspected crash, only the first loss counts: it creates a pending crash with all requests in flight at the
// same incarnation of the backend server. Later losses among these runs are attributed to the same cause and
// ignored.
func (e *Executor) connectionLost(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.crashesAtStart != e.suspectedCrashes {
		return
	}
	e.suspectedCrashes++
	crash := Crash{Service: r.backend.Service, Name: e.crashName(r)}
	for other := range e.runs {
		if other.backend.Incarnation == r.backend.Incarnation {
			crash.Requests = append(crash.Requests, other.crashSuspect())
		}
	}
	e.suspectCrash(crash)
	go e.probe(r.backend)
}

// crashName returns node/incarnation, which is the same for all runs that are lost in the same crash.
func (e *Executor) crashName(r *run) string {
	return fmt.Sprintf("%s/%d", e.options.Holder.Load().Self.Name, r.backend.Incarnation)
}

// connectionRefused confirms the pending crash, since the backend server no longer listens.
func (e *Executor) connectionRefused() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.confirmCrash()
}

// suspectCrash keeps the crash pending until it is confirmed or CrashConfirmTimeout has passed:
// connections also break without a crash. It replaces an earlier pending crash, which is then never
// reported. The caller holds the lock.
func (e *Executor) suspectCrash(crash Crash) {
	pending := &pendingCrash{crash: crash}
	pending.timer = time.AfterFunc(eelgrasspoint.CrashConfirmTimeout, func() { e.discardCrash(pending) })
	if e.pendingCrash != nil {
		e.pendingCrash.timer.Stop()
	}
	e.pendingCrash = pending
}

// reportCrash counts the crash against the requests that were in flight, which quarantines them after too
// many crashes, and sends the crash to the other exit nodes of the service.
func (e *Executor) reportCrash(crash Crash) {
	quarantined := e.options.Quarantiner.RecordCrash(crash.Name, crash.Requests)
	if len(quarantined) > 0 {
		e.record(eelgrasspoint.EventRequestQuarantined, crash.Service, fmt.Sprintf("%d requests quarantined: they were in flight at crash %s (node/incarnation) and at another one", len(quarantined), crash.Name))
		if e.options.Quarantined != nil {
			e.options.Quarantined()
		}
	}
	if e.options.Report != nil {
		go e.options.Report(crash)
	}
}

// probeTimeout bounds the dial that checks whether a backend server still listens.
const probeTimeout = 200 * time.Millisecond

// probe dials the backend server. If the connection is refused, it resets the admitter and confirms the
// pending crash.
func (e *Executor) probe(backend eelgrasspoint.BackendServer) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := e.options.Dial(ctx, "tcp", backend.Address.String())
	if err == nil {
		closeQuietly(conn)
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.options.Admitter.Reset(int(backend.Slots))
	e.confirmCrash()
}

// confirmCrash records and reports the pending crash, if any. The caller holds the lock.
func (e *Executor) confirmCrash() {
	if e.pendingCrash == nil {
		return
	}
	e.pendingCrash.timer.Stop()
	e.record(eelgrasspoint.EventBackendCrashed, e.pendingCrash.crash.Service,
		fmt.Sprintf("crash %s (node/incarnation) of the backend server, with %d requests in flight", e.pendingCrash.crash.Name, len(e.pendingCrash.crash.Requests)))
	e.reportCrash(e.pendingCrash.crash)
	e.pendingCrash = nil
}

// discardCrash drops the crash if it is still pending.
func (e *Executor) discardCrash(pending *pendingCrash) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pendingCrash == pending {
		e.pendingCrash = nil
	}
}

// crashSuspect returns the run's request as one that was in flight at a crash.
func (r *run) crashSuspect() eelgrasspoint.CrashSuspect {
	fingerprint, known := r.identity.fingerprint()
	return eelgrasspoint.CrashSuspect{
		Head: r.identity.head, Fingerprint: fingerprint, BodyKnown: known, Permitted: r.attempt.Meta.Permitted,
	}
}

func closeQuietly(conn net.Conn) { _ = conn.Close() }
