package retrier_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/retrier"
)

func TestMayRetry(t *testing.T) {
	now := time.Unix(1000, 0)
	base := retrier.Failure{
		Err: eelgrasspoint.Refuse(eelgrasspoint.Overloaded, ""), Replayable: true, Attempts: 1, Deadline: now.Add(time.Second),
	}
	lost := &eelgrasspoint.OutcomeError{Outcome: eelgrasspoint.MayHaveRun, Reason: eelgrasspoint.ConnectionLost}
	cases := []struct {
		name    string
		modify  func(f *retrier.Failure)
		allowed bool
	}{
		{"refused because of overload", func(*retrier.Failure) {}, true},
		{"may have run, not idempotent", func(f *retrier.Failure) { f.Err = lost }, false},
		{"may have run, idempotent", func(f *retrier.Failure) { f.Err, f.Idempotent = lost, true }, true},
		{"body not replayable", func(f *retrier.Failure) { f.Replayable = false }, false},
		{"no attempts left", func(f *retrier.Failure) { f.Attempts = eelgrasspoint.DefaultMaxAttempts }, false},
		{"too little time left", func(f *retrier.Failure) { f.Deadline = now.Add(time.Millisecond) }, false},
		{"quarantined", func(f *retrier.Failure) { f.Err = eelgrasspoint.Refuse(eelgrasspoint.Quarantined, "") }, false},
		{"wrong region", func(f *retrier.Failure) { f.Err = eelgrasspoint.Refuse(eelgrasspoint.WrongRegion, "") }, false},
	}
	for _, c := range cases {
		f := base
		c.modify(&f)
		assert.Equal(t, retrier.MayRetry(f, now), c.allowed, c.name)
	}
}

// TestBudgetsSeparateAndRefilled guards against hedges that use up the budget of retries, and against a
// spent budget that first attempts do not refill.
func TestBudgetsSeparateAndRefilled(t *testing.T) {
	r := retrier.New(retrier.DefaultLimits())
	for range eelgrasspoint.AttemptBudgetBurst {
		assert.Assert(t, r.TryWithdraw("s", retrier.Hedge))
	}
	assert.Assert(t, !r.TryWithdraw("s", retrier.Hedge))
	assert.Assert(t, r.TryWithdraw("s", retrier.Retry))
	for range 100 {
		r.Deposit("s")
	}
	hedges := 0
	for r.TryWithdraw("s", retrier.Hedge) {
		hedges++
	}
	// 100 first attempts add 100 * 0.05 = 5 tokens. If rounding leaves the sum just below 5, there are 4 hedges.
	assert.Assert(t, hedges >= 4 && hedges <= 5, "%d hedges after 100 first attempts", hedges)
}
