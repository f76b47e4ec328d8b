package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"eelgrasspoint/standin/backend"
)

// departureName is the name of the events in which a node is killed once it has acknowledged that its backend server
// leaves, and late registrations of that server reach its next process.
const departureName = "departure"

const (
	// departuresPerSecond is the mean rate of the events.
	departuresPerSecond = 0.1
	// lateInterval is the pause between two late registrations, and lateCount their number.
	lateInterval = 100 * time.Millisecond
	lateCount    = 30
)

// drawDepartures draws the departure events of a seed, none if the seed has planned operations only.
func drawDepartures(seed uint64, duration time.Duration, nodes int) []Event {
	if seed%plannedOnlyEvery == 0 {
		return nil
	}
	return drawEvents(departureName, departuresPerSecond, rand.New(rand.NewPCG(seed, uint64(nodes)<<32)), duration, nodes)
}

// killAfterDeparture lets the backend server leave, kills and restarts the node, and sends late registrations while the
// server still serves. Then the next lifetime begins.
func killAfterDeparture(s *Soak, v *vm, e Event) {
	v.processLock.Lock()
	defer v.processLock.Unlock()
	v.deregister()
	v.node.Process.Signal(syscall.SIGKILL)
	v.node.Process.Wait(time.Second)
	time.Sleep(e.Lasts / 8)
	s.restartNode(v)
	for range lateCount {
		backend.Register(context.Background(), http.DefaultClient, v.node.Control, v.announcement())
		time.Sleep(lateInterval)
	}
	v.shutDownBackend()
	s.restartBackend(v, 0)
}
