// Package limiter adapts the concurrency limit of a backend server to what it proved to carry.
package limiter

import (
	"math"
	"time"

	"eelgrasspoint"
)

// Limiter starts low and grows while windows of runs go well. When latency grows it lowers the
// limit as an experiment: if latency follows, the backend server had too much at once and the
// limit goes on falling; if not, the slowness has another cause and the limit goes back.
type Limiter struct {
	slots    int
	limit    float64
	baseline time.Duration
	baseAt   time.Time
	window   window
	trial    *trial
	// calmUntil keeps slowness that a lower limit did not cure from being tried again at once.
	calmUntil time.Time
}

// window sums up the runs that finished since it began.
type window struct {
	began     time.Time
	succeeded int
	failed    int
	shed      int
	maxInUse  int
	total     time.Duration
}

// trial is a lowered limit and what was seen before it.
type trial struct {
	at     time.Time
	limit  float64
	mean   time.Duration
	skip   bool
	proved bool
}

var _ eelgrasspoint.Limiter = (*Limiter)(nil)

// New returns the limiter of a backend server that has just started with the slots.
func New(slots int) *Limiter {
	l := &Limiter{}
	l.Reset(slots)
	return l
}

// Reset puts the limit back to its cold value.
func (l *Limiter) Reset(slots int) {
	*l = Limiter{slots: max(slots, eelgrasspoint.MinLimit)}
	l.limit = math.Min(eelgrasspoint.ColdLimit, float64(l.slots))
}

// Limit returns the present limit.
func (l *Limiter) Limit() int { return int(l.limit) }

// Observe learns from a finished run.
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
		l.fall(sample.At)
		return false
	}
	if sample.At.Sub(l.window.began) < eelgrasspoint.LimitWindow || !l.window.full(l.Limit()) {
		return false
	}
	return l.closeWindow(sample.At)
}

// ObserveInFlight lowers the limit when runs take so long that waiting for them to finish would be too
// late, and again for each window that this lasts.
func (l *Limiter) ObserveInFlight(age time.Duration, now time.Time) {
	// A run is seen half done on average.
	mean := 2 * age
	if !l.above(mean, eelgrasspoint.InFlightLatencyTolerance) || !now.After(l.calmUntil) {
		return
	}
	if l.trial == nil {
		l.begin(mean, now)
		return
	}
	if now.Sub(l.trial.at) > eelgrasspoint.LimitWindow && l.limit > eelgrasspoint.ColdLimit {
		l.trial.at = now
		l.trial.skip = true
		l.limit = math.Max(eelgrasspoint.ColdLimit, l.limit*eelgrasspoint.LimitDecreaseFactor)
	}
}

// closeWindow judges a window and reports whether the backend server turned cold.
func (l *Limiter) closeWindow(now time.Time) bool {
	w := l.window
	l.window = window{began: now}
	mean := w.mean()
	if l.trial != nil {
		return l.closeTrial(mean, now)
	}
	if l.slow(mean) && now.After(l.calmUntil) {
		l.begin(mean, now)
		return false
	}
	l.learnBaseline(mean, now)
	if !l.slow(mean) && 2*w.maxInUse >= l.Limit() {
		l.limit = math.Min(float64(l.slots), math.Max(l.limit+1, l.limit*eelgrasspoint.LimitIncreaseFactor))
	}
	return false
}

// begin lowers the limit. The window that follows still holds runs from before.
func (l *Limiter) begin(mean time.Duration, now time.Time) {
	l.window = window{began: now}
	l.trial = &trial{at: now, limit: l.limit, mean: mean, skip: true}
	l.limit = math.Max(eelgrasspoint.MinLimit, l.limit*eelgrasspoint.LimitDecreaseFactor)
}

// closeTrial compares latency with what it was at the higher limit.
func (l *Limiter) closeTrial(mean time.Duration, now time.Time) bool {
	t := l.trial
	if t.skip {
		t.skip = false
		return false
	}
	if float64(mean) > eelgrasspoint.RecoveredLatencyRatio*float64(t.mean) {
		l.limit = t.limit
		l.trial = nil
		l.calmUntil = now.Add(eelgrasspoint.TrialCooldown)
		return false
	}
	if !l.slow(mean) || l.limit <= eelgrasspoint.MinLimit {
		l.trial = nil
		return t.proved
	}
	l.begin(mean, now)
	l.trial.proved = true
	return false
}

// fall answers failures and shed load at once.
func (l *Limiter) fall(now time.Time) {
	l.limit = math.Max(eelgrasspoint.MinLimit, l.limit*eelgrasspoint.LimitDecreaseFactor)
	l.window = window{began: now}
	l.trial = nil
}

func (l *Limiter) slow(mean time.Duration) bool {
	return l.above(mean, eelgrasspoint.LatencyTolerance)
}

// above leaves out what is too short to tell from the scheduling of the machine.
func (l *Limiter) above(mean time.Duration, tolerance float64) bool {
	if l.baseline == 0 || mean < l.baseline+eelgrasspoint.MinLatencyIncrease {
		return false
	}
	return float64(mean) > tolerance*float64(l.baseline)
}

func (l *Limiter) learnBaseline(mean time.Duration, now time.Time) {
	if mean == 0 {
		return
	}
	expired := now.Sub(l.baseAt) > eelgrasspoint.BaselineWindow
	if l.baseline == 0 || mean < l.baseline || expired {
		l.baseline = mean
		l.baseAt = now
	}
}

func (w *window) add(sample eelgrasspoint.Sample) {
	if w.began.IsZero() {
		w.began = sample.At.Add(-sample.Duration)
	}
	w.maxInUse = max(w.maxInUse, sample.InUse)
	switch {
	case sample.Shed:
		w.shed++
	case !sample.Succeeded:
		w.failed++
	default:
		w.succeeded++
		w.total += sample.Duration
	}
}

// failing reports whether too many runs of the window went wrong. One alone says nothing.
func (w *window) failing() bool {
	bad := w.failed + w.shed
	return bad >= eelgrasspoint.MinFailures && bad*eelgrasspoint.MaxSuccessesPerFailure > w.succeeded
}

// full reports whether the window has enough runs to judge a limit.
func (w *window) full(limit int) bool {
	return w.succeeded+w.failed+w.shed >= limit
}

func (w *window) mean() time.Duration {
	if w.succeeded == 0 {
		return 0
	}
	return w.total / time.Duration(w.succeeded)
}
