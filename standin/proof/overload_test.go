package proof

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/standin/backend"
	"eelgrasspoint/standin/simulator"
)

// The load of the overload tests: open-loop arrivals at uneven servers.
const (
	overloadSlots    = 4
	overloadWarmup   = 3 * time.Second
	overloadDuration = 4 * time.Second
	// overloadDeadline is that of the callers, and overloadGoal the time in which an answer is of use to them.
	overloadDeadline = time.Second
	overloadGoal     = 500 * time.Millisecond
)

// overloadServiceTimes are those of the servers.
var overloadServiceTimes = []time.Duration{40 * time.Millisecond, 40 * time.Millisecond, 60 * time.Millisecond, 80 * time.Millisecond}

// overloadCapacity returns the requests per second that all servers can run.
func overloadCapacity() float64 {
	var capacity float64
	for _, serviceTime := range overloadServiceTimes {
		capacity += overloadSlots / serviceTime.Seconds()
	}
	return capacity
}

// overloadResult is what the callers of a load got.
type overloadResult struct {
	// goodput is the rate of answers within overloadGoal.
	goodput float64
	// refusals are the times after which refused callers were told, and lateAnswers counts answers after the goal.
	refusals    []time.Duration
	lateAnswers int
	// failed counts requests without an answer or a refusal.
	failed int
}

// playOverload plays a load of factor times the capacity and returns what its callers got.
func playOverload(t *testing.T, factor float64) overloadResult {
	t.Helper()
	var result overloadResult
	synctest.Test(t, func(t *testing.T) {
		s := simulator.New(simulator.Options{Shape: unlimitedNetwork, StoreRegion: "almaty"})
		defer s.Close()
		for i, serviceTime := range overloadServiceTimes {
			s.AddNode("almaty", []string{"almaty-a", "almaty-b"}[i%2], "bench", overloadSlots, backend.Behavior{ServiceTime: serviceTime})
		}
		time.Sleep(3 * time.Second)
		s.ApplyDocument(t.Context(), s.Nodes[0], simulator.ExampleDocument())
		time.Sleep(time.Second)
		p := &pair{Simulator: s, client: s.HTTPClient()}
		defer p.client.CloseIdleConnections()
		random := rand.New(rand.NewPCG(7, uint64(factor*10)))
		p.playArrivals(random, overloadCapacity()*0.8, overloadWarmup, func(callResult) {})
		var mu sync.Mutex
		p.playArrivals(random, overloadCapacity()*factor, overloadDuration, func(got callResult) {
			mu.Lock()
			defer mu.Unlock()
			result.add(got)
		})
	})
	return result
}

// playArrivals sends requests with exponential gaps to the nodes in turn, and waits for their ends.
func (p *pair) playArrivals(random *rand.Rand, perSecond float64, duration time.Duration, ended func(got callResult)) {
	var group sync.WaitGroup
	defer group.Wait()
	end := time.Now().Add(duration)
	for i := 0; ; i++ {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		if time.Now().After(end) {
			return
		}
		node := p.Nodes[i%len(p.Nodes)]
		group.Go(func() {
			ended(p.send(node, http.MethodPost, "/bookings", fmt.Sprintf("%s-%d", time.Now(), i), http.Header{
				eelgrasspoint.HeaderTimeout: {overloadDeadline.String()},
			}))
		})
	}
}

func (r *overloadResult) add(got callResult) {
	switch {
	case got.outcome == eelgrasspoint.Answered.String() && got.took <= overloadGoal:
		r.goodput += 1 / overloadDuration.Seconds()
	case got.outcome == eelgrasspoint.Answered.String():
		r.lateAnswers++
	case got.outcome == eelgrasspoint.NotRun.String():
		r.refusals = append(r.refusals, got.took)
	default:
		r.failed++
	}
}

// refusedWithin returns the share of the refused that were told within the time.
func (r *overloadResult) refusedWithin(limit time.Duration) float64 {
	told := 0
	for _, took := range r.refusals {
		if took <= limit {
			told++
		}
	}
	return float64(told) / float64(max(1, len(r.refusals)))
}

// TestGoodputUnderOverload plays loads around the capacity and far beyond it, and checks what callers get: the answers in
// time stay near the capacity, none fails, and those that can't be served are told early.
func TestGoodputUnderOverload(t *testing.T) {
	capacity := overloadCapacity()
	var atCapacity float64
	for _, factor := range []float64{1, 2, 3} {
		got := playOverload(t, factor)
		if factor == 1 {
			atCapacity = got.goodput
		}
		slices.Sort(got.refusals)
		t.Logf("load %.1f: goodput %.3f of the capacity, %d late, %d refused (%.3f within 10 ms, %.3f within 150 ms), %d failed",
			factor, got.goodput/capacity, got.lateAnswers, len(got.refusals), got.refusedWithin(10*time.Millisecond), got.refusedWithin(150*time.Millisecond), got.failed)
		assert.Check(t, got.goodput >= 0.9*atCapacity, "goodput %.1f/s at %.1f times the capacity, %.1f/s at the capacity", got.goodput, factor, atCapacity)
		assert.Check(t, got.goodput >= 0.85*capacity, "goodput %.1f/s of %.1f/s", got.goodput, capacity)
		assert.Check(t, got.failed == 0, "%d failed", got.failed)
	}
}
