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

// tryAdmit admits and releases at once, and reports whether it was admitted.
func tryAdmit(t *testing.T, a *admitter.Admitter) bool {
	began, err := a.Admit(t.Context(), &eelgrasspoint.RequestMetadata{})
	if err != nil {
		assert.Equal(t, reason(err), eelgrasspoint.ColdServer)
		return false
	}
	a.Release(eelgrasspoint.Sample{At: time.Now(), Admitted: began, Succeeded: true})
	return true
}

// TestColdRate shows that no second, wherever it begins, sees more requests than a cold backend
// server bears, and that those of the time before it was known to be cold are counted.
func TestColdRate(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		limit := rapid.IntRange(1, 20).Draw(r, "limit")
		gaps := rapid.SliceOfN(rapid.IntRange(0, 200), 1, 200).Draw(r, "gaps")
		before := rapid.IntRange(0, 30).Draw(r, "before")
		synctest.Test(t, func(t *testing.T) {
			a := admitter.NewWithReportedLoad(limiter.NewFixed(100), time.Now)
			a.SetColdLimit(limit)
			time.Sleep(2 * time.Second)
			var admitted []time.Time
			for range before {
				assert.Assert(t, tryAdmit(t, a))
				admitted = append(admitted, time.Now())
			}
			a.SetCold(time.Hour)
			for _, gap := range gaps {
				time.Sleep(time.Duration(gap) * time.Millisecond)
				if tryAdmit(t, a) {
					admitted = append(admitted, time.Now())
				}
			}
			for i := max(before, limit); i < len(admitted); i++ {
				within := admitted[i].Sub(admitted[i-limit])
				assert.Assert(t, within >= time.Second, "%d requests in %v", limit+1, within)
			}
		})
	})
}

// TestColdAfterStart shows that a process which has just started takes the second before it
// for used up: an earlier process may have sent requests in it.
func TestColdAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitter.NewWithReportedLoad(limiter.NewFixed(100), time.Now)
		a.SetColdLimit(5)
		a.SetCold(3 * time.Second)
		assert.Assert(t, !tryAdmit(t, a))
		time.Sleep(1100 * time.Millisecond)
		for range 5 {
			assert.Assert(t, tryAdmit(t, a))
		}
		assert.Assert(t, !tryAdmit(t, a))
		time.Sleep(2 * time.Second)
		for range 50 {
			assert.Assert(t, tryAdmit(t, a))
		}
	})
}

// TestSoftLimit shows that requests which can go elsewhere leave the slower slots free and never wait.
func TestSoftLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitter.NewWithReportedLoad(limiter.NewFixed(10), time.Now)
		for range 8 {
			admit(t, a)
		}
		_, err := a.Admit(t.Context(), &eelgrasspoint.RequestMetadata{})
		assert.Equal(t, reason(err), eelgrasspoint.Overloaded)
		for range 2 {
			_, err = a.Admit(t.Context(), &eelgrasspoint.RequestMetadata{Insists: true})
			assert.NilError(t, err)
		}
		began := time.Now()
		const target = 100 * time.Millisecond
		_, err = a.Admit(t.Context(), &eelgrasspoint.RequestMetadata{Insists: true, TargetLatency: target})
		assert.Equal(t, reason(err), eelgrasspoint.Overloaded)
		assert.Equal(t, time.Since(began), time.Duration(eelgrasspoint.MaxQueueWaitRatio*float64(target)))
	})
}
