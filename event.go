package eelgrasspoint

import "time"

//go:generate stringer -type=EventNumber -trimprefix=Event -output=event_string.go

// EventNumber identifies a kind of event in logs and in the timeline.
type EventNumber int

// Kinds of events, documented in docs/EVENTS.md by number.
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
	EventAnswerCutShort
	EventHandlerPanicked
	EventServerError
	EventConfigurationNotFetched
	EventBackendLimited
	EventBackendUnlimited
	EventBackendLeaving
	EventDefinitionUnread
	EventBackendHangs
	EventBackendAnswersAgain
	EventDepartureReplicated
	EventDepartureNotReplicated
	EventDeparturesRestored
	EventAnnouncementHeld
	EventStoreRestored
	EventEpochUnreadable
	EventQuarantinesRestored
	EventConfigurationNotInForce
)

// PerRequest reports whether the event can occur for each request or each connection of a caller. Others tell of changes of
// the node's state and of what it knows.
func (n EventNumber) PerRequest() bool {
	switch n {
	case EventRequestRefused, EventRequestFailed, EventRequestRetried, EventRequestHedged, EventRequestAnswered,
		EventAttemptRefused, EventAttemptFailed, EventAnswerCutShort, EventHandlerPanicked, EventServerError:
		return true
	default:
		return false
	}
}

// Event is recorded on a node. Wall and Logical form a hybrid logical clock timestamp.
type Event struct {
	Wall             time.Time
	Logical          uint32
	Node             string
	Number           EventNumber
	Service          string
	AvailabilityZone string
	RequestID        string
	Detail           string
	// Inputs are the values that the recorded decision, if any, was based on, with their ages or
	// versions.
	Inputs []Input
	// Permitted are the regions that the event may be stored in and sent to; empty means all.
	Permitted []string
}

// Input is a value that a decision was based on.
type Input struct {
	Name  string
	Value any
}

// Recorder keeps events for the timeline and writes them to the log.
type Recorder interface {
	Record(event Event)
}

// Clock returns the current time.
type Clock func() time.Time
