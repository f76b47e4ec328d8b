package chooser_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/chooser"
)

// made numbers the candidates, so that each is a node of its own.
var made int

var now = time.Unix(1_700_000_000, 0)

func candidate(region, zone string) *eelgrasspoint.Candidate {
	made++
	return &eelgrasspoint.Candidate{Node: fmt.Sprint(region, zone, made), Region: region, AvailabilityZone: zone, Slots: 10, Gauge: &eelgrasspoint.ServerStats{}}
}

// share counts how often each candidate is chosen in a thousand choices.
func share(list []*eelgrasspoint.Candidate, need *eelgrasspoint.Requirements) map[*eelgrasspoint.Candidate]int {
	c := chooser.New()
	random := eelgrasspoint.NewRandom(1)
	counts := make(map[*eelgrasspoint.Candidate]int)
	for range 1000 {
		counts[c.Choose(list, need, now, random)]++
	}
	return counts
}

func need(meta *eelgrasspoint.RequestMetadata) *eelgrasspoint.Requirements {
	return &eelgrasspoint.Requirements{Region: "here", AvailabilityZone: "a", Meta: meta, SpillAllowed: true}
}

func TestOwnRegionFirst(t *testing.T) {
	near, far := candidate("here", "b"), candidate("there", "a")
	counts := share([]*eelgrasspoint.Candidate{far, near}, need(&eelgrasspoint.RequestMetadata{}))
	assert.Equal(t, counts[near], 1000)
}

func TestOtherRegionWhenOwnIsFull(t *testing.T) {
	near, far := candidate("here", "b"), candidate("there", "a")
	near.Gauge.SetLoad(eelgrasspoint.Load{InUse: 10, Limit: 10, Queued: 10}, now)
	list := []*eelgrasspoint.Candidate{far, near}
	assert.Equal(t, share(list, need(&eelgrasspoint.RequestMetadata{}))[far], 1000)
	bound := need(&eelgrasspoint.RequestMetadata{Permitted: []string{"here"}})
	assert.Equal(t, share(list, bound)[near], 1000, "a bound request stays")
	short := need(&eelgrasspoint.RequestMetadata{})
	short.SpillAllowed = false
	assert.Equal(t, share(list, short)[near], 1000, "the link's budget is used up")
}

func TestSlowAndFailingAreAvoided(t *testing.T) {
	good, slow, failing := candidate("here", "a"), candidate("here", "a"), candidate("here", "a")
	good.Gauge.ObserveLatency(10*time.Millisecond, now)
	slow.Gauge.ObserveLatency(200*time.Millisecond, now)
	failing.Gauge.ObserveLatency(time.Millisecond, now)
	for range 5 {
		failing.Gauge.ObserveStatus(true, now)
	}
	counts := share([]*eelgrasspoint.Candidate{good, slow, failing}, need(&eelgrasspoint.RequestMetadata{}))
	assert.Assert(t, counts[good] > 900, "%v", counts[good])
}

func TestAgeShowsASilentServer(t *testing.T) {
	good, silent := candidate("here", "a"), candidate("here", "a")
	good.Gauge.ObserveLatency(10*time.Millisecond, now)
	silent.Gauge.ObserveLatency(10*time.Millisecond, now)
	silent.Gauge.Begin(now.Add(-200 * time.Millisecond))
	assert.Equal(t, share([]*eelgrasspoint.Candidate{good, silent}, need(&eelgrasspoint.RequestMetadata{}))[good], 1000)
}

func TestSuspectsAreForFirstAttemptsOnly(t *testing.T) {
	suspect, tried := candidate("here", "a"), candidate("here", "b")
	suspect.Gauge.RecordFailure(now)
	list := []*eelgrasspoint.Candidate{suspect, tried}
	n := need(&eelgrasspoint.RequestMetadata{})
	n.Tried = []*eelgrasspoint.Candidate{tried}
	assert.Equal(t, share(list, n)[nil], 1000)
	assert.Equal(t, share([]*eelgrasspoint.Candidate{suspect}, need(&eelgrasspoint.RequestMetadata{}))[suspect], 1000)
}

// TestTriedIsKnownByNode gives the tried candidate again as another snapshot has it.
func TestTriedIsKnownByNode(t *testing.T) {
	tried := candidate("here", "a")
	again := *tried
	n := need(&eelgrasspoint.RequestMetadata{})
	n.Tried = []*eelgrasspoint.Candidate{tried}
	assert.Equal(t, share([]*eelgrasspoint.Candidate{&again}, n)[nil], 1000)
}

func BenchmarkChoose(b *testing.B) {
	var list []*eelgrasspoint.Candidate
	for i := range 11 {
		c := candidate("here", fmt.Sprint(i%3))
		c.Gauge.ObserveLatency(time.Duration(10+i)*time.Millisecond, now)
		list = append(list, c)
	}
	c, random, n := chooser.New(), eelgrasspoint.NewRandom(1), need(&eelgrasspoint.RequestMetadata{})
	b.ReportAllocs()
	for b.Loop() {
		c.Choose(list, n, now, random)
	}
}
