package forwarder_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

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

// TestFetchLeavesTimeForAnotherAttempt guards against a fetch of the configuration that gets no response and
// takes all the time that the request has left.
func TestFetchLeavesTimeForAnotherAttempt(t *testing.T) {
	cases := []struct {
		name   string
		nodes  map[string]attemptFunc
		status int
	}{
		{"another node answers", map[string]attemptFunc{"b": refuse(eelgrasspoint.StaleRoute), "c": answer(http.StatusOK)}, http.StatusOK},
		{"no other node", map[string]attemptFunc{"b": refuse(eelgrasspoint.StaleRoute)}, http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const limit = 400 * time.Millisecond
				e := newEntry(&eelgrasspoint.Route{TimeLimit: limit}, c.nodes)
				e.fetch = func(ctx context.Context, _ *eelgrasspoint.Candidate, _ uint64) { <-ctx.Done() }
				began := time.Now()
				got := e.send()
				assert.Equal(t, got.status, c.status)
				assert.Assert(t, time.Since(began) <= limit/2, "answered after %v", time.Since(began))
			})
		})
	}
}
