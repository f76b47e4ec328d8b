// Package recorder stores numbered events in a ring buffer and writes them to the log.
package recorder

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"eelgrasspoint"
)

// Recorder stores events with timestamps of a hybrid logical clock, which never runs behind the
// wall clock, the previous event or an accepted timestamp of another node. It is safe for
// concurrent use.
type Recorder struct {
	node      string
	wallClock eelgrasspoint.Clock
	log       logrus.FieldLogger
	// requestLog gets the lines of requests.
	requestLog logrus.FieldLogger

	mu sync.Mutex
	// wall and logical are the latest timestamp of the hybrid logical clock.
	wall    time.Time
	logical uint32
	events  []eelgrasspoint.Event
	// oldest is the index of the oldest event once the ring buffer is full, and zero before.
	oldest int
}

var _ eelgrasspoint.Recorder = (*Recorder)(nil)

// New returns an empty recorder of the node.
func New(node string, wallClock eelgrasspoint.Clock, log logrus.FieldLogger) *Recorder {
	return NewWithRequestLog(node, wallClock, log, log)
}

// NewWithRequestLog returns an empty recorder that writes the lines of requests to a log of their own.
func NewWithRequestLog(node string, wallClock eelgrasspoint.Clock, log, requestLog logrus.FieldLogger) *Recorder {
	return &Recorder{node: node, wallClock: wallClock, log: log, requestLog: requestLog}
}

// Lengths of the texts of an event, which may come from a caller. What is longer is cut.
const (
	maxIDBytes     = 2 * eelgrasspoint.MaxRequestIDBytes
	maxDetailBytes = 1 << 10
	// maxInputBytes has room for a stack.
	maxInputBytes = 4 << 10
)

// Record stamps, stores and logs the event. EventRequestAnswered is only logged, so it is not in the
// timeline.
func (r *Recorder) Record(event eelgrasspoint.Event) {
	event.Node = r.node
	cutTexts(&event)
	if event.Number == eelgrasspoint.EventRequestAnswered {
		// This event occurs once per request and would displace the others in the ring buffer.
		r.logEvent(event)
		return
	}
	r.store(&event)
	r.logEvent(event)
}

// cutTexts cuts the texts of an event that are too long to be kept.
func cutTexts(event *eelgrasspoint.Event) {
	event.RequestID = cut(event.RequestID, maxIDBytes)
	event.Service = cut(event.Service, maxIDBytes)
	event.Detail = cut(event.Detail, maxDetailBytes)
	if !slices.ContainsFunc(event.Inputs, isTooLong) {
		return
	}
	event.Inputs = slices.Clone(event.Inputs)
	for i, input := range event.Inputs {
		if isTooLong(input) {
			event.Inputs[i].Value = cut(input.Value.(string), maxInputBytes)
		}
	}
}

func isTooLong(input eelgrasspoint.Input) bool {
	text, ok := input.Value.(string)
	return ok && len(text) > maxInputBytes
}

// cutMark ends a text that was cut.
const cutMark = "..."

// cut returns the text, or its begin if it is longer than the maximum.
func cut(text string, maxBytes int) string {
	if len(text) <= maxBytes {
		return text
	}
	// The copy lets go of the rest.
	return strings.ToValidUTF8(text[:maxBytes-len(cutMark)], "") + cutMark
}

// AdvanceClock advances the hybrid logical clock to the time of another node, if that is later. A
// time that is maxClockLead or more ahead of the wall clock is ignored, since the other node's clock
// is probably wrong.
func (r *Recorder) AdvanceClock(wall time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if wall.After(r.wall) && wall.Before(r.wallClock().Add(maxClockLead)) {
		r.wall = wall
		r.logical = 0
	}
}

// Now returns the wall part of the hybrid logical clock, or the wall clock if that is later.
func (r *Recorder) Now() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return later(r.wall, r.wallClock())
}

// Events returns the stored events after the given time, oldest first.
func (r *Recorder) Events(after time.Time) []eelgrasspoint.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var matching []eelgrasspoint.Event
	for i := range r.events {
		event := r.events[(r.oldest+i)%len(r.events)]
		if event.Wall.After(after) {
			matching = append(matching, event)
		}
	}
	return matching
}

// maxClockLead bounds how far another node may advance the hybrid logical clock beyond the wall clock.
const maxClockLead = time.Minute

// store stamps the event and adds it to the ring buffer, replacing the oldest event if it is full.
func (r *Recorder) store(event *eelgrasspoint.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tick()
	event.Wall = r.wall
	event.Logical = r.logical
	if len(r.events) < eelgrasspoint.MaxRecordedEvents {
		r.events = append(r.events, *event)
		return
	}
	r.events[r.oldest] = *event
	r.oldest = (r.oldest + 1) % len(r.events)
}

// tick advances the hybrid logical clock to the wall clock, or increments the logical part if the
// wall clock is not later.
func (r *Recorder) tick() {
	now := r.wallClock()
	if now.After(r.wall) {
		r.wall = now
		r.logical = 0
		return
	}
	r.logical++
}

func (r *Recorder) logEvent(event eelgrasspoint.Event) {
	fields := logrus.Fields{"Number": int(event.Number), "Event": event.Number.String()}
	optionalFields := map[string]string{
		"Service":          event.Service,
		"AvailabilityZone": event.AvailabilityZone,
		"RequestId":        event.RequestID,
	}
	for name, value := range optionalFields {
		if value != "" {
			fields[name] = value
		}
	}
	for _, input := range event.Inputs {
		fields[input.Name] = input.Value
	}
	r.logOf(&event).WithFields(fields).Log(logLevel(event.Number), event.Detail)
}

// logOf returns the log that gets the event.
func (r *Recorder) logOf(event *eelgrasspoint.Event) logrus.FieldLogger {
	if event.RequestID != "" || event.Number.PerRequest() {
		return r.requestLog
	}
	return r.log
}

// logLevel returns the log level of an event: warning for the events that it lists, info for all
// others. warningEvents in cmd/eelgrassctl/console.html lists the same events.
func logLevel(number eelgrasspoint.EventNumber) logrus.Level {
	switch number {
	case eelgrasspoint.EventBackendCrashed, eelgrasspoint.EventMemberFailed, eelgrasspoint.EventStoreDown,
		eelgrasspoint.EventChangeUnknown, eelgrasspoint.EventRequestQuarantined, eelgrasspoint.EventIsolationSuspected,
		eelgrasspoint.EventRequestFailed, eelgrasspoint.EventBadInput, eelgrasspoint.EventPeerSilent,
		eelgrasspoint.EventAnswerCutShort, eelgrasspoint.EventHandlerPanicked, eelgrasspoint.EventServerError,
		eelgrasspoint.EventDefinitionUnread, eelgrasspoint.EventBackendHangs, eelgrasspoint.EventDepartureNotReplicated,
		eelgrasspoint.EventStoreRestored, eelgrasspoint.EventEpochUnreadable:
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
