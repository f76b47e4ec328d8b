package retrier_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrasspoint/coordination/retrier"
)

// A redirect follows an attempt that reached no backend server, so nothing bounds it.
func TestSharedLimitsLeaveRedirectsFree(t *testing.T) {
	r := retrier.New(retrier.SharedLimits(0.2, 64, func() int { return 15 }))
	for range 100 {
		assert.Assert(t, r.CanWithdraw("s", retrier.Redirect))
		assert.Assert(t, r.TryWithdraw("s", retrier.Redirect))
	}
}

// TestSharedLimits shows that all nodes together stay within the budget: a share of the first
// attempts and the slack, for each service, whatever the order of requests and repeats.
func TestSharedLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 80).Draw(t, "nodes")
		slack := rapid.IntRange(0, 200).Draw(t, "slack")
		share := rapid.Float64Range(0, 0.5).Draw(t, "share")
		repeats, requests := 0, 0
		for range nodes {
			r := retrier.New(retrier.SharedLimits(share, slack, func() int { return nodes }))
			for range rapid.IntRange(0, 30).Draw(t, "requests") {
				r.Deposit("s")
				requests++
				for _, purpose := range []retrier.Purpose{retrier.Retry, retrier.Hedge} {
					for r.TryWithdraw("s", purpose) {
						repeats++
					}
				}
			}
		}
		if float64(repeats) > share*float64(requests)+float64(slack) {
			t.Fatalf("%d repeats of %d requests by %d nodes", repeats, requests, nodes)
		}
	})
}

// With many nodes each one's part of the slack is less than an attempt; what is earned by first
// attempts must be spent all the same.
func TestSharedLimitsOfManyNodes(t *testing.T) {
	r := retrier.New(retrier.SharedLimits(0.2, 194, func() int { return 77 }))
	spent := 0
	for range 200 {
		r.Deposit("s")
		if r.TryWithdraw("s", retrier.Retry) {
			spent++
		}
	}
	assert.Assert(t, spent >= 9 && spent <= 11, "%d retries of 200 requests", spent)
}
