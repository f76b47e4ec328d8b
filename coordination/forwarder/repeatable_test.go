package forwarder_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
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
