package executor

import (
	"fmt"
	"time"

	"eelgrasspoint"
)

const (
	// coldSlowness is the least slowness that is expected in a slow start.
	coldSlowness = 3.0
	// maxTimerDelay is how late a timer fires at most, unless the whole process stood still. Then answers wait to be
	// read as well.
	maxTimerDelay = 100 * time.Millisecond
)

// watch registers the run with the detector, which is told if the run has no answer in time. The caller holds the lock.
func (e *Executor) watch(r *run) {
	var slowness float64
	if e.hasFreshLoadReport() && e.loadReport.load.Slowness > 0 {
		slowness = e.loadReport.load.Slowness
	}
	if e.options.Admitter.Cold() {
		slowness = max(slowness, coldSlowness)
	}
	var patience time.Duration
	r.watched, patience = e.detector.Begin(&r.attempt.Meta, slowness, r.startedAt)
	if patience > 0 {
		r.awaitAnswer(patience)
	}
}

// awaitAnswer calls overdue after the patience.
func (r *run) awaitAnswer(patience time.Duration) {
	due := r.executor.options.Clock().Add(patience)
	r.overdueTimer = time.AfterFunc(patience, func() {
		if r.executor.options.Clock().Sub(due) > maxTimerDelay {
			r.executor.overdueAfterPause(r)
			return
		}
		r.executor.overdue(r)
	})
}

// overdueAfterPause gives a run more time whose timer fired late.
func (e *Executor) overdueAfterPause(r *run) {
	time.AfterFunc(maxTimerDelay, func() { e.overdue(r) })
}

// overdue handles a run without an answer.
func (e *Executor) overdue(r *run) {
	if r.finished.Load() || r.answeredAt.Load() != 0 {
		return
	}
	if e.detector.Overdue(r.watched, e.options.Clock()) {
		e.recordHang(r)
	}
}

// abandoned tells the detector that the run ended, without an answer if there was none before.
func (r *run) abandoned() {
	r.stopOverdueTimer()
	if r.executor.detector.Abandoned(r.watched, r.executor.options.Clock()) {
		r.executor.recordHang(r)
	}
}

func (e *Executor) recordHang(r *run) {
	e.record(eelgrasspoint.EventBackendHangs, r.backend.Service, fmt.Sprintf(
		"%v: requests get no answer for several times the usual duration; it gets single requests as trials", r.backend.Address))
}

// noteAnswer tells the detector that the run has an answer.
func (r *run) noteAnswer() {
	r.stopOverdueTimer()
	now := r.executor.options.Clock()
	if r.executor.detector.Answered(r.watched, now.Sub(r.startedAt), now) {
		r.executor.record(eelgrasspoint.EventBackendAnswersAgain, r.backend.Service, r.backend.Address.String())
	}
}

func (r *run) stopOverdueTimer() {
	if r.overdueTimer != nil {
		r.overdueTimer.Stop()
	}
}

// hanging returns the refusal of a request that should go to another backend server since this one hangs, or nil.
func (e *Executor) hanging(meta *eelgrasspoint.RequestMetadata) error {
	if !e.detector.Refuses(meta, e.options.Clock()) {
		return nil
	}
	return eelgrasspoint.Refuse(eelgrasspoint.HangingServer, "")
}

// lostRunInputs describes a run without an answer: the backend server, the connection, how long it was out, and the load
// that the server last told.
func (r *run) lostRunInputs() []eelgrasspoint.Input {
	inputs := []eelgrasspoint.Input{
		{Name: "Server", Value: r.backend.Address.String()},
		{Name: "WaitedMilliseconds", Value: r.executor.options.Clock().Sub(r.startedAt).Milliseconds()},
		{Name: "Hanging", Value: r.executor.detector.Hanging()},
	}
	if r.conn != nil {
		inputs = append(inputs, eelgrasspoint.Input{Name: "Connection", Value: r.conn.LocalAddr().String()})
	}
	if report := r.executor.lastLoadReport(); !report.receivedAt.IsZero() {
		inputs = append(inputs,
			eelgrasspoint.Input{Name: "ServerRunning", Value: report.load.Running},
			eelgrasspoint.Input{Name: "ServerWaiting", Value: report.load.Waiting})
	}
	return inputs
}
