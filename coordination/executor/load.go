package executor

import (
	"context"
	"time"

	"eelgrasspoint"
)

// Ages up to which reports of the backend server are used.
const (
	// maxLoadReportAge applies to load reports. It is also the pause between two checks in waitWhileSlow.
	maxLoadReportAge = 25 * time.Millisecond
	// maxHealthAge applies to answered health checks. They also report whether the backend server is cold,
	// which load reports with answers do not.
	maxHealthAge = 500 * time.Millisecond
)

// loadReport is the load that the backend server last reported, with an answer or a health check.
type loadReport struct {
	load       eelgrasspoint.ServerLoad
	receivedAt time.Time
}

// recordLoad stores the load that the backend server reported with an answer, if it is still the announced one.
func (e *Executor) recordLoad(backend *eelgrasspoint.BackendServer, metadata eelgrasspoint.AnswerMetadata) {
	if !metadata.HasLoad {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isCurrent(backend) {
		return
	}
	e.setLoadReport(metadata.Load)
}

// InvalidateReports discards the last load report and health check, so that the next request makes
// a new health check.
func (e *Executor) InvalidateReports() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadReport.receivedAt = time.Time{}
	e.health.answeredAt = time.Time{}
}

// tooSlow reports whether the attempt must be refused because the backend server is slow. Like checkSlow,
// it makes a health check if the last reports are too old. An attempt with Insists set is never refused. It
// waits for a health check only if none was answered since the last reset, because the admitter does not
// know then whether the backend server is cold.
func (e *Executor) tooSlow(ctx context.Context, insists bool) bool {
	path := e.healthPath()
	if path == "" || insists && !e.healthUnknown() {
		return false
	}
	return e.checkSlow(ctx, path) && !insists
}

// checkSlow reports whether the backend server is slow. It waits for a health check first if the last load
// report is older than maxLoadReportAge, or the last answered health check older than maxHealthAge.
func (e *Executor) checkSlow(ctx context.Context, path string) bool {
	if done := e.refreshHealth(path); done != nil {
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hasFreshLoadReport() && e.loadReport.load.Slowness >= eelgrasspoint.SlownessThreshold
}

// hasFreshLoadReport reports whether the last load report is at most maxLoadReportAge old. The caller holds
// the lock.
func (e *Executor) hasFreshLoadReport() bool {
	return e.options.Clock().Sub(e.loadReport.receivedAt) <= maxLoadReportAge
}

// waitWhileSlow waits until the backend server is no longer slow, since the slowness at the start of a run
// multiplies the duration of the whole run. It waits for at most MaxSlowWaitRatio of the request's target
// latency. A run that could not end in time is refused then.
func (e *Executor) waitWhileSlow(ctx context.Context, meta *eelgrasspoint.RequestMetadata) error {
	path := e.healthPath()
	if path == "" {
		return nil
	}
	waitUntil := e.options.Clock().Add(time.Duration(eelgrasspoint.MaxSlowWaitRatio * float64(meta.TargetLatency)))
	for e.checkSlow(ctx, path) && e.options.Clock().Before(waitUntil) {
		select {
		case <-ctx.Done():
		case <-time.After(maxLoadReportAge):
		}
	}
	if ctx.Err() != nil {
		return eelgrasspoint.Refuse(eelgrasspoint.NotSentReason(ctx), "attempt ended while it waited for the slow backend server")
	}
	if report := e.lastLoadReport(); e.tooLate(meta, report.load.Slowness) {
		return eelgrasspoint.Refuse(eelgrasspoint.SlowServer, "the run would end after the deadline")
	}
	return nil
}

// lastLoadReport returns the last load report. Its time is zero if there is none.
func (e *Executor) lastLoadReport() loadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loadReport
}
