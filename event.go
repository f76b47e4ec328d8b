package eelgrasspoint

import "time"

//go:generate stringer -type=EventNumber -trimprefix=Event -output=event_string.go

// EventNumber identifies a kind of event in logs and in the time line.
type EventNumber int

// Numbered events; docs/EVENTS.md is their catalogue.
const (
	EventNone EventNumber = iota
	EventNodeStarted
	EventNodeStopping
	EventNodeStopped
	EventBackendAnnounced
	EventBackendLeft
	EventBackendLapsed
	EventBackendCold
	EventBackendCrashed
	EventMemberJoined
	EventMemberLeft
	EventMemberFailed
	EventMemberReturned
	EventRevisionInForce
	EventChangeAccepted
	EventChangeRejected
	EventChangeUnknown
	EventZoneOut
	EventZoneIn
	EventStoreDown
	EventStoreBack
	EventRequestRefused
	EventRequestFailed
	EventRequestRetried
	EventRequestHedged
	EventRequestQuarantined
	EventPeerSilent
	EventBadInput
	EventDrainRequested
	EventIsolationSuspected
	EventAnnouncementStale
	EventRequestAnswered
	EventSettingsReloaded
	EventReadinessChanged
	EventAttemptRefused
	EventAttemptFailed
	EventRowKept
	EventLastSlotsGivenUp
)

// Event is one thing that happened on a node. The pair (Wall, Logical) is a hybrid logical clock.
type Event struct {
	Wall             time.Time
	Logical          uint32
	Node             string
	Number           EventNumber
	Service          string
	AvailabilityZone string
	RequestID        string
	Detail           string
	// Inputs are what decided, with their age or version.
	Inputs []Input
	// Permitted are the regions that the event may be stored in and sent to; none means all.
	Permitted []string
}

// Input is one thing that a decision was made on.
type Input struct {
	Name  string
	Value any
}

// Recorder keeps events for the time line and writes them to the log.
type Recorder interface {
	Record(event Event)
}

// Clock returns the present time.
type Clock func() time.Time
