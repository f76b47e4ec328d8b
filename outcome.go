package eelgrasspoint

import (
	"net/http"
	"time"
)

//go:generate stringer -type=Outcome,Reason,AttemptState,AnswerSide -output=outcome_string.go

// Outcome is whether a request was executed.
type Outcome int

// Outcomes of a request.
const (
	Answered Outcome = iota
	NotRun
	MayHaveRun
)

// Reason is why the load balancer refused or failed a request.
type Reason int

// Reasons of refusals and failures.
const (
	NoReason Reason = iota
	NoRoute
	WrongRegion
	NoServer
	Overloaded
	DeadlinePassed
	Draining
	ZoneOutOfService
	Quarantined
	ServerUnreachable
	BadHeader
	HeaderTooLarge
	BodyTooLarge
	BodyCutShort
	TooDeep
	ConnectionLost
	TimedOut
	Canceled
	// LinkBudget is not used.
	LinkBudget
	// StaleRoute means that the configuration of the exit node, which is at least as recent as that of
	// the entry node, does not send the route to the service.
	StaleRoute
	// StaleNode means that the snapshot of the exit node was last refreshed more than MaxSnapshotAge
	// ago.
	StaleNode
	SlowServer
	// OtherServer means that the backend server answered that the request is meant for another one.
	OtherServer
	// BadAnswer means that the backend server's answer violates the contract; the request may have run.
	BadAnswer
	// ColdServer means that a backend server in slow start gets no more requests for the moment.
	ColdServer
	// NotReady means that the entry node or the exit node has no configuration yet.
	NotReady
	// RejectedByServer means that the backend server answered that it did not execute the request.
	RejectedByServer
	// MalformedAnswer means that the backend server sent bytes that are no HTTP answer, or a head longer
	// than MaxAnswerHeaderBytes; the request may have run.
	MalformedAnswer
	// InternalError means that a handler of the node panicked; the request may have run.
	InternalError
	// RateLimited means that the backend server has got as many requests as it says that it takes.
	RateLimited
	// RouteUnreadable means that the node can't read the definition of the request's route.
	RouteUnreadable
	// HangingServer means that the backend server lately gave no answer to too many requests.
	HangingServer
	// Withdrawn means that the entry node withdrew the attempt before it arrived at the exit node.
	Withdrawn
	// reasonCount is the number of reasons.
	reasonCount
)

// AttemptState is the progress of an attempt.
type AttemptState int

// States of an attempt, in order.
const (
	AttemptNotSent AttemptState = iota
	AttemptSent
	AttemptAdmitted
	AttemptAnswering
	AttemptDone
)

// Status returns the HTTP status of an outcome and its reason.
func Status(outcome Outcome, reason Reason) int {
	if outcome == MayHaveRun {
		if reason == TimedOut {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch reason {
	case NoRoute:
		return http.StatusNotFound
	case WrongRegion:
		return http.StatusMisdirectedRequest
	case BadHeader, HeaderTooLarge, BodyCutShort:
		return http.StatusBadRequest
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case TooDeep:
		return http.StatusLoopDetected
	default:
		return http.StatusServiceUnavailable
	}
}

// Permanent reports whether every other backend server would refuse the request for the same reason.
func (r Reason) Permanent() bool {
	switch r {
	case NoRoute, WrongRegion, BadHeader, HeaderTooLarge, BodyTooLarge, BodyCutShort,
		TooDeep, Quarantined, DeadlinePassed, Canceled, RouteUnreadable:
		return true
	default:
		return false
	}
}

// ByConfiguration reports whether a refusal for the reason is decided by the configuration alone.
func (r Reason) ByConfiguration() bool {
	switch r {
	case NoRoute, RouteUnreadable, WrongRegion, StaleRoute, NotReady:
		return true
	default:
		return false
	}
}

// ServerNotReached reports whether a refusal for the reason means that nothing reached the backend
// server.
func (r Reason) ServerNotReached() bool {
	switch r {
	case SlowServer, Overloaded, ColdServer, RateLimited, HangingServer, Withdrawn, Draining, ZoneOutOfService, NoServer, StaleNode, StaleRoute, NotReady, ServerUnreachable:
		return true
	default:
		return false
	}
}

// ParseReason returns the reason with the name, or NoReason.
func ParseReason(name string) Reason {
	for r := NoReason; r < reasonCount; r++ {
		if r.String() == name {
			return r
		}
	}
	return NoReason
}

// ParseOutcome returns the outcome with the name and whether it exists.
func ParseOutcome(name string) (Outcome, bool) {
	for o := Answered; o <= MayHaveRun; o++ {
		if o.String() == name {
			return o, true
		}
	}
	return NotRun, false
}

// Remaining returns the time left until the deadline, at least zero.
func Remaining(deadline, now time.Time) time.Duration {
	return max(0, deadline.Sub(now))
}
