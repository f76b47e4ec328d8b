package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"eelgrasspoint/standin/backend"
)

// limitName is the name of the events in which a backend server names a limit of requests per second.
const limitName = "limit"

// Limits that backend servers name, and the bound on the requests that they then get: in any limitWindow, limitFactor
// times what the limit allows, and limitSlack more.
const (
	// limitsPerSecond is the mean rate of the events.
	limitsPerSecond       = 0.15
	minLimit, limitSpread = 2, 15
	// limitLasts is added to the drawn duration; limitLearned is the time in which the nodes have to learn the limit.
	limitLasts   = 4 * time.Second
	limitLearned = time.Second
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
)

// drawLimits draws the limit events of a seed.
func drawLimits(seed uint64, duration time.Duration, nodes int) []Event {
	return drawEvents(limitName, limitsPerSecond, rand.New(rand.NewPCG(seed, ^uint64(nodes))), duration, nodes)
}

// drawEvents draws the events of one name, with a generator of their own.
func drawEvents(name string, perSecond float64, random *rand.Rand, duration time.Duration, nodes int) []Event {
	var events []Event
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		if at >= duration {
			return events
		}
		events = append(events, Event{
			Name: name, At: at, VM: random.IntN(nodes), Figure: random.IntN(1 << 16),
			Lasts: time.Duration(random.Int64N(int64(maxEventDuration))),
		})
	}
}

// limitBackend lets the backend server name a limit, then checks the requests that it got. It does nothing while a zone is
// out of service or another limit is named, since the product guarantees service with one of them at most.
func limitBackend(s *Soak, v *vm, e Event) {
	if !s.operator.zoneLock.TryLock() {
		return
	}
	defer s.operator.zoneLock.Unlock()
	limit := float64(minLimit + e.Figure%limitSpread)
	v.mu.Lock()
	handler, incarnation := v.handler, v.incarnation
	v.mu.Unlock()
	restarts, startedAt := v.restarts.Load(), time.Now()
	handler.SetBehavior(backend.Behavior{ServiceTime: serviceTime, RateLimit: limit})
	time.Sleep(limitLasts + e.Lasts)
	endedAt := time.Now()
	handler.SetBehavior(backend.Behavior{ServiceTime: serviceTime})
	if restarts == v.restarts.Load() && v.undisturbed(startedAt, endedAt) && !v.stoppedDuring(startedAt, endedAt) {
		s.checker.checkLimit(v, incarnation, limit, startedAt.Add(limitLearned), endedAt)
	}
}

// checkLimit checks the requests that an incarnation of a backend server got between the two times.
func (c *checker) checkLimit(v *vm, incarnation uint64, limit float64, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var arrivals []time.Time
	for _, runs := range c.runs {
		for _, r := range runs {
			if r.incarnation == incarnation && r.at.After(from) && r.at.Before(to) {
				arrivals = append(arrivals, r.at)
			}
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	allowed := int(limitFactor*limit*limitWindow.Seconds()) + limitSlack
	for i := allowed; i < len(arrivals); i++ {
		if arrivals[i].Sub(arrivals[i-allowed]) < limitWindow {
			c.addViolation("limit", "%s got more than %d requests in %v at a limit of %v per second", v.name, allowed, limitWindow, limit)
			return
		}
	}
}
