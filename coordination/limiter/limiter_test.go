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

// feed finishes runs of a duration, as many at once as the limit allows, for a time.
func feed(l *limiter.Limiter, from time.Time, lasting time.Duration, took func(limit int) time.Duration) time.Time {
	now := from
	for now.Sub(from) < lasting {
		limit := l.Limit()
		d := took(limit)
		now = now.Add(d)
		for range limit {
			l.Observe(eelgrasspoint.Sample{At: now, Duration: d, InUse: limit, Succeeded: true})
		}
	}
	return now
}

func constant(d time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return d }
}

func TestStartsColdAndGrowsToSlots(t *testing.T) {
	l := limiter.New(13)
	assert.Equal(t, l.Limit(), eelgrasspoint.ColdLimit)
	feed(l, start, 2*time.Second, constant(20*time.Millisecond))
	assert.Equal(t, l.Limit(), 13)
}

// TestFallsWhereLoadIsTheCause has a backend server that slows down above three at once.
func TestFallsWhereLoadIsTheCause(t *testing.T) {
	l := limiter.New(16)
	now := feed(l, start, 2*time.Second, constant(20*time.Millisecond))
	collapse := func(limit int) time.Duration {
		over := float64(limit) / 3
		return time.Duration(float64(20*time.Millisecond) * max(1, over*over))
	}
	feed(l, now, 5*time.Second, collapse)
	assert.Assert(t, l.Limit() <= 6, "limit %d", l.Limit())
}

// TestStaysWhereLoadIsNotTheCause has a backend server that is slow at any limit.
func TestStaysWhereLoadIsNotTheCause(t *testing.T) {
	l := limiter.New(16)
	now := feed(l, start, 2*time.Second, constant(20*time.Millisecond))
	now = feed(l, now, 3*time.Second, constant(160*time.Millisecond))
	feed(l, now, 500*time.Millisecond, constant(20*time.Millisecond))
	assert.Equal(t, l.Limit(), 16)
}

func TestRefusedConnectionIsACold(t *testing.T) {
	l := limiter.New(16)
	now := feed(l, start, 2*time.Second, constant(20*time.Millisecond))
	assert.Assert(t, l.Observe(eelgrasspoint.Sample{At: now, Refused: true}))
	assert.Equal(t, l.Limit(), eelgrasspoint.ColdLimit)
}

func TestShedLoadLowersTheLimit(t *testing.T) {
	l := limiter.New(16)
	now := feed(l, start, 2*time.Second, constant(20*time.Millisecond))
	for range 10 {
		l.Observe(eelgrasspoint.Sample{At: now, Duration: time.Millisecond, InUse: 16, Shed: true})
	}
	assert.Assert(t, l.Limit() < 8, "limit %d", l.Limit())
}

// TestBounds draws any run of samples: the limit stays between one and the slots.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 40).Draw(t, "slots")
		l := limiter.New(slots)
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "samples") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			took := time.Duration(rapid.IntRange(0, 2000).Draw(t, "took")) * time.Millisecond
			l.ObserveInFlight(time.Duration(rapid.IntRange(0, 2000).Draw(t, "age"))*time.Millisecond, now)
			l.Observe(eelgrasspoint.Sample{
				At: now, Duration: took, InUse: rapid.IntRange(1, slots).Draw(t, "inUse"),
				Succeeded: rapid.Bool().Draw(t, "succeeded"), Shed: rapid.Bool().Draw(t, "shed"),
				Refused: rapid.IntRange(0, 50).Draw(t, "refused") == 0, Ignored: rapid.Bool().Draw(t, "ignored"),
			})
			if l.Limit() < eelgrasspoint.MinLimit || l.Limit() > slots {
				t.Fatalf("limit %d with %d slots", l.Limit(), slots)
			}
		}
	})
}
