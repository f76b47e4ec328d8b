package admitter

import (
	"time"

	"eelgrasspoint"
)

// speed is how long runs take: lately, and as a rule.
type speed struct {
	recent    time.Duration
	typical   time.Duration
	learnedAt time.Time
}

func (s *speed) learn(took time.Duration, now time.Time) {
	s.learnedAt = now
	if s.recent == 0 {
		s.recent, s.typical = took, took
		return
	}
	s.recent += time.Duration(eelgrasspoint.RecentLatencySmoothing * float64(took-s.recent))
	s.typical += time.Duration(eelgrasspoint.TypicalLatencySmoothing * float64(took-s.typical))
}

// expected is how long a run takes at present. A run under way is seen half done on average,
// so it will take twice the age at least.
func (s *speed) expected(age time.Duration, now time.Time) time.Duration {
	if now.Sub(s.learnedAt) > eelgrasspoint.RecentLatencyTTL {
		return max(s.typical, 2*age)
	}
	return max(s.recent, 2*age)
}

// slow reports whether another backend server is the better choice for a moment.
func (s *speed) slow(age time.Duration, now time.Time) bool {
	expected := s.expected(age, now)
	if s.typical == 0 || expected < s.typical+eelgrasspoint.MinLatencyIncrease {
		return false
	}
	return float64(expected) > eelgrasspoint.SlowTolerance*float64(s.typical)
}
