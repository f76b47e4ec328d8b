// Package retrier decides whether a request may be sent again.
package retrier

import (
	"sync"
	"time"

	"eelgrasspoint"
)

// Retrier holds the budgets of one node: for each service and purpose, a share of the first
// attempts may be followed by another. It is safe for concurrent use.
type Retrier struct {
	limits Limits
	mu     sync.Mutex
	tokens map[string]*[purposes]float64
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

// Limits bound the extra attempts of one node for one service.
type Limits struct {
	// Shares are the extra attempts earned by each first attempt, by purpose.
	Shares [purposes]float64
	// Unbounded purposes need no budget.
	Unbounded [purposes]bool
	// Burst returns how many earned attempts are kept, for each purpose.
	Burst func() float64
}

// DefaultLimits are those of the project's own contract.
func DefaultLimits() Limits {
	return Limits{
		Shares: [purposes]float64{
			Retry:    eelgrasspoint.RetryBudgetRatio,
			Hedge:    eelgrasspoint.HedgeBudgetRatio,
			Redirect: eelgrasspoint.RedirectBudgetRatio,
		},
		Burst: func() float64 { return eelgrasspoint.AttemptBudgetBurst },
	}
}

// Parts of a budget of attempts that reach backend servers, by purpose. Together they stay
// below the whole: calls that a repeated run makes count as repeats as well.
const (
	retryPart = 0.25
	hedgePart = 0.25
)

// SharedLimits divide a budget that all nodes share: a share of the first attempts, and slack
// beside it. Redirects are not bounded, since they follow attempts that reached no backend server.
func SharedLimits(share float64, slack int, nodes func() int) Limits {
	return Limits{
		Shares:    [purposes]float64{Retry: retryPart * share, Hedge: hedgePart * share},
		Unbounded: [purposes]bool{Redirect: true},
		Burst:     func() float64 { return retryPart * float64(slack) / float64(max(1, nodes())) },
	}
}

// Failure is what is known when an attempt ended without an answer.
type Failure struct {
	Err        *eelgrasspoint.OutcomeError
	Idempotent bool
	Replayable bool
	Attempts   int
	// MaxAttempts is the route's bound, or zero.
	MaxAttempts int
	Deadline    time.Time
}

// New returns a retrier with full budgets.
func New(limits Limits) *Retrier {
	return &Retrier{limits: limits, tokens: make(map[string]*[purposes]float64)}
}

// SetLimits replaces the limits; what was earned stays, within the new ones.
func (r *Retrier) SetLimits(limits Limits) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits = limits
}

// Deposit adds the shares of one first attempt to the budgets.
func (r *Retrier) Deposit(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Where all nodes share little slack, one attempt must still fit what is earned.
	burst := max(1, r.limits.Burst())
	tokens := r.of(service)
	for purpose := range tokens {
		tokens[purpose] = min(burst, tokens[purpose]+r.limits.Shares[purpose])
	}
}

// TryWithdraw withdraws one extra attempt from the budget and reports whether there was one.
func (r *Retrier) TryWithdraw(service string, purpose Purpose) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	tokens := r.of(service)
	if r.limits.Unbounded[purpose] {
		return true
	}
	if tokens[purpose] < 1 {
		return false
	}
	tokens[purpose]--
	return true
}

// CanWithdraw reports whether a budget has an attempt left, without withdrawing it.
func (r *Retrier) CanWithdraw(service string, purpose Purpose) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limits.Unbounded[purpose] || r.of(service)[purpose] >= 1
}

// of returns the tokens of a service, full when first asked for.
func (r *Retrier) of(service string) *[purposes]float64 {
	tokens := r.tokens[service]
	if tokens == nil {
		tokens = &[purposes]float64{}
		for purpose := range tokens {
			tokens[purpose] = r.limits.Burst()
		}
		r.tokens[service] = tokens
	}
	return tokens
}

func (f *Failure) maxAttempts() int {
	if f.MaxAttempts == 0 {
		return eelgrasspoint.DefaultMaxAttempts
	}
	return f.MaxAttempts
}

// PurposeOf returns the budget that an attempt after the failure is taken from.
func PurposeOf(err *eelgrasspoint.OutcomeError) Purpose {
	if err.Outcome == eelgrasspoint.NotRun && err.Reason.ServerNotReached() {
		return Redirect
	}
	return Retry
}

// MayRetry reports whether the rules permit another attempt, budget aside. A request that may
// have run is sent again only if it is idempotent.
func MayRetry(f Failure, now time.Time) bool {
	if f.Err.Reason.Permanent() || f.Attempts >= f.maxAttempts() || !f.Replayable {
		return false
	}
	if f.Err.Outcome != eelgrasspoint.NotRun && !f.Idempotent {
		return false
	}
	return eelgrasspoint.Remaining(f.Deadline, now) > eelgrasspoint.MinAttemptTime
}
