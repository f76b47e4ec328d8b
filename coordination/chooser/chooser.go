// Package chooser picks the backend server that a request is sent to.
package chooser

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"eelgrasspoint"
)

// Chooser compares two random candidates by the time that each is expected to take. It
// prefers its own region and goes to another only when its own has no candidate with room.
type Chooser struct{}

var _ eelgrasspoint.Chooser = (*Chooser)(nil)

// New returns a chooser.
func New() *Chooser { return &Chooser{} }

// Choose returns a candidate that was not tried and may serve the request, or nil.
func (c *Chooser) Choose(candidates []*eelgrasspoint.Candidate, need *eelgrasspoint.Need, now time.Time, random *rand.Rand) *eelgrasspoint.Candidate {
	for _, step := range preferences {
		if step.retryOnly(need) {
			continue
		}
		if found := pickTwo(candidates, need, now, random, step.accepts); found != nil {
			return found
		}
	}
	return nil
}

// preference is one set of candidates, from the most to the least wanted.
type preference struct {
	accepts   func(c *eelgrasspoint.Candidate, need *eelgrasspoint.Need, now time.Time) bool
	firstOnly bool
}

// The candidates known to be bad are for first attempts alone: a retry to them would
// add load to a service that is down.
var preferences = []preference{
	{accepts: localWithRoom},
	{accepts: remoteWithRoom},
	{accepts: localHealthy},
	{accepts: anyLawful, firstOnly: true},
}

func (p preference) retryOnly(need *eelgrasspoint.Need) bool {
	return p.firstOnly && len(need.Tried) > 0
}

func localWithRoom(c *eelgrasspoint.Candidate, need *eelgrasspoint.Need, now time.Time) bool {
	return localHealthy(c, need, now) && hasRoom(c, now)
}

func remoteWithRoom(c *eelgrasspoint.Candidate, need *eelgrasspoint.Need, now time.Time) bool {
	if c.Region == need.Region || !need.SpillAllowed {
		return false
	}
	return !c.Gauge.Suspect(now) && hasRoom(c, now)
}

func localHealthy(c *eelgrasspoint.Candidate, need *eelgrasspoint.Need, now time.Time) bool {
	return c.Region == need.Region && !c.Gauge.Suspect(now)
}

func anyLawful(c *eelgrasspoint.Candidate, need *eelgrasspoint.Need, _ time.Time) bool {
	return c.Region == need.Region || need.SpillAllowed
}

// eligible reports whether the request may go to the candidate at all.
func eligible(c *eelgrasspoint.Candidate, need *eelgrasspoint.Need) bool {
	return need.Meta.Permits(c.Region) && !slices.Contains(need.Tried, c)
}

// pickTwo draws two of the accepted candidates in one pass and returns the better one.
func pickTwo(candidates []*eelgrasspoint.Candidate, need *eelgrasspoint.Need, now time.Time, random *rand.Rand, accepts func(*eelgrasspoint.Candidate, *eelgrasspoint.Need, time.Time) bool) *eelgrasspoint.Candidate {
	var first, second *eelgrasspoint.Candidate
	seen := 0
	for _, c := range candidates {
		if !eligible(c, need) || !accepts(c, need, now) {
			continue
		}
		seen++
		first, second = reservoir(first, second, c, seen, random)
	}
	if second == nil || expected(first, need, now) <= expected(second, need, now) {
		return first
	}
	return second
}

func reservoir(first, second, c *eelgrasspoint.Candidate, seen int, random *rand.Rand) (*eelgrasspoint.Candidate, *eelgrasspoint.Candidate) {
	switch seen {
	case 1:
		return c, nil
	case 2:
		return first, c
	}
	switch random.IntN(seen) {
	case 0:
		return c, second
	case 1:
		return first, c
	}
	return first, second
}

// hasRoom trusts a full report only while it is fresh.
func hasRoom(c *eelgrasspoint.Candidate, now time.Time) bool {
	load, at := c.Gauge.Load()
	if at.IsZero() || now.Sub(at) > eelgrasspoint.HintHalfLife {
		return c.Gauge.InFlight() < int64(max(c.Slots, 1))*2
	}
	return load.InUse+load.Queued < load.Limit*2
}

// expected estimates how long the request would take at the candidate.
func expected(c *eelgrasspoint.Candidate, need *eelgrasspoint.Need, now time.Time) float64 {
	base := c.Gauge.Latency(now) + distance(c, need)
	used := utilization(c, now)
	errors := c.Gauge.ErrorShare(now)
	return float64(base+time.Millisecond) * (1 + used*used) * (1 + eelgrasspoint.ErrorPenalty*errors)
}

// distance keeps the preference for the nearer zone where nothing was measured yet; a
// measured latency already holds the way there.
func distance(c *eelgrasspoint.Candidate, need *eelgrasspoint.Need) time.Duration {
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
	age := float64(now.Sub(at)) / float64(eelgrasspoint.HintHalfLife)
	hinted := float64(load.InUse+load.Queued) * math.Exp2(-age)
	return (math.Max(own, hinted) + 1) / limit
}
