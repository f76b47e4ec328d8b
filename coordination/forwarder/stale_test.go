package forwarder_test

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
)

// fetchNothing is a fetch that brings no configuration.
func fetchNothing(context.Context, *eelgrasspoint.Candidate, uint64) {}

// TestStaleRouteWithoutNewerConfiguration guards against a request that ends without an answer because its
// attempt was refused as StaleRoute and the fetch brought no newer configuration.
func TestStaleRouteWithoutNewerConfiguration(t *testing.T) {
	cases := []struct {
		name     string
		nodes    map[string]attemptFunc
		status   int
		reason   string
		attempts []string
	}{
		{"another node answers", map[string]attemptFunc{"b": refuse(eelgrasspoint.StaleRoute), "c": answer(http.StatusOK)}, http.StatusOK, "", []string{"b", "c"}},
		{"no other node", map[string]attemptFunc{"b": refuse(eelgrasspoint.StaleRoute)}, http.StatusServiceUnavailable, "StaleRoute", []string{"b"}},
		{"own node", map[string]attemptFunc{entryNode: refuse(eelgrasspoint.StaleRoute)}, http.StatusServiceUnavailable, "StaleRoute", []string{entryNode}},
		{"every node refuses", map[string]attemptFunc{"b": refuse(eelgrasspoint.StaleRoute), "c": refuse(eelgrasspoint.StaleRoute)}, http.StatusServiceUnavailable, "StaleRoute", []string{"b", "c"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEntry(&eelgrasspoint.Route{}, c.nodes)
			e.fetch = fetchNothing
			got := e.send()
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, got.reason, c.reason)
			assert.DeepEqual(t, e.attemptedNodes(), c.attempts)
			assert.DeepEqual(t, e.fetchedFrom, c.attempts[:1])
		})
	}
}
