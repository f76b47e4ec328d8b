package soak

import (
	"math/rand/v2"
	"time"

	"eelgrasspoint/standin/backend"
)

// hangName is the name of the events in which a backend server accepts requests that it never answers.
const hangName = "hang"

const (
	// hangsPerSecond is the mean rate of the events, in seeds that are not restricted to planned operations.
	hangsPerSecond = 0.1
	// hangLasts is added to the drawn duration.
	hangLasts = 2 * time.Second
)

// hangShares are the shares of the requests that hang, one of which an event draws.
var hangShares = []float64{0.3, 0.6, 1}

// drawHangs draws the hang events of a seed.
func drawHangs(seed uint64, duration time.Duration, nodes int) []Event {
	if seed%plannedOnlyEvery == 0 {
		return nil
	}
	return drawEvents(hangName, hangsPerSecond, rand.New(rand.NewPCG(^seed, uint64(nodes))), duration, nodes)
}

// hangBackend lets the backend server hang.
func hangBackend(_ *Soak, v *vm, e Event) {
	v.mu.Lock()
	handler := v.handler
	v.mu.Unlock()
	handler.SetBehavior(backend.Behavior{ServiceTime: serviceTime, Hang: hangShares[e.Figure%len(hangShares)]})
	time.Sleep(hangLasts + e.Lasts)
	handler.SetBehavior(backend.Behavior{ServiceTime: serviceTime})
}
