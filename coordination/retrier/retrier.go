// Package retrier decides whether a request may be sent again.
package retrier

import (
	"sync"
	"time"

	"eelgrasspoint"
)

// Retrier holds the budget of one node: a share of the first attempts may be sent again.
// It is safe for concurrent use.
type Retrier struct {
	mu     sync.Mutex
	tokens float64
}

// Failure is what is known when an attempt ended without an answer.
type Failure struct {
	Err        *eelgrasspoint.OutcomeError
	Idempotent bool
	Replayable bool
	Attempts   int
	Deadline   time.Time
}

// New returns a retrier with a full budget.
func New() *Retrier { return &Retrier{tokens: eelgrasspoint.RetryBurst} }

// Earn adds the share of one first attempt.
func (r *Retrier) Earn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = min(eelgrasspoint.RetryBurst, r.tokens+eelgrasspoint.RetryShare)
}

// Spend takes one retry from the budget and reports whether there was one.
func (r *Retrier) Spend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// Allowed reports whether the rules permit another attempt, budget aside. A request that may
// have run is sent again only if it is idempotent.
func Allowed(f Failure, now time.Time) bool {
	if f.Err.Reason.Final() || f.Attempts >= eelgrasspoint.MaxAttempts || !f.Replayable {
		return false
	}
	if f.Err.Outcome != eelgrasspoint.NotRun && !f.Idempotent {
		return false
	}
	return eelgrasspoint.Remaining(f.Deadline, now) > eelgrasspoint.MinAttemptTime
}
