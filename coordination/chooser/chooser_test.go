package chooser_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/chooser"
)

// candidateCount numbers the candidates, so that each has a node of its own.
var candidateCount int

var now = time.Unix(1_700_000_000, 0)

func newCandidate(region, zone string) *eelgrasspoint.Candidate {
	candidateCount++
	return &eelgrasspoint.Candidate{Node: fmt.Sprint(region, zone, candidateCount), Region: region, AvailabilityZone: zone, Slots: 10, Gauge: &eelgrasspoint.ServerStats{}}
}

// countChoices returns how often each candidate is chosen in 1000 choices. The key nil counts the choices
// without a candidate.
func countChoices(list []*eelgrasspoint.Candidate, requirements *eelgrasspoint.Requirements) map[*eelgrasspoint.Candidate]int {
	c := chooser.New()
	random := eelgrasspoint.NewRandom(1)
	counts := make(map[*eelgrasspoint.Candidate]int)
	for range 1000 {
		counts[c.Choose(list, requirements, now, random)]++
	}
	return counts
}

func newRequirements(meta *eelgrasspoint.RequestMetadata) *eelgrasspoint.Requirements {
	return &eelgrasspoint.Requirements{Region: "here", AvailabilityZone: "a", Meta: meta, SpillAllowed: true}
}

func TestLocalRegionPreferred(t *testing.T) {
	local, remote := newCandidate("here", "b"), newCandidate("there", "a")
	counts := countChoices([]*eelgrasspoint.Candidate{remote, local}, newRequirements(&eelgrasspoint.RequestMetadata{}))
	assert.Equal(t, counts[local], 1000)
}

func TestFullRegionSpillsOver(t *testing.T) {
	local, remote := newCandidate("here", "b"), newCandidate("there", "a")
	local.Gauge.SetLoad(eelgrasspoint.Load{InUse: 10, Limit: 10, Queued: 10}, now)
	list := []*eelgrasspoint.Candidate{remote, local}
	assert.Equal(t, countChoices(list, newRequirements(&eelgrasspoint.RequestMetadata{}))[remote], 1000)
	regionBound := newRequirements(&eelgrasspoint.RequestMetadata{Permitted: []string{"here"}})
	assert.Equal(t, countChoices(list, regionBound)[local], 1000, "a request must not leave its home regions")
	noSpill := newRequirements(&eelgrasspoint.RequestMetadata{})
	noSpill.SpillAllowed = false
	assert.Equal(t, countChoices(list, noSpill)[local], 1000, "a request must stay in its region when SpillAllowed is not set")
}

// TestPausedServerIsLeftOut guards against attempts at a backend server that is known to take no request for now.
func TestPausedServerIsLeftOut(t *testing.T) {
	paused, full := newCandidate("here", "a"), newCandidate("here", "b")
	paused.Gauge.SetLoad(eelgrasspoint.Load{Limit: 10, Pause: 50 * time.Millisecond}, now.Add(-40*time.Millisecond))
	full.Gauge.SetLoad(eelgrasspoint.Load{InUse: 10, Limit: 10, Queued: 10}, now)
	list := []*eelgrasspoint.Candidate{paused, full}
	requirements := newRequirements(&eelgrasspoint.RequestMetadata{})
	assert.Equal(t, countChoices(list, requirements)[full], 1000)
	requirements.Tried = []*eelgrasspoint.Candidate{full}
	assert.Equal(t, countChoices(list, requirements)[nil], 1000, "the refusal is known")
	paused.Gauge.SetLoad(eelgrasspoint.Load{Limit: 10, Pause: 50 * time.Millisecond}, now.Add(-50*time.Millisecond))
	assert.Equal(t, countChoices(list, requirements)[paused], 1000, "the pause is over")
}

func TestHighLatencyAndFailingServersAvoided(t *testing.T) {
	good, highLatency, failing := newCandidate("here", "a"), newCandidate("here", "a"), newCandidate("here", "a")
	good.Gauge.ObserveLatency(10*time.Millisecond, now)
	highLatency.Gauge.ObserveLatency(200*time.Millisecond, now)
	failing.Gauge.ObserveLatency(time.Millisecond, now)
	for range 5 {
		failing.Gauge.ObserveStatus(true, now)
	}
	counts := countChoices([]*eelgrasspoint.Candidate{good, highLatency, failing}, newRequirements(&eelgrasspoint.RequestMetadata{}))
	assert.Assert(t, counts[good] > 900, "the good server was chosen in %d of 1000 choices", counts[good])
}

// TestUnansweringServerAvoided guards against choosing a backend server that stopped answering, whose
// last observed latency is still low.
func TestUnansweringServerAvoided(t *testing.T) {
	good, unanswering := newCandidate("here", "a"), newCandidate("here", "a")
	good.Gauge.ObserveLatency(10*time.Millisecond, now)
	unanswering.Gauge.ObserveLatency(10*time.Millisecond, now)
	unanswering.Gauge.Begin(now.Add(-200 * time.Millisecond))
	assert.Equal(t, countChoices([]*eelgrasspoint.Candidate{good, unanswering}, newRequirements(&eelgrasspoint.RequestMetadata{}))[good], 1000)
}

// TestEjectedServerOnlyForFirstAttempt guards against a retry to an ejected backend server, which would add
// load to a service that is down, and against a first attempt that is not made when all servers are ejected.
func TestEjectedServerOnlyForFirstAttempt(t *testing.T) {
	ejected, tried := newCandidate("here", "a"), newCandidate("here", "b")
	ejected.Gauge.RecordFailure(now)
	list := []*eelgrasspoint.Candidate{ejected, tried}
	requirements := newRequirements(&eelgrasspoint.RequestMetadata{})
	requirements.Tried = []*eelgrasspoint.Candidate{tried}
	assert.Equal(t, countChoices(list, requirements)[nil], 1000, "a retry must not go to an ejected server")
	assert.Equal(t, countChoices([]*eelgrasspoint.Candidate{ejected}, newRequirements(&eelgrasspoint.RequestMetadata{}))[ejected], 1000, "a first attempt may go to an ejected server")
}

// TestTriedCandidateMatchedByNode guards against choosing a tried candidate again when another snapshot
// has a copy of it.
func TestTriedCandidateMatchedByNode(t *testing.T) {
	tried := newCandidate("here", "a")
	copied := *tried
	requirements := newRequirements(&eelgrasspoint.RequestMetadata{})
	requirements.Tried = []*eelgrasspoint.Candidate{tried}
	assert.Equal(t, countChoices([]*eelgrasspoint.Candidate{&copied}, requirements)[nil], 1000)
}

func BenchmarkChoose(b *testing.B) {
	var list []*eelgrasspoint.Candidate
	for i := range 11 {
		c := newCandidate("here", fmt.Sprint(i%3))
		c.Gauge.ObserveLatency(time.Duration(10+i)*time.Millisecond, now)
		list = append(list, c)
	}
	c, random, requirements := chooser.New(), eelgrasspoint.NewRandom(1), newRequirements(&eelgrasspoint.RequestMetadata{})
	b.ReportAllocs()
	for b.Loop() {
		c.Choose(list, requirements, now, random)
	}
}

// TestShortestPauseIsChosen guards against an attempt that waits at a cold backend server while another takes it earlier,
// and against a request that is refused since all of them take it only soon.
func TestShortestPauseIsChosen(t *testing.T) {
	short, long := newCandidate("here", "b"), newCandidate("here", "a")
	short.Gauge.SetLoad(eelgrasspoint.Load{Limit: 10, Pause: 20 * time.Millisecond}, now)
	long.Gauge.SetLoad(eelgrasspoint.Load{Limit: 10, Pause: 90 * time.Millisecond}, now)
	list := []*eelgrasspoint.Candidate{long, short}
	first := newRequirements(&eelgrasspoint.RequestMetadata{})
	assert.Equal(t, countChoices(list, first)[short], 1000)
	queued := newRequirements(&eelgrasspoint.RequestMetadata{})
	queued.Tried, queued.Queues = []*eelgrasspoint.Candidate{newCandidate("here", "a")}, true
	queued.AvailabilityZone = "c"
	assert.Equal(t, countChoices(list, queued)[short], 1000)
}

// TestPauseIsWaitedForOnlyWithoutOtherChoice guards against a request that may wait and is sent to a server whose limit takes
// nothing for now, while another one could queue it.
func TestPauseIsWaitedForOnlyWithoutOtherChoice(t *testing.T) {
	limited, busy := newCandidate("here", "a"), newCandidate("here", "b")
	limited.Gauge.SetLoad(eelgrasspoint.Load{Limit: 10, Pause: 5 * time.Millisecond}, now)
	busy.Gauge.SetLoad(eelgrasspoint.Load{InUse: 10, Limit: 10, Queued: 2}, now)
	requirements := newRequirements(&eelgrasspoint.RequestMetadata{})
	requirements.Tried, requirements.Queues = []*eelgrasspoint.Candidate{newCandidate("here", "a")}, true
	assert.Equal(t, countChoices([]*eelgrasspoint.Candidate{limited, busy}, requirements)[busy], 1000)
	assert.Equal(t, countChoices([]*eelgrasspoint.Candidate{limited}, requirements)[limited], 1000)
}
