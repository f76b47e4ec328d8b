package eelgrasspoint

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"
)

// OutcomeError ends an attempt or a request without an answer of a backend server.
type OutcomeError struct {
	Outcome Outcome
	Reason  Reason
	Detail  string
	// RetryAfter is when the caller may come back after a refusal, or zero.
	RetryAfter time.Duration
}

// Error implements error.
func (e *OutcomeError) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%v: %v", e.Outcome, e.Reason)
	}
	return fmt.Sprintf("%v: %v: %s", e.Outcome, e.Reason, e.Detail)
}

// Refuse returns the error of a request that did not run.
func Refuse(reason Reason, detail string) *OutcomeError {
	return &OutcomeError{Outcome: NotRun, Reason: reason, Detail: detail}
}

// AsOutcome returns the outcome that an error carries; one without may have run.
func AsOutcome(err error) *OutcomeError {
	var outcome *OutcomeError
	if errors.As(err, &outcome) {
		return outcome
	}
	return &OutcomeError{Outcome: MayHaveRun, Reason: ConnectionLost, Detail: err.Error()}
}

// NotSentReason says why nothing was sent: the context ended, or nobody was reached.
func NotSentReason(ctx context.Context) Reason {
	return endReason(ctx, DeadlinePassed, ServerUnreachable)
}

// LostReason says why an attempt that was sent has no answer.
func LostReason(ctx context.Context) Reason {
	return endReason(ctx, TimedOut, ConnectionLost)
}

func endReason(ctx context.Context, late, otherwise Reason) Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return late
	case ctx.Err() != nil:
		return Canceled
	default:
		return otherwise
	}
}

// ConflictError is a conditional write that lost to another.
type ConflictError struct {
	Key     string
	Version uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q is at version %d", e.Key, e.Version)
}

// RevisionConflictError is a change that lost to another change.
type RevisionConflictError struct {
	Expected uint64
	Winner   uint64
}

// Error implements error.
func (e *RevisionConflictError) Error() string {
	return fmt.Sprintf("expected revision %d, but revision %d is in force", e.Expected, e.Winner)
}

// UnknownOutcomeError is a write whose answer was lost: it may have taken effect.
type UnknownOutcomeError struct {
	ChangeID string
	Cause    error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of %q is unknown: %v", e.ChangeID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// UnavailableError is a call of the platform that certainly had no effect.
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

// NotFoundError is a row or object that does not exist.
type NotFoundError struct{ Key string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("%q does not exist", e.Key) }

// Mistake is one wrong field of an input.
type Mistake struct {
	Path    string
	Message string
}

// InvalidError lists every mistake of an input.
type InvalidError struct{ Mistakes []Mistake }

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Mistakes))
	for i, m := range e.Mistakes {
		lines[i] = m.Path + ": " + m.Message
	}
	return strings.Join(lines, "\n")
}

// Mistakes returns the mistakes that an error lists, or the error itself as one.
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
