package admitter

import (
	"time"

	"eelgrasspoint"
)

// latencyEstimate holds smoothed (EWMA) service times of runs: recent adapts quickly, typical slowly.
type latencyEstimate struct {
	recent    time.Duration
	typical   time.Duration
	updatedAt time.Time
}

func (l *latencyEstimate) observe(duration time.Duration, now time.Time) {
	l.updatedAt = now
	if l.recent == 0 {
		l.recent, l.typical = duration, duration
		return
	}
	l.recent += time.Duration(eelgrasspoint.RecentLatencySmoothing * float64(duration-l.recent))
	l.typical += time.Duration(eelgrasspoint.TypicalLatencySmoothing * float64(duration-l.typical))
}

// expected estimates the service time of a run that starts now. A run in flight is half done on
// average, so the estimate is at least twice the mean age.
func (l *latencyEstimate) expected(meanAge time.Duration, now time.Time) time.Duration {
	if now.Sub(l.updatedAt) > eelgrasspoint.RecentLatencyTTL {
		return max(l.typical, 2*meanAge)
	}
	return max(l.recent, 2*meanAge)
}

// isSlow reports whether the expected service time is so far above the typical one that a request
// should go to another backend server for the moment.
func (l *latencyEstimate) isSlow(meanAge time.Duration, now time.Time) bool {
	expected := l.expected(meanAge, now)
	if l.typical == 0 || expected < l.typical+eelgrasspoint.MinLatencyIncrease {
		return false
	}
	return float64(expected) > eelgrasspoint.SlowTolerance*float64(l.typical)
}
