// Package recorder keeps numbered events in bounded memory and writes them to the log.
package recorder

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"eelgrasspoint"
)

// Recorder stamps events with a hybrid logical clock: never lower than the wall clock, than
// the event before or than what another node has shown. It is safe for concurrent use.
type Recorder struct {
	node  string
	clock eelgrasspoint.Clock
	log   logrus.FieldLogger

	mu      sync.Mutex
	wall    time.Time
	logical uint32
	events  []eelgrasspoint.Event
	next    int
}

var _ eelgrasspoint.Recorder = (*Recorder)(nil)

// New returns an empty recorder of the node.
func New(node string, clock eelgrasspoint.Clock, log logrus.FieldLogger) *Recorder {
	return &Recorder{node: node, clock: clock, log: log}
}

// Record stamps, keeps and logs the event.
func (r *Recorder) Record(event eelgrasspoint.Event) {
	event.Node = r.node
	if event.Number == eelgrasspoint.EventRequestAnswered {
		// One a request: the log has it, the time line is for what is out of the ordinary.
		r.write(event)
		return
	}
	r.keep(&event)
	r.write(event)
}

// AdvanceClock moves the clock past the time of another node, within the bound that a wrong
// clock may move it.
func (r *Recorder) AdvanceClock(wall time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if wall.After(r.wall) && wall.Before(r.clock().Add(maxClockLead)) {
		r.wall = wall
		r.logical = 0
	}
}

// Now returns the wall part of the clock.
func (r *Recorder) Now() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return later(r.wall, r.clock())
}

// Events returns the kept events after the time, oldest first.
func (r *Recorder) Events(after time.Time) []eelgrasspoint.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []eelgrasspoint.Event
	for i := range r.events {
		event := r.events[(r.next+i)%len(r.events)]
		if event.Wall.After(after) {
			found = append(found, event)
		}
	}
	return found
}

// maxClockLead bounds how far another node's clock may move this one's.
const maxClockLead = time.Minute

func (r *Recorder) keep(event *eelgrasspoint.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tick()
	event.Wall = r.wall
	event.Logical = r.logical
	if len(r.events) < eelgrasspoint.MaxRecordedEvents {
		r.events = append(r.events, *event)
		return
	}
	r.events[r.next] = *event
	r.next = (r.next + 1) % len(r.events)
}

func (r *Recorder) tick() {
	now := r.clock()
	if now.After(r.wall) {
		r.wall = now
		r.logical = 0
		return
	}
	r.logical++
}

func (r *Recorder) write(event eelgrasspoint.Event) {
	fields := logrus.Fields{"Number": int(event.Number), "Event": event.Number.String()}
	optional := map[string]string{
		"Service":          event.Service,
		"AvailabilityZone": event.AvailabilityZone,
		"RequestId":        event.RequestID,
	}
	for name, value := range optional {
		if value != "" {
			fields[name] = value
		}
	}
	for _, input := range event.Inputs {
		fields[input.Name] = input.Value
	}
	r.log.WithFields(fields).Log(level(event.Number), event.Detail)
}

// level returns the log level of an event; what happens to single requests is for debugging.
func level(number eelgrasspoint.EventNumber) logrus.Level {
	switch number {
	case eelgrasspoint.EventBackendCrashed, eelgrasspoint.EventMemberFailed, eelgrasspoint.EventStoreDown,
		eelgrasspoint.EventChangeUnknown, eelgrasspoint.EventRequestQuarantined, eelgrasspoint.EventIsolationSuspected,
		eelgrasspoint.EventRequestFailed, eelgrasspoint.EventBadInput, eelgrasspoint.EventPeerSilent:
		return logrus.WarnLevel
	default:
		return logrus.InfoLevel
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
