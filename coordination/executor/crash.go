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

// pendingCrash waits for the sign that a lost connection was a crash.
type pendingCrash struct {
	crash Crash
	timer *time.Timer
}

// connectionLost is called for a run whose connection broke. The first such run of an epoch
// makes suspects of all that ran beside it; the others broke for the same cause.
func (e *Executor) connectionLost(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.epoch != e.epoch {
		return
	}
	e.epoch++
	crash := Crash{Service: r.backend.Service, Name: e.crashName(r)}
	for other := range e.runs {
		if other.backend.Incarnation == r.backend.Incarnation {
			meta := &other.attempt.Meta
			crash.Fingerprints = append(crash.Fingerprints, SuspectRequest{Fingerprint: meta.Fingerprint, Permitted: meta.Permitted})
		}
	}
	e.suspect(crash)
	go e.probe(r.backend)
}

// crashName is the same for all that is seen of one crash.
func (e *Executor) crashName(r *run) string {
	return fmt.Sprintf("%s/%d", e.options.Holder.Load().Self.Name, r.backend.Incarnation)
}

// connectionRefused confirms the crash that lost connections hinted at.
func (e *Executor) connectionRefused() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.confirmCrash()
}

// suspect keeps the crash until a sign confirms it or none came in time: connections also break
// without one.
func (e *Executor) suspect(crash Crash) {
	pending := &pendingCrash{crash: crash}
	pending.timer = time.AfterFunc(eelgrasspoint.CrashConfirmTimeout, func() { e.withdraw(pending) })
	if e.crash != nil {
		e.crash.timer.Stop()
	}
	e.crash = pending
}

func (e *Executor) report(crash Crash) {
	barred := e.options.Quarantiner.RecordCrash(crash.Name, fingerprints(crash))
	if len(barred) > 0 {
		e.record(eelgrasspoint.EventRequestQuarantined, crash.Service, fmt.Sprintf("%d requests", len(barred)))
	}
	if e.options.Report != nil {
		go e.options.Report(crash)
	}
}

// probe confirms the crash if the backend server no longer listens.
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

// confirmCrash is called with the lock held.
func (e *Executor) confirmCrash() {
	if e.crash == nil {
		return
	}
	e.crash.timer.Stop()
	e.record(eelgrasspoint.EventBackendCrashed, e.crash.crash.Service,
		fmt.Sprintf("%d requests in flight", len(e.crash.crash.Fingerprints)))
	e.report(e.crash.crash)
	e.crash = nil
}

func (e *Executor) withdraw(pending *pendingCrash) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crash == pending {
		e.crash = nil
	}
}

func fingerprints(crash Crash) []uint64 {
	list := make([]uint64, len(crash.Fingerprints))
	for i, s := range crash.Fingerprints {
		list[i] = s.Fingerprint
	}
	return list
}

func closeQuietly(conn net.Conn) { _ = conn.Close() }
