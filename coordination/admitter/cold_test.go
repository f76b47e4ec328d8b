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

// TestColdRateHoldsAcrossProcesses checks the same for a process of the node and the one that follows it, which does not
// know what the first has admitted.
func TestColdRateHoldsAcrossProcesses(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		limit := rapid.IntRange(2, 40).Draw(r, "limit")
		before := rapid.SliceOfN(rapid.IntRange(0, 100), 1, 100).Draw(r, "gaps before")
		after := rapid.SliceOfN(rapid.IntRange(0, 100), 1, 100).Draw(r, "gaps after")
		synctest.Test(t, func(t *testing.T) {
			var admitted []time.Time
			for _, gaps := range [][]int{before, after} {
				a := coldAdmitter(limit)
				for _, gap := range gaps {
					time.Sleep(time.Duration(gap) * time.Millisecond)
					if admitAndRelease(t, a) {
						admitted = append(admitted, time.Now())
					}
				}
			}
			for i := limit; i < len(admitted); i++ {
				elapsed := admitted[i].Sub(admitted[i-limit])
				assert.Assert(t, elapsed >= time.Second, "%d requests within %v, want at least 1s", limit+1, elapsed)
			}
		})
	})
}

// coldAdmitter returns the admitter of a process that has just started beside a cold backend server.
func coldAdmitter(limit int) *admitter.Admitter {
	a := admitter.NewWithReportedLoad(limiter.NewFixed(100), time.Now)
	a.SetColdRateLimit(limit)
	a.SetCold(time.Hour)
	return a
}

// TestColdServerIsUsedFromTheStart guards against a second without service after each start of a node, which all nodes
// begin at the same moment when power is back. The rate is reached at once, and kept.
func TestColdServerIsUsedFromTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 24
		a := coldAdmitter(limit)
		for second := range 3 {
			admitted := 0
			for range 200 {
				time.Sleep(5 * time.Millisecond)
				if admitAndRelease(t, a) {
					admitted++
				}
			}
			assert.Assert(t, admitted >= limit*7/8-1, "%d requests in second %d", admitted, second)
		}
		a.SetCold(0)
		for range 50 {
			assert.Assert(t, admitAndRelease(t, a))
		}
	})
}

// TestRequestsWaitForAColdServer checks that requests with Insists wait for their turn at a cold backend server, the more
// urgent ones first, and that one whose turn would come too late is refused at once with the time to come back.
func TestRequestsWaitForAColdServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := coldAdmitter(20)
		order := make(chan uint32, 3)
		for _, weight := range []uint32{1, 1, 9} {
			go func() {
				_, err := a.Admit(t.Context(), &eelgrasspoint.RequestMetadata{Insists: true, Weight: weight, TargetLatency: time.Second})
				assert.NilError(t, err)
				order <- weight
			}()
			synctest.Wait()
		}
		start := time.Now()
		_, err := a.Admit(t.Context(), &eelgrasspoint.RequestMetadata{Insists: true, TargetLatency: 200 * time.Millisecond})
		assert.Equal(t, refusalReason(err), eelgrasspoint.ColdServer)
		assert.Assert(t, eelgrasspoint.AsOutcome(err).RetryAfter > 100*time.Millisecond)
		assert.Equal(t, time.Since(start), time.Duration(0))
		assert.Equal(t, <-order, uint32(9))
		assert.Equal(t, <-order, uint32(1))
		assert.Equal(t, <-order, uint32(1))
		assert.Assert(t, time.Since(start) < 200*time.Millisecond)
	})
}

// TestLoadHintTellsThePauseOfAColdServer guards against entry nodes that learn only by a refusal that a cold backend server
// takes nothing yet.
func TestLoadHintTellsThePauseOfAColdServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := coldAdmitter(20)
		pause := a.Load().Pause
		assert.Assert(t, pause > 0 && pause < 100*time.Millisecond, "%v", pause)
		time.Sleep(pause)
		assert.Equal(t, a.Load().Pause, time.Duration(0))
		assert.Assert(t, admitAndRelease(t, a))
		a.SetCold(0)
		assert.Equal(t, a.Load().Pause, time.Duration(0))
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
