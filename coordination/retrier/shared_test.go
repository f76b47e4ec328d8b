package retrier_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrasspoint/coordination/retrier"
)

// TestSharedLimitsLeaveRedirectsUnbounded guards against redirects that draw on the shared budget, although
// they follow attempts that reached no backend server.
func TestSharedLimitsLeaveRedirectsUnbounded(t *testing.T) {
	r := retrier.New(retrier.SharedBudgetLimits(0.2, 64, func() int { return 15 }))
	for range 100 {
		assert.Assert(t, r.CanWithdraw("s", retrier.Redirect))
		assert.Assert(t, r.TryWithdraw("s", retrier.Redirect))
	}
}

// TestSharedLimits guards against nodes that together exceed the shared budget of a service, the share of
// first attempts plus the slack, when each node withdraws every token as soon as it can.
func TestSharedLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 80).Draw(t, "nodes")
		slack := rapid.IntRange(0, 200).Draw(t, "slack")
		share := rapid.Float64Range(0, 0.5).Draw(t, "share")
		extraAttempts, requests := 0, 0
		for range nodes {
			r := retrier.New(retrier.SharedBudgetLimits(share, slack, func() int { return nodes }))
			for range rapid.IntRange(0, 30).Draw(t, "requests") {
				r.Deposit("s")
				requests++
				for _, purpose := range []retrier.Purpose{retrier.Retry, retrier.Hedge} {
					for r.TryWithdraw("s", purpose) {
						extraAttempts++
					}
				}
			}
		}
		if float64(extraAttempts) > share*float64(requests)+float64(slack) {
			t.Fatalf("%d extra attempts for %d requests by %d nodes", extraAttempts, requests, nodes)
		}
	})
}

// TestSharedLimitsOfManyNodes guards against a budget that can never be spent: with many nodes, each one's
// part of the slack is less than one token, but the tokens of its first attempts must still add up to one.
func TestSharedLimitsOfManyNodes(t *testing.T) {
	r := retrier.New(retrier.SharedBudgetLimits(0.2, 194, func() int { return 77 }))
	retries := 0
	for range 200 {
		r.Deposit("s")
		if r.TryWithdraw("s", retrier.Retry) {
			retries++
		}
	}
	// 200 first attempts add 200 * 0.25 * 0.2 = 10 tokens; one retry fewer or more is allowed.
	assert.Assert(t, retries >= 9 && retries <= 11, "%d retries of 200 requests", retries)
}
