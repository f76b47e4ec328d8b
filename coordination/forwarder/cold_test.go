package forwarder_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
)

// refuseCold refuses an attempt like a cold backend server, unless the attempt may wait for its turn.
func refuseCold(_ context.Context, attempt *eelgrasspoint.Attempt) (*eelgrasspoint.Answer, error) {
	if attempt.Meta.Insists {
		return answer(http.StatusOK)(context.Background(), attempt)
	}
	load := &eelgrasspoint.Answer{HasLoad: true, Load: eelgrasspoint.Load{Limit: 4, Pause: time.Second}}
	return load, eelgrasspoint.Refuse(eelgrasspoint.ColdServer, "")
}

// TestRequestWaitsWhenAllServersAreCold guards against a walk from one cold backend server to the next that ends in a
// refusal although the request could wait for its turn. The next request knows of the pause and waits at once.
func TestRequestWaitsWhenAllServersAreCold(t *testing.T) {
	e := newEntry(&eelgrasspoint.Route{}, map[string]attemptFunc{"a": refuseCold, "b": refuseCold})
	assert.Equal(t, e.send().status, http.StatusOK)
	assert.DeepEqual(t, e.attemptedNodes(), []string{"a", "b", "a"})
	assert.Equal(t, e.send().status, http.StatusOK)
	assert.Equal(t, len(e.attemptedNodes()), 4)
}
