package forwarder_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
)

// TestRefusedCallerIsToldWhenLimitAdmits guards against a Retry-After that a backend server's limit makes untrue.
func TestRefusedCallerIsToldWhenLimitAdmits(t *testing.T) {
	limited := func(context.Context, *eelgrasspoint.Attempt) (*eelgrasspoint.Answer, error) {
		answer := &eelgrasspoint.Answer{HasLoad: true, Load: eelgrasspoint.Load{Pause: 2500 * time.Millisecond}}
		return answer, eelgrasspoint.Refuse(eelgrasspoint.RateLimited, "")
	}
	e := newEntry(&eelgrasspoint.Route{}, map[string]attemptFunc{"b": limited})
	w := httptest.NewRecorder()
	e.handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/1", nil))
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Header().Get("Retry-After"), "3")
}
