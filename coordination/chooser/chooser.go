// Package chooser picks the backend server for an attempt.
package chooser

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"eelgrasspoint"
)

// Chooser compares a few random candidates by their expected latency. It prefers its own region, and
// chooses another only if its own has no candidate with room.
type Chooser struct{}

var _ eelgrasspoint.Chooser = (*Chooser)(nil)

// New returns a chooser.
func New() *Chooser { return &Chooser{} }

// Choose returns a candidate that may serve the request and was not tried yet, or nil.
func (c *Chooser) Choose(candidates []*eelgrasspoint.Candidate, requirements *eelgrasspoint.Requirements, now time.Time, random *rand.Rand) *eelgrasspoint.Candidate {
	for _, p := range preferences {
		if p.excludes(requirements) {
			continue
		}
		if found := pick(candidates, requirements, now, random, p.accepts); found != nil {
			return found
		}
	}
	return nil
}

// preference is a condition on candidates.
type preference struct {
	accepts          func(c *eelgrasspoint.Candidate, requirements *eelgrasspoint.Requirements, now time.Time) bool
	firstAttemptOnly bool
}

// preferences are ordered from the most to the least preferred. Ejected candidates and full ones in other
// regions are for first attempts only: another attempt would add load to a service that is down.
var preferences = []preference{
	{accepts: sameZoneNotSlow},
	{accepts: localNotSlow},
	{accepts: localWithRoom},
	{accepts: remoteWithRoom},
	{accepts: localHealthy},
	{accepts: localSoon},
	{accepts: localOrSpill, firstAttemptOnly: true},
}

// excludes reports whether the preference does not apply because the attempt is not the first.
func (p preference) excludes(requirements *eelgrasspoint.Requirements) bool {
	return p.firstAttemptOnly && len(requirements.Tried) > 0
}

// sameZoneNotSlow accepts candidates in the availability zone of this node that have room and are not slow:
// it keeps requests in their zone while a backend server there has room.
func sameZoneNotSlow(c *eelgrasspoint.Candidate, requirements *eelgrasspoint.Requirements, now time.Time) bool {
	return c.AvailabilityZone == requirements.AvailabilityZone && localNotSlow(c, requirements, now)
}

func localNotSlow(c *eelgrasspoint.Candidate, requirements *eelgrasspoint.Requirements, now time.Time) bool {
	return localWithRoom(c, requirements, now) && !recentlySlow(c, now)
}

// recentlySlow reports whether a load hint received less than SlowHintTTL ago shows that the candidate is
// slow.
func recentlySlow(c *eelgrasspoint.Candidate, now time.Time) bool {
	load, at := c.Gauge.Load()
	return load.Slowness >= eelgrasspoint.SlownessThreshold && now.Sub(at) < eelgrasspoint.SlowHintTTL
}

func localWithRoom(c *eelgrasspoint.Candidate, requirements *eelgrasspoint.Requirements, now time.Time) bool {
	return localHealthy(c, requirements, now) && hasRoom(c, now)
}

func remoteWithRoom(c *eelgrasspoint.Candidate, requirements *eelgrasspoint.Requirements, now time.Time) bool {
	if c.Region == requirements.Region || !requirements.SpillAllowed {
		return false
	}
	return !c.Gauge.Ejected(now) && !paused(c, now) && hasRoom(c, now)
}

func localHealthy(c *eelgrasspoint.Candidate, requirements *eelgrasspoint.Requirements, now time.Time) bool {
	return c.Region == requirements.Region && !c.Gauge.Ejected(now) && !paused(c, now)
}

// localSoon accepts candidates in this node's region that take no request yet, for an attempt that may wait there.
func localSoon(c *eelgrasspoint.Candidate, requirements *eelgrasspoint.Requirements, now time.Time) bool {
	return requirements.Queues && c.Region == requirements.Region && !c.Gauge.Ejected(now)
}

// paused reports whether the candidate takes no request yet, by its last load hint.
func paused(c *eelgrasspoint.Candidate, now time.Time) bool { return c.Gauge.PauseLeft(now) > 0 }

// localOrSpill accepts candidates in this node's region, and in other regions if requests may spill over.
func localOrSpill(c *eelgrasspoint.Candidate, requirements *eelgrasspoint.Requirements, _ time.Time) bool {
	return c.Region == requirements.Region || requirements.SpillAllowed
}

// eligible reports whether the home regions permit the candidate and its node was not tried yet.
func eligible(c *eelgrasspoint.Candidate, requirements *eelgrasspoint.Requirements) bool {
	return requirements.Meta.Permits(c.Region) && !slices.ContainsFunc(requirements.Tried, func(tried *eelgrasspoint.Candidate) bool {
		return tried.Node == c.Node
	})
}

// pick returns the best of a few accepted candidates, drawn by reservoir sampling: with stale load hints,
// the best of all would be the best for every node at once.
func pick(candidates []*eelgrasspoint.Candidate, requirements *eelgrasspoint.Requirements, now time.Time, random *rand.Rand, accepts func(*eelgrasspoint.Candidate, *eelgrasspoint.Requirements, time.Time) bool) *eelgrasspoint.Candidate {
	var sampled [eelgrasspoint.SampledCandidates]*eelgrasspoint.Candidate
	seen := 0
	for _, c := range candidates {
		if !eligible(c, requirements) || !accepts(c, requirements, now) {
			continue
		}
		index := seen
		if seen >= len(sampled) {
			index = random.IntN(seen + 1)
		}
		seen++
		if index < len(sampled) {
			sampled[index] = c
		}
	}
	return best(sampled[:min(seen, len(sampled))], requirements, now, random)
}

// best returns the candidate with the lowest expected latency, or nil. The random start breaks ties.
func best(sampled []*eelgrasspoint.Candidate, requirements *eelgrasspoint.Requirements, now time.Time, random *rand.Rand) *eelgrasspoint.Candidate {
	if len(sampled) == 0 {
		return nil
	}
	mean := meanLatency(sampled)
	first := random.IntN(len(sampled))
	chosen, lowest := sampled[first], expectedLatency(sampled[first], requirements, now, mean)
	for step := 1; step < len(sampled); step++ {
		c := sampled[(first+step)%len(sampled)]
		if latency := expectedLatency(c, requirements, now, mean); latency < lowest {
			chosen, lowest = c, latency
		}
	}
	return chosen
}

// meanLatency returns the mean of the smoothed latencies, or zero if none was observed.
func meanLatency(sampled []*eelgrasspoint.Candidate) time.Duration {
	var sum time.Duration
	n := 0
	for _, c := range sampled {
		if observed := c.Gauge.SmoothedLatency(); observed > 0 {
			sum += observed
			n++
		}
	}
	return sum / time.Duration(max(n, 1))
}

// hasRoom reports whether the requests that are running or queued, by the load hint, number less than
// TargetUtilization of the limit. A hint older than LoadHintHalfLife is not trusted. Without a trusted
// hint, this node's own requests in flight must number less than twice the slots.
func hasRoom(c *eelgrasspoint.Candidate, now time.Time) bool {
	load, at := c.Gauge.Load()
	if at.IsZero() || now.Sub(at) > eelgrasspoint.LoadHintHalfLife {
		return c.Gauge.InFlight() < int64(max(c.Slots, 1))*2
	}
	return float64(load.InUse+load.Queued) < eelgrasspoint.TargetUtilization*float64(load.Limit)
}

// expectedLatency returns the estimated latency of the request at the candidate in nanoseconds, raised by
// its slowness, utilization and error rate.
func expectedLatency(c *eelgrasspoint.Candidate, requirements *eelgrasspoint.Requirements, now time.Time, mean time.Duration) float64 {
	// Requests in flight are half done on average, so twice their mean age is a lower estimate of the
	// latency. It grows also if the backend server stops answering.
	base := max(c.Gauge.Latency(now, mean), 2*c.Gauge.MeanAge(now), hintedLatency(c, now, mean)) + distancePenalty(c, requirements) + c.Gauge.PauseLeft(now)
	used := utilization(c, now)
	errorRate := c.Gauge.ErrorRate(now)
	// The millisecond keeps the factors in effect if no latency is known and base is zero.
	return float64(base+time.Millisecond) * slowness(c, now) * (1 + used*used) * (1 + eelgrasspoint.ErrorPenalty*errorRate)
}

// slowness returns the service time as a multiple of the usual one, by the load hint. Its excess over 1
// decays with the half-life LoadHintHalfLife.
func slowness(c *eelgrasspoint.Candidate, now time.Time) float64 {
	load, at := c.Gauge.Load()
	if load.Slowness <= 1 {
		return 1
	}
	decay := math.Exp2(-float64(now.Sub(at)) / float64(eelgrasspoint.LoadHintHalfLife))
	return 1 + decay*(load.Slowness-1)
}

// hintedLatency returns the expected service time of the load hint. Its excess over the mean latency decays
// with the half-life LoadHintHalfLife. Without an excess, hintedLatency returns zero.
func hintedLatency(c *eelgrasspoint.Candidate, now time.Time, mean time.Duration) time.Duration {
	load, at := c.Gauge.Load()
	if load.Expected <= mean {
		return 0
	}
	decay := math.Exp2(-float64(now.Sub(at)) / float64(eelgrasspoint.LoadHintHalfLife))
	return mean + time.Duration(decay*float64(load.Expected-mean))
}

// distancePenalty returns the latency that is added for another zone or region, so that nearer candidates
// are preferred before any latency was measured. It is also added to measured latencies, although they
// already include the network.
func distancePenalty(c *eelgrasspoint.Candidate, requirements *eelgrasspoint.Requirements) time.Duration {
	switch {
	case c.Node == requirements.Self:
		return 0
	case c.AvailabilityZone == requirements.AvailabilityZone:
		return 0
	case c.Region == requirements.Region:
		return eelgrasspoint.OtherZonePenalty
	default:
		return eelgrasspoint.OtherRegionPenalty
	}
}

// utilization returns the number of requests at the candidate, plus one, divided by the limit; it can
// exceed 1. The number is the larger of this node's own requests in flight and the requests that are
// running or queued by the load hint, which decay with the half-life LoadHintHalfLife. The limit is that
// of the load hint, or the number of slots if there is no hint or it has no limit.
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
	halfLives := float64(now.Sub(at)) / float64(eelgrasspoint.LoadHintHalfLife)
	hinted := float64(load.InUse+load.Queued) * math.Exp2(-halfLives)
	return (math.Max(own, hinted) + 1) / limit
}
