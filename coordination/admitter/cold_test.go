package admitter_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrasspoint"
	"eelgrasspoint/coordination/admitter"
	"eelgrasspoint/coordination/limiter"
)

// admitAndRelease reports whether a request was admitted, and releases it immediately. The reason of
// any refusal must be ColdServer.
func admitAndRelease(t *testing.T, a *admitter.Admitter) bool {
	admittedAt, err := a.Admit(t.Context(), &eelgrasspoint.RequestMetadata{})
	if err != nil {
		assert.Equal(t, refusalReason(err), eelgrasspoint.ColdServer)
		return false
	}
	a.Release(eelgrasspoint.Sample{At: time.Now(), Admitted: admittedAt, Succeeded: true})
	return true
}

// TestColdRateHoldsInAnySecond checks that a request is admitted to a cold backend server only if
// fewer than limit were admitted in the second before, those before SetCold included.
func TestColdRateHoldsInAnySecond(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		limit := rapid.IntRange(1, 20).Draw(r, "limit")
		gaps := rapid.SliceOfN(rapid.IntRange(0, 200), 1, 200).Draw(r, "gaps")
		before := rapid.IntRange(0, 30).Draw(r, "before")
		synctest.Test(t, func(t *testing.T) {
			a := admitter.NewWithReportedLoad(limiter.NewFixed(100), time.Now)
			a.SetColdRateLimit(limit)
			time.Sleep(2 * time.Second)
			var admitted []time.Time
			for range before {
				assert.Assert(t, admitAndRelease(t, a))
				admitted = append(admitted, time.Now())
			}
			a.SetCold(time.Hour)
			for _, gap := range gaps {
				time.Sleep(time.Duration(gap) * time.Millisecond)
				if admitAndRelease(t, a) {
					admitted = append(admitted, time.Now())
				}
			}
			for i := max(before, limit); i < len(admitted); i++ {
				elapsed := admitted[i].Sub(admitted[i-limit])
				assert.Assert(t, elapsed >= time.Second, "%d requests within %v, want at least 1s", limit+1, elapsed)
			}
		})
	})
}

// TestColdRateAfterNodeStart checks that a new process admits nothing to a cold backend server for
// one second: an earlier process may have used up the limit just before.
func TestColdRateAfterNodeStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitter.NewWithReportedLoad(limiter.NewFixed(100), time.Now)
		a.SetColdRateLimit(5)
		a.SetCold(3 * time.Second)
		assert.Assert(t, !admitAndRelease(t, a))
		time.Sleep(1100 * time.Millisecond)
		for range 5 {
			assert.Assert(t, admitAndRelease(t, a))
		}
		assert.Assert(t, !admitAndRelease(t, a))
		time.Sleep(2 * time.Second)
		for range 50 {
			assert.Assert(t, admitAndRelease(t, a))
		}
	})
}

// TestRequestsWithoutInsistsLeaveLastSlotsFree checks that requests that can go to another backend
// server neither use the last slots nor wait in the queue.
func TestRequestsWithoutInsistsLeaveLastSlotsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitter.NewWithReportedLoad(limiter.NewFixed(10), time.Now)
		for range 8 {
			mustAdmit(t, a)
		}
		_, err := a.Admit(t.Context(), &eelgrasspoint.RequestMetadata{})
		assert.Equal(t, refusalReason(err), eelgrasspoint.Overloaded)
		for range 2 {
			_, err = a.Admit(t.Context(), &eelgrasspoint.RequestMetadata{Insists: true})
			assert.NilError(t, err)
		}
		start := time.Now()
		const target = 100 * time.Millisecond
		_, err = a.Admit(t.Context(), &eelgrasspoint.RequestMetadata{Insists: true, TargetLatency: target})
		assert.Equal(t, refusalReason(err), eelgrasspoint.Overloaded)
		assert.Equal(t, time.Since(start), time.Duration(eelgrasspoint.MaxQueueWaitRatio*float64(target)))
	})
}
