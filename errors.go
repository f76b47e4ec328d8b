package eelgrasspoint

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"
)

// OutcomeError is returned for an attempt or a request that got no answer from a backend server.
type OutcomeError struct {
	Outcome Outcome
	Reason  Reason
	Detail  string
	// RetryAfter is the Retry-After value of a refusal; zero means the default of the reason.
	RetryAfter time.Duration
}

// Error implements error.
func (e *OutcomeError) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%v: %v", e.Outcome, e.Reason)
	}
	return fmt.Sprintf("%v: %v: %s", e.Outcome, e.Reason, e.Detail)
}

// Refuse returns an OutcomeError for a request that was not executed.
func Refuse(reason Reason, detail string) *OutcomeError {
	return &OutcomeError{Outcome: NotRun, Reason: reason, Detail: detail}
}

// AsOutcome returns the OutcomeError in the chain of err. If there is none, it returns one with outcome
// MayHaveRun and reason ConnectionLost.
func AsOutcome(err error) *OutcomeError {
	var outcome *OutcomeError
	if errors.As(err, &outcome) {
		return outcome
	}
	return &OutcomeError{Outcome: MayHaveRun, Reason: ConnectionLost, Detail: err.Error()}
}

// NotSentReason returns why an attempt was not sent: its context ended, or the server was not reached.
func NotSentReason(ctx context.Context) Reason {
	return endReason(ctx, DeadlinePassed, ServerUnreachable)
}

// LostReason returns why an attempt that was sent got no answer: its context ended, or the connection
// was lost.
func LostReason(ctx context.Context) Reason {
	return endReason(ctx, TimedOut, ConnectionLost)
}

// endReason returns deadlineExceeded if the deadline of ctx passed, Canceled if ctx was canceled, and
// notEnded otherwise.
func endReason(ctx context.Context, deadlineExceeded, notEnded Reason) Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return deadlineExceeded
	case ctx.Err() != nil:
		return Canceled
	default:
		return notEnded
	}
}

// AnswerSide is the connection that failed while an answer was relayed.
type AnswerSide int

// Connections of an answer.
const (
	// ServerSide is the connection that the answer is read from: to the backend server, or to its exit node.
	ServerSide AnswerSide = iota
	// CallerSide is the connection that the answer is written to: to the caller, or to the entry node.
	CallerSide
)

// AnswerCutShortError is returned for an answer of which only a part was relayed.
type AnswerCutShortError struct {
	Side AnswerSide
	// Begun is set if the head of the answer was relayed.
	Begun bool
	// Bytes is the length of the part of the body that was relayed.
	Bytes int64
	Cause error
}

// Error implements error.
func (e *AnswerCutShortError) Error() string {
	return fmt.Sprintf("answer cut short after %d bytes of its body: %v: %v", e.Bytes, e.Side, e.Cause)
}

// Unwrap returns the cause.
func (e *AnswerCutShortError) Unwrap() error { return e.Cause }

// ConflictError is returned for a conditional write that was rejected because a row has another
// version.
type ConflictError struct {
	// Key is the key of the row, empty if it is unknown.
	Key string
	// Version is the current version of the row, zero if it does not exist or is unknown.
	Version uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("write rejected: a row is not at the expected version (row %q, current version %d)", e.Key, e.Version)
}

// NotReplicatedError is returned for a departure that is not kept outside the node's process, so that it must not be
// acknowledged.
type NotReplicatedError struct {
	// Nodes is the number of other nodes that have it.
	Nodes int
	// Cause is the error of the table service.
	Cause error
}

// Error implements error.
func (e *NotReplicatedError) Error() string {
	return fmt.Sprintf("the departure is known to %d other nodes only: %v", e.Nodes, e.Cause)
}

// Unwrap returns the error of the table service.
func (e *NotReplicatedError) Unwrap() error { return e.Cause }

// RevisionConflictError is returned for a change if the revision in force is not the expected one.
type RevisionConflictError struct {
	Expected uint64
	// Winner is the revision in force, or the one after Expected if the revision in force could not be
	// read.
	Winner uint64
}

// Error implements error.
func (e *RevisionConflictError) Error() string {
	return fmt.Sprintf("expected revision %d, but revision %d is in force", e.Expected, e.Winner)
}

// UnknownOutcomeError is returned for a write that may or may not have taken effect, since its response was
// lost or leaves the result open.
type UnknownOutcomeError struct {
	// ChangeID identifies the change of the configuration. It is empty in errors of Table.Commit.
	ChangeID string
	Cause    error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("a write may or may not have taken effect (change %q): %v", e.ChangeID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// UnavailableError is returned for a failed read of the table service, also if the result can't be parsed,
// and for a failed write that certainly had no effect.
type UnavailableError struct {
	Call  string
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s: the platform is unavailable: %v", e.Call, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// NotFoundError is returned for a row that does not exist.
type NotFoundError struct{ Key string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("%q does not exist", e.Key) }

// Mistake is a validation error of one field.
type Mistake struct {
	Path    string
	Message string
}

// InvalidError holds all validation errors of an input.
type InvalidError struct{ Mistakes []Mistake }

// Error implements error.
func (e *InvalidError) Error() string { return joinMistakes(e.Mistakes) }

// UnreadError holds the definitions of a configuration that this version can't read, or reads only in part. The
// configuration is in force without them.
type UnreadError struct{ Mistakes []Mistake }

// Error implements error.
func (e *UnreadError) Error() string { return joinMistakes(e.Mistakes) }

// StaleEpochError is returned for an answer of the table service of an epoch before the latest one, such as one that an old
// connection delivers late.
type StaleEpochError struct{ Epoch, Latest uint64 }

// Error implements error.
func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("the answer is of epoch %d, before epoch %d, and is ignored", e.Epoch, e.Latest)
}

// EpochUnreadableError is returned beside a configuration if the epoch of the table service was missing or can't be read. The
// configuration counts as one of the latest epoch.
type EpochUnreadableError struct{ Reason string }

// Error implements error.
func (e *EpochUnreadableError) Error() string { return e.Reason }

// joinMistakes returns the mistakes as text, one a line.
func joinMistakes(mistakes []Mistake) string {
	lines := make([]string, len(mistakes))
	for i, m := range mistakes {
		lines[i] = m.Path + ": " + m.Message
	}
	return strings.Join(lines, "\n")
}

// Mistakes returns the mistakes of an InvalidError in the chain of err, or err itself as one mistake.
func Mistakes(err error) []Mistake {
	var invalid *InvalidError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &invalid):
		return invalid.Mistakes
	default:
		return []Mistake{{Message: err.Error()}}
	}
}
