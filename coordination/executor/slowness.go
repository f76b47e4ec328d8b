package executor

import (
	"time"

	"eelgrasspoint"
)

const (
	// slownessWindow is the time over which the least slowness is kept, in slownessBuckets parts.
	slownessWindow  = time.Second
	slownessBuckets = 4
	// minSlownessTime is how long a backend server must have reported its slowness before the least one tells that it
	// lasts. The noise of a shared machine changes more often.
	minSlownessTime = 400 * time.Millisecond
	// lastingSlownessPause is the pause that the load hint tells entry nodes while the slowness lasts, since a server that
	// was slow for so long is not expected to be quick in the next moment.
	lastingSlownessPause = 150 * time.Millisecond
	// predictionMargin lowers a predicted duration before a request is refused because of it: a part of the duration
	// may be the wait for other servers, which does not grow with the slowness.
	predictionMargin = 0.8
)

// slownessHistory keeps the least slowness that the backend server reported lately.
type slownessHistory struct {
	buckets [slownessBuckets]slownessBucket
	// since is the first report of an uninterrupted series.
	since, latest time.Time
}

type slownessBucket struct {
	startedAt time.Time
	least     float64
}

// add adds a report.
func (h *slownessHistory) add(slowness float64, now time.Time) {
	if now.Sub(h.latest) > slownessWindow {
		h.since = now
	}
	h.latest = now
	const length = slownessWindow / slownessBuckets
	bucket := &h.buckets[(now.UnixNano()/int64(length))%slownessBuckets]
	if now.Sub(bucket.startedAt) >= length {
		*bucket = slownessBucket{startedAt: now, least: slowness}
		return
	}
	bucket.least = min(bucket.least, slowness)
}

// least returns the least slowness of the last slownessWindow, or zero if the reports cover less than minSlownessTime.
func (h *slownessHistory) least(now time.Time) float64 {
	if now.Sub(h.latest) > slownessWindow || h.latest.Sub(h.since) < minSlownessTime {
		return 0
	}
	least := 0.0
	for _, bucket := range h.buckets {
		if bucket.startedAt.IsZero() || now.Sub(bucket.startedAt) > slownessWindow {
			continue
		}
		if least == 0 || bucket.least < least {
			least = bucket.least
		}
	}
	return least
}

// setLoadReport stores a load report. The caller holds the lock.
func (e *Executor) setLoadReport(load eelgrasspoint.ServerLoad) {
	now := e.options.Clock()
	e.loadReport = loadReport{load: load, receivedAt: now}
	e.slowness.add(load.Slowness, now)
}

// lastingSlowness returns the slowness that the backend server did not fall below lately, or zero.
func (e *Executor) lastingSlowness() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.slowness.least(e.options.Clock())
}

// slowPause returns the pause to tell entry nodes while the backend server is slow for longer than a moment.
func (e *Executor) slowPause() time.Duration {
	if e.lastingSlowness() < eelgrasspoint.SlownessThreshold {
		return 0
	}
	return lastingSlownessPause
}

// tooLate reports whether a run that starts at the slowness could not end before the request's deadline.
func (e *Executor) tooLate(meta *eelgrasspoint.RequestMetadata, slowness float64) bool {
	usual := e.detector.UsualDuration(meta.Route)
	if usual == 0 || meta.Deadline.IsZero() {
		return false
	}
	predicted := time.Duration(predictionMargin * slowness * float64(usual))
	return predicted > eelgrasspoint.Remaining(meta.Deadline, e.options.Clock())
}
