package retrier_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/retrier"
)

func TestAllowed(t *testing.T) {
	now := time.Unix(1000, 0)
	base := retrier.Failure{
		Err: eelgrasspoint.Refuse(eelgrasspoint.Overloaded, ""), Replayable: true, Attempts: 1, Deadline: now.Add(time.Second),
	}
	lost := &eelgrasspoint.OutcomeError{Outcome: eelgrasspoint.MayHaveRun, Reason: eelgrasspoint.ConnectionLost}
	cases := []struct {
		name    string
		change  func(f *retrier.Failure)
		allowed bool
	}{
		{"refused for load", func(*retrier.Failure) {}, true},
		{"may have run", func(f *retrier.Failure) { f.Err = lost }, false},
		{"may have run, idempotent", func(f *retrier.Failure) { f.Err, f.Idempotent = lost, true }, true},
		{"body is gone", func(f *retrier.Failure) { f.Replayable = false }, false},
		{"too many", func(f *retrier.Failure) { f.Attempts = eelgrasspoint.DefaultMaxAttempts }, false},
		{"too late", func(f *retrier.Failure) { f.Deadline = now.Add(time.Millisecond) }, false},
		{"barred", func(f *retrier.Failure) { f.Err = eelgrasspoint.Refuse(eelgrasspoint.Quarantined, "") }, false},
		{"wrong region", func(f *retrier.Failure) { f.Err = eelgrasspoint.Refuse(eelgrasspoint.WrongRegion, "") }, false},
	}
	for _, c := range cases {
		f := base
		c.change(&f)
		assert.Equal(t, retrier.MayRetry(f, now), c.allowed, c.name)
	}
}

func TestBudgetsAreApart(t *testing.T) {
	r := retrier.New(retrier.DefaultLimits())
	for range eelgrasspoint.AttemptBudgetBurst {
		assert.Assert(t, r.TryWithdraw("s", retrier.Hedge))
	}
	assert.Assert(t, !r.TryWithdraw("s", retrier.Hedge))
	assert.Assert(t, r.TryWithdraw("s", retrier.Retry))
	for range 100 {
		r.Deposit("s")
	}
	spent := 0
	for r.TryWithdraw("s", retrier.Hedge) {
		spent++
	}
	assert.Assert(t, spent >= 4 && spent <= 5, "%d hedges after 100 first attempts", spent)
}
