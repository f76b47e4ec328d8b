package soak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAllowedServices guards against a run of the soak that counts a request as misrouted, or misses one, since two changes of a
// route overlap.
func TestAllowedServices(t *testing.T) {
	at := func(seconds float64) time.Time {
		return time.Unix(0, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	change := func(service string, sent, ended float64, revision uint64) routeChange {
		return routeChange{service: service, sentAt: at(sent), endedAt: at(ended), revision: revision}
	}
	initial := change("vitrine", 0, 0.1, 1)
	cases := []struct {
		name    string
		changes []routeChange
		at      float64
		allowed []string
	}{
		{"one after the other", []routeChange{initial, change("bench", 1, 1.1, 2), change("ledger", 10, 10.1, 3)}, 20, []string{"ledger"}},
		{"not in force everywhere yet", []routeChange{initial, change("bench", 1, 1.1, 2)}, 4, []string{"vitrine", "bench"}},
		{"sent first, accepted last", []routeChange{initial, change("bench", 14, 16, 3), change("ledger", 14.5, 14.6, 2)}, 20, []string{"bench"}},
		{"sent first, its result unknown", []routeChange{initial, change("bench", 14, 16, 0), change("ledger", 14.5, 14.6, 2)}, 20, []string{"bench", "ledger"}},
		{"its result unknown, then another", []routeChange{initial, change("bench", 1, 1.1, 0), change("ledger", 2, 2.1, 2)}, 20, []string{"ledger"}},
		{"the call has not ended", []routeChange{initial, {service: "bench", sentAt: at(1)}, change("ledger", 2, 2.1, 2)}, 20, []string{"bench", "ledger"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := operator{routeChanges: c.changes}
			var allowed []string
			for _, service := range []string{"vitrine", "bench", "ledger"} {
				if o.allowedAt(service, at(c.at)) {
					allowed = append(allowed, service)
				}
			}
			assert.DeepEqual(t, allowed, c.allowed)
		})
	}
}

// TestHeldBackRequests guards against a run of the soak that counts a request as too late at a server that left, though a stalled
// link held it back, and against one that excuses others.
func TestHeldBackRequests(t *testing.T) {
	at := func(seconds float64) time.Time {
		return time.Unix(0, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	const left = 8.0
	v := &vm{requestStalls: []interval{{from: at(3.6), to: at(9.1)}}}
	cases := []struct {
		name      string
		sent, ran float64
		held      bool
	}{
		{"sent before the leave, released at the end of the stall", 7, 9.105, true},
		{"sent after the leave", 8.1, 9.105, false},
		{"ran before the end of the stall", 7, 8.7, false},
		{"ran long after the end of the stall", 7, 9.5, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, v.heldBack(at(c.sent), at(left), at(c.ran)), c.held) })
	}
	lasting := &vm{requestStalls: []interval{{from: at(3.6)}}}
	assert.Assert(t, !lasting.heldBack(at(7), at(left), at(9.1)), "the stall has not ended")
	assert.Assert(t, !(&vm{}).heldBack(at(7), at(left), at(9.1)), "nothing was stalled")
}
