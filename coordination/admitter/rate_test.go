package admitter_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrasspoint"
	"eelgrasspoint/coordination/admitter"
	"eelgrasspoint/coordination/limiter"
)

// limitWindow, limitFactor and limitSlack are the users' bound on the requests to a server that names a limit: in any
// window, limitFactor times what the limit allows, and limitSlack more.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// TestServerGetsNoMoreThanItsLimit guards against a backend server that gets more requests than the limit it names allows,
// after pauses and with changes of the limit, and against one that gets none although its limit allows some.
func TestServerGetsNoMoreThanItsLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		limits := rapid.SliceOfN(rapid.Float64Range(0, 60), 1, 4).Draw(r, "limits")
		gaps := rapid.SliceOfN(rapid.IntRange(0, 120), 20, 200).Draw(r, "gaps in ms")
		synctest.Test(t, func(t *testing.T) {
			a := admitter.NewWithReportedLoad(limiter.NewFixed(100), time.Now)
			for _, limit := range limits {
				a.SetRateLimit(limit)
				checkArrivals(t, limit, arrivals(t, a, gaps))
				time.Sleep(limitWindow)
			}
		})
	})
}

// arrivals offers a burst of requests after each gap and returns the times of those that are admitted.
func arrivals(t *testing.T, a *admitter.Admitter, gaps []int) []time.Time {
	t.Helper()
	var admitted []time.Time
	for _, gap := range gaps {
		time.Sleep(time.Duration(gap) * time.Millisecond)
		for range 5 {
			admittedAt, err := a.Admit(t.Context(), &eelgrasspoint.RequestMetadata{Insists: true})
			if err != nil {
				assert.Equal(t, refusalReason(err), eelgrasspoint.RateLimited)
				break
			}
			a.Release(eelgrasspoint.Sample{At: time.Now(), Admitted: admittedAt, Succeeded: true})
			admitted = append(admitted, time.Now())
		}
	}
	return admitted
}

func checkArrivals(t *testing.T, limit float64, admitted []time.Time) {
	t.Helper()
	assert.Assert(t, len(admitted) > 0)
	allowed := limitFactor*limit*limitWindow.Seconds() + limitSlack
	for i, start := range admitted {
		count := 0
		for _, at := range admitted[i:] {
			if at.Sub(start) < limitWindow {
				count++
			}
		}
		assert.Assert(t, float64(count) <= allowed, "%d requests in %v at a limit of %v per second", count, limitWindow, limit)
	}
}

// TestRefusalTellsWhenLimitAdmits guards against a Retry-After that comes too early, or is longer than needed.
func TestRefusalTellsWhenLimitAdmits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitter.NewWithReportedLoad(limiter.NewFixed(100), time.Now)
		a.SetRateLimit(4)
		mustAdmit(t, a)
		_, err := a.Admit(t.Context(), &eelgrasspoint.RequestMetadata{})
		var outcome *eelgrasspoint.OutcomeError
		assert.Assert(t, errors.As(err, &outcome))
		assert.Equal(t, outcome.RetryAfter, 250*time.Millisecond)
		assert.Equal(t, a.Load().Pause, outcome.RetryAfter)
		time.Sleep(outcome.RetryAfter)
		assert.Equal(t, a.Load().Pause, time.Duration(0))
		mustAdmit(t, a)
	})
}

// TestLimitEndsWithItsServer guards against a limit that outlasts the backend server that named it, or its word.
func TestLimitEndsWithItsServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitter.NewWithReportedLoad(limiter.NewFixed(100), time.Now)
		for _, end := range []func(){a.ClearRateLimit, func() { a.Reset(100) }} {
			a.SetRateLimit(0)
			mustAdmit(t, a)
			assert.Equal(t, refusalReason(a.CheckRate()), eelgrasspoint.RateLimited)
			end()
			fillSlots(t, a, 10)
		}
	})
}

// TestHugeLimitAdmitsAll guards against a limit that overflows into a small one.
func TestHugeLimitAdmitsAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitter.NewWithReportedLoad(limiter.NewFixed(200), time.Now)
		a.SetRateLimit(1e99)
		fillSlots(t, a, 100)
	})
}
