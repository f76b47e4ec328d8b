// Package limiter adapts the concurrency limit of a backend server to what it proved to carry.
package limiter

import (
	"math"
	"time"

	"eelgrasspoint"
)

// Limiter grows its limit by one for each window that was fully used and went well, and
// shrinks it when latency grows, runs fail or the backend server sheds load.
type Limiter struct {
	slots    int
	limit    float64
	proven   float64
	baseline time.Duration
	baseAt   time.Time
	window   window
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
	l.proven = l.limit
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
	if sample.At.Sub(l.window.began) < eelgrasspoint.LimitWindow {
		return false
	}
	if !l.window.full(l.Limit()) {
		return false
	}
	return l.closeWindow(sample.At)
}

func (l *Limiter) closeWindow(now time.Time) bool {
	w := l.window
	l.window = window{began: now}
	mean := w.mean()
	if l.turnedCold(w, mean) {
		l.Reset(l.slots)
		return true
	}
	l.learnBaseline(mean, now)
	switch {
	case w.failed+w.shed > w.succeeded/10:
		l.limit = math.Max(eelgrasspoint.MinLimit, l.limit*eelgrasspoint.ShrinkFactor)
		l.proven = l.limit
	case l.slow(mean):
		// Slowness alone may be a neighbor's doing, which a lower limit does not cure.
		l.limit = math.Max(l.proven/2, l.limit*eelgrasspoint.ShrinkFactor)
	case w.maxInUse >= l.Limit():
		l.grow()
	}
	return false
}

// grow returns quickly to a limit that was proven and goes on from there one by one.
func (l *Limiter) grow() {
	step := 1.0
	if l.limit < l.proven {
		step = math.Max(1, (l.proven-l.limit)/2)
	}
	l.limit = math.Min(float64(l.slots), l.limit+step)
	l.proven = math.Max(l.proven, l.limit)
}

func (l *Limiter) slow(mean time.Duration) bool {
	return l.baseline > 0 && float64(mean) > eelgrasspoint.LatencyTolerance*float64(l.baseline)
}

// turnedCold needs the jump and a fully used window: a few slow runs are no cold start.
func (l *Limiter) turnedCold(w window, mean time.Duration) bool {
	if l.baseline == 0 || w.succeeded == 0 {
		return false
	}
	return float64(mean) > eelgrasspoint.ColdJump*float64(l.baseline)
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
