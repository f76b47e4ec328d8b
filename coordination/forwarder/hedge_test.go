package forwarder_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
)

// TestFailedCandidateAfterHedge guards against taking the candidate that was tried last, the one of the hedge,
// for the one whose attempt ended last.
func TestFailedCandidateAfterHedge(t *testing.T) {
	const hedged, last = 5 * time.Millisecond, 30 * time.Millisecond
	lost := fail(eelgrasspoint.MayHaveRun, eelgrasspoint.ConnectionLost)
	cases := []struct {
		name  string
		nodes map[string]attemptFunc
		// attempts, fetchedFrom, retried and answeredBy are nodes.
		attempts, fetchedFrom, retried, answeredBy []string
	}{
		{
			"stale route",
			map[string]attemptFunc{
				"b": after(last, refuse(eelgrasspoint.StaleRoute)), "c": after(hedged, lost), "d": answer(http.StatusOK),
			},
			[]string{"b", "c", "d"},
			[]string{"b"},
			[]string{"b"},
			[]string{"d"},
		},
		{
			"overloaded",
			map[string]attemptFunc{
				"b": inTurn(after(last, refuse(eelgrasspoint.Overloaded)), answer(http.StatusOK)), "c": after(hedged, lost),
			},
			[]string{"b", "c", "b"},
			nil,
			[]string{"b"},
			[]string{"b"},
		},
		{
			"both overloaded",
			map[string]attemptFunc{
				"b": inTurn(after(last, refuse(eelgrasspoint.Overloaded)), answer(http.StatusOK)),
				"c": after(hedged, refuse(eelgrasspoint.Overloaded)),
			},
			[]string{"b", "c", "b"},
			nil,
			[]string{"b"},
			[]string{"b"},
		},
		{
			"server error",
			map[string]attemptFunc{
				"b": after(last, answer(http.StatusInternalServerError)),
				"c": after(hedged, refuse(eelgrasspoint.Overloaded)), "d": answer(http.StatusOK),
			},
			[]string{"b", "c", "d"},
			nil,
			[]string{"b"},
			[]string{"d"},
		},
		{
			"answered while the hedge runs",
			map[string]attemptFunc{
				"b": after(last, answer(http.StatusOK)), "c": after(time.Second, lost),
			},
			[]string{"b", "c"},
			nil, nil,
			[]string{"b"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newEntry(&eelgrasspoint.Route{Idempotent: true, Hedge: true}, c.nodes)
				e.fetch = fetchNothing
				assert.Equal(t, e.send().status, http.StatusOK)
				assert.DeepEqual(t, e.attemptedNodes(), c.attempts)
				assert.DeepEqual(t, e.fetchedFrom, c.fetchedFrom)
				assert.DeepEqual(t, e.exitNodes(eelgrasspoint.EventRequestRetried), c.retried)
				assert.DeepEqual(t, e.exitNodes(eelgrasspoint.EventRequestAnswered), c.answeredBy)
			})
		})
	}
}
