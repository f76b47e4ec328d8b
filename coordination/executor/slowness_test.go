package executor_test

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/executor"
)

// slowServer reports its slowness and takes it times as long as slowServerWork.
type slowServer struct {
	slowness atomic.Int64
	runs     atomic.Int32
}

const slowServerWork = 10 * time.Millisecond

func (s *slowServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	slowness := s.slowness.Load()
	w.Header().Set(slownessHeader, strconv.FormatInt(slowness, 10))
	if r.URL.Path != "/health" {
		s.runs.Add(1)
		time.Sleep(time.Duration(slowness) * slowServerWork)
	}
}

// sendWithin sends an attempt without another choice whose deadline is that far away.
func sendWithin(e *executor.Executor, left time.Duration) error {
	attempt := newAttempt(true, 100*time.Millisecond)
	attempt.Meta.Deadline = time.Now().Add(left)
	answer, err := e.RoundTrip(context.Background(), nil, attempt)
	if err == nil {
		answer.Response.Body.Close()
	}
	return err
}

// TestRequestThatCannotEndInTimeIsRefused guards against requests that take the slots of a slow server until their deadline
// passes, while they could be told at once. Those with time enough still run, since another server may be as slow.
func TestRequestThatCannotEndInTimeIsRefused(t *testing.T) {
	s := &slowServer{}
	s.slowness.Store(1)
	e, _ := newRecordedExecutor(t, s)
	for range 6 {
		assert.NilError(t, sendWithin(e, time.Second))
	}
	assert.Equal(t, e.Load().Pause, time.Duration(0))
	s.slowness.Store(60)
	for range 60 {
		_ = runOnce(e, time.Second, false)
		time.Sleep(25 * time.Millisecond)
	}
	before := s.runs.Load()
	start := time.Now()
	err := sendWithin(e, 300*time.Millisecond)
	assert.Equal(t, eelgrasspoint.AsOutcome(err).Reason, eelgrasspoint.SlowServer)
	assert.Equal(t, eelgrasspoint.AsOutcome(err).Outcome, eelgrasspoint.NotRun)
	assert.Assert(t, time.Since(start) < 60*time.Millisecond, "%v", time.Since(start))
	assert.Equal(t, s.runs.Load(), before)
	assert.Assert(t, e.Load().Pause > 0)
	assert.NilError(t, sendWithin(e, 5*time.Second))
	assert.Equal(t, s.runs.Load(), before+1)
}
