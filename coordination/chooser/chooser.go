// Package chooser picks the backend server that a request is sent to.
package chooser

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"eelgrasspoint"
)

// Chooser compares a few random candidates by the time that each is expected to take. It
// prefers its own region and goes to another only when its own has no candidate with room.
type Chooser struct{}

var _ eelgrasspoint.Chooser = (*Chooser)(nil)

// New returns a chooser.
func New() *Chooser { return &Chooser{} }

// Choose returns a candidate that was not tried and may serve the request, or nil.
func (c *Chooser) Choose(candidates []*eelgrasspoint.Candidate, need *eelgrasspoint.Requirements, now time.Time, random *rand.Rand) *eelgrasspoint.Candidate {
	for _, step := range preferences {
		if step.retryOnly(need) {
			continue
		}
		if found := pick(candidates, need, now, random, step.accepts); found != nil {
			return found
		}
	}
	return nil
}

// preference is one set of candidates, from the most to the least wanted.
type preference struct {
	accepts   func(c *eelgrasspoint.Candidate, need *eelgrasspoint.Requirements, now time.Time) bool
	firstOnly bool
}

// The candidates known to be bad are for first attempts alone: a retry to them would
// add load to a service that is down.
var preferences = []preference{
	{accepts: nearAndFast},
	{accepts: localAndFast},
	{accepts: localWithRoom},
	{accepts: remoteWithRoom},
	{accepts: localHealthy},
	{accepts: anyLawful, firstOnly: true},
}

func (p preference) retryOnly(need *eelgrasspoint.Requirements) bool {
	return p.firstOnly && len(need.Tried) > 0
}

// nearAndFast keeps requests in their availability zone while a backend server there has room.
func nearAndFast(c *eelgrasspoint.Candidate, need *eelgrasspoint.Requirements, now time.Time) bool {
	return c.AvailabilityZone == need.AvailabilityZone && localAndFast(c, need, now)
}

func localAndFast(c *eelgrasspoint.Candidate, need *eelgrasspoint.Requirements, now time.Time) bool {
	return localWithRoom(c, need, now) && !slowLately(c, now)
}

// slowLately reports whether the candidate said a moment ago that it is slow.
func slowLately(c *eelgrasspoint.Candidate, now time.Time) bool {
	load, at := c.Gauge.Load()
	return load.Slowness >= eelgrasspoint.SlownessThreshold && now.Sub(at) < eelgrasspoint.SlowHintTTL
}

func localWithRoom(c *eelgrasspoint.Candidate, need *eelgrasspoint.Requirements, now time.Time) bool {
	return localHealthy(c, need, now) && hasRoom(c, now)
}

func remoteWithRoom(c *eelgrasspoint.Candidate, need *eelgrasspoint.Requirements, now time.Time) bool {
	if c.Region == need.Region || !need.SpillAllowed {
		return false
	}
	return !c.Gauge.Ejected(now) && hasRoom(c, now)
}

func localHealthy(c *eelgrasspoint.Candidate, need *eelgrasspoint.Requirements, now time.Time) bool {
	return c.Region == need.Region && !c.Gauge.Ejected(now)
}

func anyLawful(c *eelgrasspoint.Candidate, need *eelgrasspoint.Requirements, _ time.Time) bool {
	return c.Region == need.Region || need.SpillAllowed
}

// eligible reports whether the request may go to the candidate at all.
func eligible(c *eelgrasspoint.Candidate, need *eelgrasspoint.Requirements) bool {
	return need.Meta.Permits(c.Region) && !slices.ContainsFunc(need.Tried, func(tried *eelgrasspoint.Candidate) bool {
		return tried.Node == c.Node
	})
}

// pick returns the best of a few accepted candidates that are drawn at random: with stale
// hints, the best of all would be the best for every node at once.
func pick(candidates []*eelgrasspoint.Candidate, need *eelgrasspoint.Requirements, now time.Time, random *rand.Rand, accepts func(*eelgrasspoint.Candidate, *eelgrasspoint.Requirements, time.Time) bool) *eelgrasspoint.Candidate {
	var drawn [eelgrasspoint.SampledCandidates]*eelgrasspoint.Candidate
	seen := 0
	for _, c := range candidates {
		if !eligible(c, need) || !accepts(c, need, now) {
			continue
		}
		place := seen
		if seen >= len(drawn) {
			place = random.IntN(seen + 1)
		}
		seen++
		if place < len(drawn) {
			drawn[place] = c
		}
	}
	return best(drawn[:min(seen, len(drawn))], need, now, random)
}

func best(drawn []*eelgrasspoint.Candidate, need *eelgrasspoint.Requirements, now time.Time, random *rand.Rand) *eelgrasspoint.Candidate {
	if len(drawn) == 0 {
		return nil
	}
	usual := usualLatency(drawn)
	first := random.IntN(len(drawn))
	chosen, least := drawn[first], expected(drawn[first], need, now, usual)
	for step := 1; step < len(drawn); step++ {
		c := drawn[(first+step)%len(drawn)]
		if e := expected(c, need, now, usual); e < least {
			chosen, least = c, e
		}
	}
	return chosen
}

// usualLatency is the mean of what was observed, or zero.
func usualLatency(drawn []*eelgrasspoint.Candidate) time.Duration {
	var sum time.Duration
	n := 0
	for _, c := range drawn {
		if observed := c.Gauge.SmoothedLatency(); observed > 0 {
			sum += observed
			n++
		}
	}
	return sum / time.Duration(max(n, 1))
}

// hasRoom trusts a full report only while it is fresh.
func hasRoom(c *eelgrasspoint.Candidate, now time.Time) bool {
	load, at := c.Gauge.Load()
	if at.IsZero() || now.Sub(at) > eelgrasspoint.LoadHintHalfLife {
		return c.Gauge.InFlight() < int64(max(c.Slots, 1))*2
	}
	return float64(load.InUse+load.Queued) < eelgrasspoint.TargetUtilization*float64(load.Limit)
}

// expected estimates how long the request would take at the candidate.
func expected(c *eelgrasspoint.Candidate, need *eelgrasspoint.Requirements, now time.Time, usual time.Duration) float64 {
	// A run is seen half done on average, so twice the age is what it will take at least.
	base := max(c.Gauge.Latency(now, usual), 2*c.Gauge.MeanAge(now), hinted(c, now, usual)) + distance(c, need)
	used := utilization(c, now)
	errors := c.Gauge.ErrorRate(now)
	return float64(base+time.Millisecond) * slowness(c, now) * (1 + used*used) * (1 + eelgrasspoint.ErrorPenalty*errors)
}

// slowness is how many times as long as usual work takes there; the hint fades.
func slowness(c *eelgrasspoint.Candidate, now time.Time) float64 {
	load, at := c.Gauge.Load()
	if load.Slowness <= 1 {
		return 1
	}
	kept := math.Exp2(-float64(now.Sub(at)) / float64(eelgrasspoint.LoadHintHalfLife))
	return 1 + kept*(load.Slowness-1)
}

// hinted is the exit node's own word on how long a run takes; it fades like what was observed.
func hinted(c *eelgrasspoint.Candidate, now time.Time, usual time.Duration) time.Duration {
	load, at := c.Gauge.Load()
	if load.Expected <= usual {
		return 0
	}
	kept := math.Exp2(-float64(now.Sub(at)) / float64(eelgrasspoint.LoadHintHalfLife))
	return usual + time.Duration(kept*float64(load.Expected-usual))
}

// distance keeps the preference for the nearer zone where nothing was measured yet; a
// measured latency already holds the way there.
func distance(c *eelgrasspoint.Candidate, need *eelgrasspoint.Requirements) time.Duration {
	switch {
	case c.Node == need.Self:
		return 0
	case c.AvailabilityZone == need.AvailabilityZone:
		return 0
	case c.Region == need.Region:
		return eelgrasspoint.OtherZonePenalty
	default:
		return eelgrasspoint.OtherRegionPenalty
	}
}

// utilization blends the aged hint with this node's own requests on their way.
func utilization(c *eelgrasspoint.Candidate, now time.Time) float64 {
	load, at := c.Gauge.Load()
	own := float64(c.Gauge.InFlight())
	limit := float64(max(c.Slots, 1))
	if at.IsZero() {
		return (own + 1) / limit
	}
	if load.Limit > 0 {
		limit = float64(load.Limit)
	}
	age := float64(now.Sub(at)) / float64(eelgrasspoint.LoadHintHalfLife)
	hinted := float64(load.InUse+load.Queued) * math.Exp2(-age)
	return (math.Max(own, hinted) + 1) / limit
}
