package forwarder_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
)

// fetchNothing is a fetch that brings no configuration.
func fetchNothing(context.Context, *eelgrasspoint.Candidate, eelgrasspoint.Revision) {}

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
				e.fetch = func(ctx context.Context, _ *eelgrasspoint.Candidate, _ eelgrasspoint.Revision) { <-ctx.Done() }
				began := time.Now()
				got := e.send()
				assert.Equal(t, got.status, c.status)
				assert.Assert(t, time.Since(began) <= limit/2, "answered after %v", time.Since(began))
			})
		})
	}
}

// TestNewerRouteIsApplied guards against an attempt that follows the limits of the route of an earlier revision
// after the entry node has fetched a newer one.
func TestNewerRouteIsApplied(t *testing.T) {
	stale, lost := refuse(eelgrasspoint.StaleRoute), fail(eelgrasspoint.MayHaveRun, eelgrasspoint.ConnectionLost)
	ok := answer(http.StatusOK)
	notReady := refuse(eelgrasspoint.NotReady)
	cases := []struct {
		name          string
		before, after eelgrasspoint.Route
		nodes         map[string]attemptFunc
		body          io.Reader
		status        int
		attempts      []string
		// timeout is the caller's, timeLimit that of the last attempt.
		timeout   string
		timeLimit time.Duration
	}{
		{
			name: "shorter time limit", before: eelgrasspoint.Route{TimeLimit: 5 * time.Second}, after: eelgrasspoint.Route{TimeLimit: time.Second},
			nodes:  map[string]attemptFunc{"b": inTurn(stale, ok)},
			status: http.StatusOK, attempts: []string{"b", "b"}, timeLimit: time.Second,
		},
		{
			name: "longer time limit", before: eelgrasspoint.Route{TimeLimit: time.Second}, after: eelgrasspoint.Route{TimeLimit: 5 * time.Second},
			nodes:  map[string]attemptFunc{"b": inTurn(stale, ok)},
			status: http.StatusOK, attempts: []string{"b", "b"}, timeLimit: 5 * time.Second,
		},
		{
			name: "longer time limit than the caller's", before: eelgrasspoint.Route{TimeLimit: time.Second}, after: eelgrasspoint.Route{TimeLimit: 5 * time.Second},
			nodes: map[string]attemptFunc{"b": inTurn(stale, ok)}, timeout: "2s",
			status: http.StatusOK, attempts: []string{"b", "b"}, timeLimit: 2 * time.Second,
		},
		{
			name: "hedged with a longer time limit", before: eelgrasspoint.Route{TimeLimit: time.Second},
			after:  eelgrasspoint.Route{TimeLimit: 5 * time.Second, Idempotent: true, Hedge: true},
			nodes:  map[string]attemptFunc{"b": inTurn(stale, after(time.Second, ok)), "c": after(100*time.Millisecond, ok)},
			status: http.StatusOK, attempts: []string{"b", "b", "c"}, timeLimit: 5 * time.Second,
		},
		{
			name: "no longer hedged", before: eelgrasspoint.Route{Idempotent: true, Hedge: true}, after: eelgrasspoint.Route{Idempotent: true},
			nodes:  map[string]attemptFunc{"b": inTurn(stale, after(100*time.Millisecond, ok)), "c": ok},
			status: http.StatusOK, attempts: []string{"b", "b"},
		},
		{
			name: "fewer attempts", before: eelgrasspoint.Route{Idempotent: true}, after: eelgrasspoint.Route{Idempotent: true, MaxAttempts: 1},
			nodes:  map[string]attemptFunc{"b": lost, "c": inTurn(stale, ok)},
			status: http.StatusBadGateway, attempts: []string{"b", "c"},
		},
		{
			name: "no longer idempotent", before: eelgrasspoint.Route{Idempotent: true},
			nodes:  map[string]attemptFunc{"b": lost, "c": inTurn(stale, ok)},
			status: http.StatusBadGateway, attempts: []string{"b", "c"},
		},
		{
			name: "still idempotent", before: eelgrasspoint.Route{Idempotent: true}, after: eelgrasspoint.Route{Idempotent: true},
			nodes:  map[string]attemptFunc{"b": inTurn(lost, ok), "c": stale},
			status: http.StatusOK, attempts: []string{"b", "c", "b"},
		},
		{
			name:   "most attempts of a request",
			nodes:  map[string]attemptFunc{"b": notReady, "c": notReady, "d": notReady, "e": notReady, "f": notReady, "g": inTurn(stale, ok)},
			status: http.StatusServiceUnavailable, attempts: []string{"b", "c", "d", "e", "f", "g"},
		},
		{
			name: "body that can't be read again", body: io.MultiReader(bytes.NewReader(make([]byte, 2*eelgrasspoint.MaxReplayBytes))),
			nodes:  map[string]attemptFunc{"b": inTurn(readBody(stale), readBody(ok))},
			status: http.StatusServiceUnavailable, attempts: []string{"b"},
		},
		{
			name: "bound to another region", after: eelgrasspoint.Route{HomeRegions: []string{"there"}},
			nodes:  map[string]attemptFunc{"b": stale, "there-c": ok},
			status: http.StatusOK, attempts: []string{"b", "there-c"},
		},
		{
			name: "bound to a region without nodes", after: eelgrasspoint.Route{HomeRegions: []string{"nowhere"}},
			nodes:  map[string]attemptFunc{"b": stale, "there-c": ok},
			status: http.StatusServiceUnavailable, attempts: []string{"b"},
		},
		{
			name:   "another service",
			after:  eelgrasspoint.Route{Service: "bench", Kind: "booking", Weight: 5, TargetLatency: time.Second, MaxAttempts: 1},
			nodes:  map[string]attemptFunc{"b": inTurn(stale, ok)},
			status: http.StatusOK, attempts: []string{"b", "b"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newEntry(&c.before, c.nodes)
				e.fetch = func(context.Context, *eelgrasspoint.Candidate, eelgrasspoint.Revision) {
					time.Sleep(10 * time.Millisecond)
					e.publish(2, &c.after)
				}
				r := httptest.NewRequest(http.MethodPost, "/1", c.body)
				r.Header.Set(eelgrasspoint.HeaderTimeout, c.timeout)
				start := time.Now()
				got := e.sendRequest(r)
				assert.Equal(t, got.status, c.status, "%+v", got)
				assert.DeepEqual(t, e.attemptedNodes(), c.attempts)
				last := e.attempts[len(e.attempts)-1]
				if c.timeLimit > 0 {
					assert.Equal(t, last.deadline.Sub(start), c.timeLimit)
					assert.Equal(t, last.meta.Deadline.Sub(start), c.timeLimit)
				}
				if got.status == http.StatusOK {
					assert.Equal(t, last.meta.Revision.Version, uint64(2))
					assert.Equal(t, last.meta.Service, c.after.Service)
					assert.Equal(t, last.meta.Kind, c.after.Kind)
					assert.Equal(t, last.meta.Weight, c.after.Weight)
					assert.Equal(t, last.meta.Idempotent, c.after.Idempotent)
					assert.Equal(t, last.meta.Hedge, c.after.Hedge)
					assert.Equal(t, last.meta.TargetLatency, c.after.TargetLatency)
					assert.DeepEqual(t, last.meta.Permitted, c.after.HomeRegions)
					// Events of requests that are bound to another region are not recorded here.
					recorded := slices.Contains(e.exitNodes(eelgrasspoint.EventRequestRetried), e.fetchedFrom[0])
					assert.Equal(t, recorded, len(c.after.HomeRegions) == 0)
				}
			})
		})
	}
}

// TestNewerRevisionAlreadyInForce guards against a fetch, or a refusal, while a newer revision than that of the
// request is in force already.
func TestNewerRevisionAlreadyInForce(t *testing.T) {
	stale := refuse(eelgrasspoint.StaleRoute)
	var e *entry
	publish := func(revision uint64, end attemptFunc) attemptFunc {
		return func(ctx context.Context, attempt *eelgrasspoint.Attempt) (*eelgrasspoint.Answer, error) {
			e.publish(revision, &eelgrasspoint.Route{})
			return end(ctx, attempt)
		}
	}
	e = newEntry(&eelgrasspoint.Route{}, map[string]attemptFunc{
		"b": inTurn(publish(2, stale), publish(3, stale), answer(http.StatusOK)),
	})
	e.fetch = fetchNothing
	assert.Equal(t, e.send().status, http.StatusOK)
	assert.DeepEqual(t, e.attemptedNodes(), []string{"b", "b", "b"})
	assert.Equal(t, len(e.fetchedFrom), 0)
}
