// Package limiter adapts the concurrency limit of a backend server to the latency and failures of
// its runs.
package limiter

import (
	"math"
	"time"

	"eelgrasspoint"
)

// Limiter starts with a low limit and increases it after each window in which latency was not raised
// and at least half of the limit was in use. If latency is raised, it lowers the limit on trial. If
// latency then falls, load was the cause, and the limit is lowered further until latency is no longer
// raised. If not, latency has another cause, and the limit is restored.
type Limiter struct {
	slots      int
	limit      float64
	baseline   time.Duration
	baselineAt time.Time
	window     window
	trial      *trial
	// noTrialUntil is the end of the pause after a trial that did not lower latency.
	noTrialUntil time.Time
}

// window aggregates the runs that finished since it started.
type window struct {
	startedAt time.Time
	succeeded int
	failed    int
	shed      int
	maxInUse  int
	// totalDuration is that of the runs that succeeded.
	totalDuration time.Duration
}

// trial is a period with a lowered limit that shows whether load is the cause of raised latency.
type trial struct {
	// decreasedAt is the time of the last decrease.
	decreasedAt time.Time
	// previousLimit and previousLatency are the values before the trial.
	previousLimit   float64
	previousLatency time.Duration
	// skipWindow is set if runs in the current window may have started before the limit was lowered.
	skipWindow bool
	// loadConfirmed is set if the trial before this one lowered latency, so that load is a cause.
	loadConfirmed bool
}

var _ eelgrasspoint.Limiter = (*Limiter)(nil)

// New returns the limiter of a backend server that has just started with the given slots.
func New(slots int) *Limiter {
	l := &Limiter{}
	l.Reset(slots)
	return l
}

// Reset discards all measurements and sets the limit to ColdLimit, or to the number of slots if
// that is lower.
func (l *Limiter) Reset(slots int) {
	*l = Limiter{slots: max(slots, eelgrasspoint.MinLimit)}
	l.limit = math.Min(eelgrasspoint.ColdLimit, float64(l.slots))
}

// Limit returns the current limit.
func (l *Limiter) Limit() int { return int(l.limit) }

// Observe adds a finished run and reports whether the backend server turned cold (see
// eelgrasspoint.Limiter).
func (l *Limiter) Observe(sample eelgrasspoint.Sample) bool {
	if sample.Refused {
		l.Reset(l.slots)
		return true
	}
	if sample.Ignored {
		return false
	}
	l.window.add(sample)
	if l.window.failing() {
		l.lowerForFailures(sample.At)
		return false
	}
	if sample.At.Sub(l.window.startedAt) < eelgrasspoint.LimitWindow || !l.window.hasEnoughRuns(l.Limit()) {
		return false
	}
	return l.evaluateWindow(sample.At)
}

// ObserveInFlight lowers the limit if the runs in flight take so long that it would be too late to
// wait for their samples. While they do, it lowers the limit again, down to ColdLimit, after each
// LimitWindow.
func (l *Limiter) ObserveInFlight(age time.Duration, now time.Time) {
	// A run in flight is half done on average.
	latency := 2 * age
	if !l.exceedsBaseline(latency, eelgrasspoint.InFlightLatencyTolerance) || !now.After(l.noTrialUntil) {
		return
	}
	if l.trial == nil {
		l.startTrial(latency, now)
		return
	}
	if now.Sub(l.trial.decreasedAt) > eelgrasspoint.LimitWindow && l.limit > eelgrasspoint.ColdLimit {
		l.trial.decreasedAt = now
		l.trial.skipWindow = true
		l.limit = math.Max(eelgrasspoint.ColdLimit, l.limit*eelgrasspoint.LimitDecreaseFactor)
	}
}

// evaluateWindow ends the window and adjusts the limit according to its runs. It reports whether the
// backend server turned cold.
func (l *Limiter) evaluateWindow(now time.Time) bool {
	w := l.window
	l.window = window{startedAt: now}
	mean := w.meanDuration()
	if l.trial != nil {
		return l.evaluateTrial(mean, now)
	}
	if l.latencyRaised(mean) && now.After(l.noTrialUntil) {
		l.startTrial(mean, now)
		return false
	}
	l.updateBaseline(mean, now)
	if !l.latencyRaised(mean) && 2*w.maxInUse >= l.Limit() {
		l.limit = math.Min(float64(l.slots), math.Max(l.limit+1, l.limit*eelgrasspoint.LimitIncreaseFactor))
	}
	return false
}

// startTrial lowers the limit. The next window is skipped, since some of its runs started before the
// limit was lowered.
func (l *Limiter) startTrial(mean time.Duration, now time.Time) {
	l.window = window{startedAt: now}
	l.trial = &trial{decreasedAt: now, previousLimit: l.limit, previousLatency: mean, skipWindow: true}
	l.limit = math.Max(eelgrasspoint.MinLimit, l.limit*eelgrasspoint.LimitDecreaseFactor)
}

// evaluateTrial compares the latency with that before the trial. It restores the limit if latency did
// not fall, keeps the lowered limit if latency is no longer raised or MinLimit is reached, and else
// starts another trial. It reports the backend server as cold if the lowered limit is kept and the
// trial before this one lowered latency, too.
func (l *Limiter) evaluateTrial(mean time.Duration, now time.Time) bool {
	t := l.trial
	if t.skipWindow {
		t.skipWindow = false
		return false
	}
	if float64(mean) > eelgrasspoint.RecoveredLatencyRatio*float64(t.previousLatency) {
		l.limit = t.previousLimit
		l.trial = nil
		l.noTrialUntil = now.Add(eelgrasspoint.TrialCooldown)
		return false
	}
	if !l.latencyRaised(mean) || l.limit <= eelgrasspoint.MinLimit {
		l.trial = nil
		return t.loadConfirmed
	}
	l.startTrial(mean, now)
	l.trial.loadConfirmed = true
	return false
}

// lowerForFailures lowers the limit immediately after failed or shed runs, without a trial.
func (l *Limiter) lowerForFailures(now time.Time) {
	l.limit = math.Max(eelgrasspoint.MinLimit, l.limit*eelgrasspoint.LimitDecreaseFactor)
	l.window = window{startedAt: now}
	l.trial = nil
}

func (l *Limiter) latencyRaised(mean time.Duration) bool {
	return l.exceedsBaseline(mean, eelgrasspoint.LatencyTolerance)
}

// exceedsBaseline reports whether the latency is above the baseline times the tolerance. An increase
// of less than MinLatencyIncrease does not count: it may be due to CPU scheduling.
func (l *Limiter) exceedsBaseline(latency time.Duration, tolerance float64) bool {
	if l.baseline == 0 || latency < l.baseline+eelgrasspoint.MinLatencyIncrease {
		return false
	}
	return float64(latency) > tolerance*float64(l.baseline)
}

func (l *Limiter) updateBaseline(mean time.Duration, now time.Time) {
	if mean == 0 {
		return
	}
	expired := now.Sub(l.baselineAt) > eelgrasspoint.BaselineWindow
	if l.baseline == 0 || mean < l.baseline || expired {
		l.baseline = mean
		l.baselineAt = now
	}
}

func (w *window) add(sample eelgrasspoint.Sample) {
	if w.startedAt.IsZero() {
		w.startedAt = sample.At.Add(-sample.Duration)
	}
	w.maxInUse = max(w.maxInUse, sample.InUse)
	switch {
	case sample.Shed:
		w.shed++
	case !sample.Succeeded:
		w.failed++
	default:
		w.succeeded++
		w.totalDuration += sample.Duration
	}
}

// failing reports whether at least MinFailures runs of the window failed or were shed, and fewer than
// MaxSuccessesPerFailure succeeded for each of them.
func (w *window) failing() bool {
	failures := w.failed + w.shed
	return failures >= eelgrasspoint.MinFailures && failures*eelgrasspoint.MaxSuccessesPerFailure > w.succeeded
}

// hasEnoughRuns reports whether the window has enough runs to evaluate the limit: at least as many
// as the limit.
func (w *window) hasEnoughRuns(limit int) bool {
	return w.succeeded+w.failed+w.shed >= limit
}

// meanDuration returns the mean duration of the runs that succeeded, or zero if there is none.
func (w *window) meanDuration() time.Duration {
	if w.succeeded == 0 {
		return 0
	}
	return w.totalDuration / time.Duration(w.succeeded)
}
