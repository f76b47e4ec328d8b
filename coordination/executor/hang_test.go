package executor_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
)

// hangingServer answers its health checks, and the other requests only while it does not hang.
type hangingServer struct {
	hangs atomic.Bool
	runs  atomic.Int32
}

func (s *hangingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(slownessHeader, "1")
	if r.URL.Path == "/health" {
		return
	}
	s.runs.Add(1)
	if s.hangs.Load() {
		<-r.Context().Done()
	}
}

// TestHangingServerIsLeftOut guards against requests that are lost one after the other at a backend server that answers only
// health checks, and against one that stays out after it works again. Only the requests before the decision, and trials,
// reach it; one without another choice does as well.
func TestHangingServerIsLeftOut(t *testing.T) {
	s := &hangingServer{}
	e, events := newRecordedExecutor(t, s)
	for range 8 {
		assert.NilError(t, runOnce(e, time.Second, false))
	}
	s.hangs.Store(true)
	var group sync.WaitGroup
	for range 3 {
		group.Go(func() { _ = runOnce(e, 300*time.Millisecond, false) })
	}
	group.Wait()
	failed := eventsOf(events, eelgrasspoint.EventAttemptFailed)
	assert.Equal(t, len(failed), 3)
	inputs := make(map[string]any)
	for _, input := range failed[0].Inputs {
		inputs[input.Name] = input.Value
	}
	assert.Assert(t, inputs["Server"] != nil && inputs["Connection"] != nil)
	assert.Assert(t, inputs["WaitedMilliseconds"].(int64) >= 290, "%v", inputs["WaitedMilliseconds"])
	assert.Equal(t, len(eventsOf(events, eelgrasspoint.EventBackendHangs)), 1)
	var refused atomic.Int32
	for range 20 {
		group.Go(func() {
			if eelgrasspoint.AsOutcome(runOnce(e, 200*time.Millisecond, false)).Reason == eelgrasspoint.HangingServer {
				refused.Add(1)
			}
		})
	}
	group.Wait()
	assert.Assert(t, refused.Load() >= 19, "%d", refused.Load())
	s.hangs.Store(false)
	assert.NilError(t, runOnce(e, time.Second, true))
	for range 100 {
		_ = runOnce(e, time.Second, false)
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, len(eventsOf(events, eelgrasspoint.EventBackendAnswersAgain)), 1)
	assert.NilError(t, runOnce(e, time.Second, false))
}

// runOnce sends an idempotent attempt with the timeout and returns its error.
func runOnce(e eelgrasspoint.RoundTripper, timeout time.Duration, insists bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	attempt := newAttempt(insists, time.Second)
	attempt.Meta.Idempotent = true
	answer, err := e.RoundTrip(ctx, nil, attempt)
	if err == nil {
		answer.Response.Body.Close()
	}
	return err
}
