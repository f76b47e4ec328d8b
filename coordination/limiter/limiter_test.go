package limiter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrasspoint"
	"eelgrasspoint/coordination/limiter"
)

var start = time.Unix(1_700_000_000, 0)

// simulate passes finished runs to the limiter for the given time, as many concurrently as the limit
// allows, and returns the time at the end. The duration of a run may depend on the limit.
func simulate(l *limiter.Limiter, from time.Time, length time.Duration, duration func(limit int) time.Duration) time.Time {
	now := from
	for now.Sub(from) < length {
		limit := l.Limit()
		d := duration(limit)
		now = now.Add(d)
		for range limit {
			l.Observe(eelgrasspoint.Sample{At: now, Duration: d, InUse: limit, Succeeded: true})
		}
	}
	return now
}

func constantDuration(d time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return d }
}

func TestLimitGrowsFromColdLimitToSlots(t *testing.T) {
	l := limiter.New(13)
	assert.Equal(t, l.Limit(), eelgrasspoint.ColdLimit)
	simulate(l, start, 2*time.Second, constantDuration(20*time.Millisecond))
	assert.Equal(t, l.Limit(), 13)
}

// TestLimitFallsIfLoadRaisesLatency simulates a backend server that slows down above three concurrent
// runs.
func TestLimitFallsIfLoadRaisesLatency(t *testing.T) {
	l := limiter.New(16)
	now := simulate(l, start, 2*time.Second, constantDuration(20*time.Millisecond))
	slowAboveThree := func(limit int) time.Duration {
		load := float64(limit) / 3
		return time.Duration(float64(20*time.Millisecond) * max(1, load*load))
	}
	simulate(l, now, 5*time.Second, slowAboveThree)
	assert.Assert(t, l.Limit() <= 6, "limit %d, want at most 6", l.Limit())
}

// TestLimitIsRestoredIfLoadIsNotTheCause simulates a backend server that is slow for 3 s whatever
// the limit.
func TestLimitIsRestoredIfLoadIsNotTheCause(t *testing.T) {
	l := limiter.New(16)
	now := simulate(l, start, 2*time.Second, constantDuration(20*time.Millisecond))
	now = simulate(l, now, 3*time.Second, constantDuration(160*time.Millisecond))
	simulate(l, now, 500*time.Millisecond, constantDuration(20*time.Millisecond))
	assert.Equal(t, l.Limit(), 16)
}

func TestRefusedConnectionResetsToColdLimit(t *testing.T) {
	l := limiter.New(16)
	now := simulate(l, start, 2*time.Second, constantDuration(20*time.Millisecond))
	assert.Assert(t, l.Observe(eelgrasspoint.Sample{At: now, Refused: true}))
	assert.Equal(t, l.Limit(), eelgrasspoint.ColdLimit)
}

func TestShedRunsLowerTheLimit(t *testing.T) {
	l := limiter.New(16)
	now := simulate(l, start, 2*time.Second, constantDuration(20*time.Millisecond))
	for range 10 {
		l.Observe(eelgrasspoint.Sample{At: now, Duration: time.Millisecond, InUse: 16, Shed: true})
	}
	assert.Assert(t, l.Limit() < 8, "limit %d, want less than 8", l.Limit())
}

// TestLimitStaysWithinBounds checks that the limit stays between MinLimit and the slots for any
// sequence of samples.
func TestLimitStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 40).Draw(t, "slots")
		l := limiter.New(slots)
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "samples") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			duration := time.Duration(rapid.IntRange(0, 2000).Draw(t, "duration")) * time.Millisecond
			l.ObserveInFlight(time.Duration(rapid.IntRange(0, 2000).Draw(t, "age"))*time.Millisecond, now)
			l.Observe(eelgrasspoint.Sample{
				At: now, Duration: duration, InUse: rapid.IntRange(1, slots).Draw(t, "inUse"),
				Succeeded: rapid.Bool().Draw(t, "succeeded"), Shed: rapid.Bool().Draw(t, "shed"),
				Refused: rapid.IntRange(0, 50).Draw(t, "refused") == 0, Ignored: rapid.Bool().Draw(t, "ignored"),
			})
			if l.Limit() < eelgrasspoint.MinLimit || l.Limit() > slots {
				t.Fatalf("limit %d is not between MinLimit and %d slots", l.Limit(), slots)
			}
		}
	})
}
