// Package retrier decides whether a request may be sent again.
package retrier

import (
	"sync"
	"time"

	"eelgrasspoint"
)

// Retrier holds the budgets of one node: for each purpose, a share of the first attempts may
// be followed by another. It is safe for concurrent use.
type Retrier struct {
	mu     sync.Mutex
	tokens [purposes]float64
}

// Purpose is what an extra attempt is for.
type Purpose int

// Purposes of extra attempts, each with a budget of its own, so that one can't use up what
// the others need.
const (
	Retry Purpose = iota
	Hedge
	Redirect
	purposes
)

// shares are the extra attempts allowed per first attempt.
var shares = [purposes]float64{
	Retry:    eelgrasspoint.RetryShare,
	Hedge:    eelgrasspoint.HedgeShare,
	Redirect: eelgrasspoint.RedirectShare,
}

// Failure is what is known when an attempt ended without an answer.
type Failure struct {
	Err        *eelgrasspoint.OutcomeError
	Idempotent bool
	Replayable bool
	Attempts   int
	Deadline   time.Time
}

// New returns a retrier with full budgets.
func New() *Retrier {
	r := &Retrier{}
	for purpose := range r.tokens {
		r.tokens[purpose] = eelgrasspoint.RetryBurst
	}
	return r
}

// Earn adds the shares of one first attempt.
func (r *Retrier) Earn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for purpose := range r.tokens {
		r.tokens[purpose] = min(eelgrasspoint.RetryBurst, r.tokens[purpose]+shares[purpose])
	}
}

// Spend takes one extra attempt from the budget and reports whether there was one.
func (r *Retrier) Spend(purpose Purpose) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokens[purpose] < 1 {
		return false
	}
	r.tokens[purpose]--
	return true
}

// Has reports whether a budget has an attempt left.
func (r *Retrier) Has(purpose Purpose) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tokens[purpose] >= 1
}

// PurposeOf returns the budget that an attempt after the failure is taken from.
func PurposeOf(err *eelgrasspoint.OutcomeError) Purpose {
	if err.Outcome == eelgrasspoint.NotRun && err.Reason == eelgrasspoint.SlowServer {
		return Redirect
	}
	return Retry
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
