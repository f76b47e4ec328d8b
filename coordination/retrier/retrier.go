// Package retrier decides whether a request may get another attempt.
package retrier

import (
	"sync"
	"time"

	"eelgrasspoint"
)

// Retrier holds the budgets of extra attempts of one node, one for each service and purpose. Each first
// attempt adds a fraction of a token, and each extra attempt takes a whole one. It is safe for concurrent
// use.
type Retrier struct {
	limits Limits
	mu     sync.Mutex
	tokens map[string]*[purposeCount]float64
}

// Purpose is the reason for an extra attempt.
type Purpose int

// Purposes of extra attempts. Each has a budget of its own, so that none can use up the budget of another.
const (
	// Retry follows a failed attempt that may have reached a backend server.
	Retry Purpose = iota
	Hedge
	// Redirect follows an attempt that reached no backend server.
	Redirect
	purposeCount
)

// Limits bound the extra attempts of one node for one service.
type Limits struct {
	// Shares are the tokens that each first attempt adds, by purpose.
	Shares [purposeCount]float64
	// Unbounded is set for the purposes that need no tokens.
	Unbounded [purposeCount]bool
	// Burst returns the most tokens that are kept for each purpose. It is a function, since the number of
	// nodes that share a budget changes.
	Burst func() float64
}

// DefaultLimits returns the limits of a node whose settings have no shared budget.
func DefaultLimits() Limits {
	return Limits{
		Shares: [purposeCount]float64{
			Retry:    eelgrasspoint.RetryBudgetRatio,
			Hedge:    eelgrasspoint.HedgeBudgetRatio,
			Redirect: eelgrasspoint.RedirectBudgetRatio,
		},
		Burst: func() float64 { return eelgrasspoint.AttemptBudgetBurst },
	}
}

// Fractions of a shared budget, by purpose. They add up to only half of it: a backend server may make calls
// while it runs an extra attempt, and these count as extra attempts, too.
const (
	// retryFraction also sets the burst, the same one for retries and hedges.
	retryFraction = 0.25
	hedgeFraction = 0.25
)

// SharedBudgetLimits returns the limits of one node for a budget that all nodes share. The shared budget is
// ratio extra attempts for each first attempt, plus slack extra attempts for all nodes together. It counts
// only attempts that reach backend servers; redirects are unbounded, since they follow attempts that
// reached none.
func SharedBudgetLimits(ratio float64, slack int, nodes func() int) Limits {
	return Limits{
		Shares:    [purposeCount]float64{Retry: retryFraction * ratio, Hedge: hedgeFraction * ratio},
		Unbounded: [purposeCount]bool{Redirect: true},
		Burst:     func() float64 { return retryFraction * float64(slack) / float64(max(1, nodes())) },
	}
}

// Failure describes a request after an attempt that ended without an answer.
type Failure struct {
	Err        *eelgrasspoint.OutcomeError
	Idempotent bool
	Replayable bool
	// Attempts counts the attempts that may have reached a backend server.
	Attempts int
	// MaxAttempts is the route's bound, or zero for DefaultMaxAttempts.
	MaxAttempts int
	Deadline    time.Time
}

// New returns a retrier whose budgets start at the burst of the limits.
func New(limits Limits) *Retrier {
	return &Retrier{limits: limits, tokens: make(map[string]*[purposeCount]float64)}
}

// SetLimits replaces the limits. Tokens are kept; the next Deposit cuts them to the new burst.
func (r *Retrier) SetLimits(limits Limits) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits = limits
}

// Deposit adds the tokens of one first attempt to the budgets of its service.
func (r *Retrier) Deposit(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The burst is below one token if many nodes share the slack. Without the lower bound of one, the
	// tokens could never add up to one.
	burst := max(1, r.limits.Burst())
	tokens := r.serviceTokens(service)
	for purpose := range tokens {
		tokens[purpose] = min(burst, tokens[purpose]+r.limits.Shares[purpose])
	}
}

// TryWithdraw withdraws one token and reports whether there was one. It always succeeds for unbounded
// purposes.
func (r *Retrier) TryWithdraw(service string, purpose Purpose) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	tokens := r.serviceTokens(service)
	if r.limits.Unbounded[purpose] {
		return true
	}
	if tokens[purpose] < 1 {
		return false
	}
	tokens[purpose]--
	return true
}

// CanWithdraw reports whether TryWithdraw would succeed, without withdrawing a token.
func (r *Retrier) CanWithdraw(service string, purpose Purpose) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limits.Unbounded[purpose] || r.serviceTokens(service)[purpose] >= 1
}

// serviceTokens returns the tokens of a service. New budgets start at the burst, which may be less than one
// token. The caller holds the lock.
func (r *Retrier) serviceTokens(service string) *[purposeCount]float64 {
	tokens := r.tokens[service]
	if tokens == nil {
		tokens = &[purposeCount]float64{}
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

// PurposeOf returns the purpose of an attempt after the failure, and so the budget that it draws on.
func PurposeOf(err *eelgrasspoint.OutcomeError) Purpose {
	if err.Outcome == eelgrasspoint.NotRun && err.Reason.ServerNotReached() {
		return Redirect
	}
	return Retry
}

// MayRetry reports whether another attempt is permitted, regardless of the budgets. A request that may
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
