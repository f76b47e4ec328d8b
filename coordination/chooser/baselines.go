package chooser

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"eelgrasspoint"
)

// The choosers in this file are for comparison with Chooser. They respect home regions and SpillAllowed, but
// use neither load hints nor distance.

type roundRobin struct{ next atomic.Uint64 }

// NewRoundRobin returns a chooser that takes the eligible candidates in turn.
func NewRoundRobin() eelgrasspoint.Chooser { return &roundRobin{} }

func (r *roundRobin) Choose(candidates []*eelgrasspoint.Candidate, requirements *eelgrasspoint.Requirements, _ time.Time, _ *rand.Rand) *eelgrasspoint.Candidate {
	list := allEligible(candidates, requirements)
	if len(list) == 0 {
		return nil
	}
	return list[int((r.next.Add(1)-1)%uint64(len(list)))]
}

type uniform struct{}

// NewRandom returns a chooser that takes any eligible candidate with the same probability.
func NewRandom() eelgrasspoint.Chooser { return uniform{} }

func (uniform) Choose(candidates []*eelgrasspoint.Candidate, requirements *eelgrasspoint.Requirements, _ time.Time, random *rand.Rand) *eelgrasspoint.Candidate {
	list := allEligible(candidates, requirements)
	if len(list) == 0 {
		return nil
	}
	return list[random.IntN(len(list))]
}

type leastInFlight struct{}

// NewLeastInFlight returns a chooser that takes the eligible candidate with the fewest requests in flight
// from this node. Ties are broken at random.
func NewLeastInFlight() eelgrasspoint.Chooser { return leastInFlight{} }

func (leastInFlight) Choose(candidates []*eelgrasspoint.Candidate, requirements *eelgrasspoint.Requirements, _ time.Time, random *rand.Rand) *eelgrasspoint.Candidate {
	var best *eelgrasspoint.Candidate
	ties := 0
	for _, c := range allEligible(candidates, requirements) {
		switch {
		case best == nil || c.Gauge.InFlight() < best.Gauge.InFlight():
			best, ties = c, 1
		case c.Gauge.InFlight() == best.Gauge.InFlight():
			ties++
			if random.IntN(ties) == 0 {
				best = c
			}
		}
	}
	return best
}

func allEligible(candidates []*eelgrasspoint.Candidate, requirements *eelgrasspoint.Requirements) []*eelgrasspoint.Candidate {
	list := make([]*eelgrasspoint.Candidate, 0, len(candidates))
	for _, c := range candidates {
		if eligible(c, requirements) && localOrSpill(c, requirements, time.Time{}) {
			list = append(list, c)
		}
	}
	return list
}
