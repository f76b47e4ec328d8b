package forwarder_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
)

// TestOnlyRepeatableAttemptsAreGivenUp guards against an attempt that is given up at a silent connection, while its
// backend server is at work, although no other attempt can follow.
func TestOnlyRepeatableAttemptsAreGivenUp(t *testing.T) {
	cases := []struct {
		name       string
		route      eelgrasspoint.Route
		candidates int
		body       string
		repeatable bool
	}{
		{"idempotent", eelgrasspoint.Route{Idempotent: true}, 2, "", true},
		{"hedged", eelgrasspoint.Route{Idempotent: true, Hedge: true}, 2, "", true},
		{"not idempotent", eelgrasspoint.Route{}, 2, "", false},
		{"one attempt allowed", eelgrasspoint.Route{Idempotent: true, MaxAttempts: 1}, 2, "", false},
		{"one candidate", eelgrasspoint.Route{Idempotent: true}, 1, "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			nodes := make(map[string]attemptFunc)
			for i := range c.candidates {
				nodes[fmt.Sprint("node-", i)] = answer(http.StatusOK)
			}
			e := newEntry(&c.route, nodes)
			e.handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", strings.NewReader(c.body)))
			assert.Equal(t, len(e.attempts), 1)
			assert.Equal(t, e.attempts[0].meta.Repeatable, c.repeatable)
		})
	}
	t.Run("no budget", func(t *testing.T) {
		e := newEntry(&eelgrasspoint.Route{Idempotent: true, MaxAttempts: 2}, map[string]attemptFunc{
			"node-0": fail(eelgrasspoint.MayHaveRun, eelgrasspoint.ConnectionLost),
			"node-1": fail(eelgrasspoint.MayHaveRun, eelgrasspoint.ConnectionLost),
			"node-2": answer(http.StatusOK),
		})
		for range 2 * eelgrasspoint.AttemptBudgetBurst {
			e.handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", http.NoBody))
		}
		assert.Assert(t, e.attempts[0].meta.Repeatable)
		assert.Assert(t, !e.attempts[len(e.attempts)-1].meta.Repeatable)
	})
}

// TestAttemptsGivenUpTogetherPayTheirRetries guards against requests that end with an error while their backend
// server is at work: all of them were given up at one silent connection, and the budget was enough for some.
func TestAttemptsGivenUpTogetherPayTheirRetries(t *testing.T) {
	const requests = 3 * eelgrasspoint.AttemptBudgetBurst
	arrived, silent := make(chan struct{}), make(chan struct{})
	e := newEntry(&eelgrasspoint.Route{Idempotent: true}, map[string]attemptFunc{
		"node-0": func(_ context.Context, attempt *eelgrasspoint.Attempt) (*eelgrasspoint.Answer, error) {
			arrived <- struct{}{}
			<-silent
			if attempt.GiveUp != nil && attempt.GiveUp() {
				return nil, &eelgrasspoint.OutcomeError{Outcome: eelgrasspoint.MayHaveRun, Reason: eelgrasspoint.ConnectionLost}
			}
			return answer(http.StatusOK)(context.Background(), attempt)
		},
		"node-1": answer(http.StatusOK),
	})
	var group sync.WaitGroup
	for range requests {
		group.Go(func() {
			w := httptest.NewRecorder()
			e.handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", http.NoBody))
			assert.Check(t, w.Code == http.StatusOK, "%d", w.Code)
		})
	}
	for range requests {
		<-arrived
	}
	close(silent)
	group.Wait()
}
