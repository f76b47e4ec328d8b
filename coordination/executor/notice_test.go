package executor_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/executor"
)

// limitedServer is a backend server that names a limit unless it is empty.
type limitedServer struct {
	limit atomic.Value
	runs  atomic.Int32
}

func (s *limitedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		return
	}
	s.runs.Add(1)
	if limit, _ := s.limit.Load().(string); limit != "" {
		w.Header().Set(eelgrasspoint.HeaderRateLimit, limit)
	}
}

// startLimitedServer returns an executor whose backend server is s.
func startLimitedServer(t *testing.T, s *limitedServer) *executor.Executor {
	t.Helper()
	e := newExecutor(t, &fakeServer{})
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	e.SetBackend(&eelgrasspoint.BackendServer{Service: "s", Address: address, Incarnation: 2, Slots: 4, Connections: 4})
	return e
}

// sendAttempts sends attempts one after the other and returns the reasons for which some were not run.
func sendAttempts(t *testing.T, e *executor.Executor, count int) map[eelgrasspoint.Reason]int {
	t.Helper()
	reasons := make(map[eelgrasspoint.Reason]int)
	for range count {
		answer, err := e.RoundTrip(t.Context(), nil, newAttempt(true, time.Second))
		if err != nil {
			outcome := eelgrasspoint.AsOutcome(err)
			assert.Equal(t, outcome.Outcome, eelgrasspoint.NotRun)
			reasons[outcome.Reason]++
			continue
		}
		_, _ = io.Copy(io.Discard, answer.Response.Body)
		answer.Response.Body.Close()
	}
	return reasons
}

// TestServerGetsNoMoreThanTheLimitItNames guards against a backend server in need that gets as many requests as before.
func TestServerGetsNoMoreThanTheLimitItNames(t *testing.T) {
	const limit, attempts = 2, 60
	s := &limitedServer{}
	s.limit.Store("2")
	e := startLimitedServer(t, s)
	startedAt := time.Now()
	reasons := sendAttempts(t, e, attempts)
	allowed := 1.5*limit*time.Since(startedAt).Seconds() + 5
	assert.Assert(t, float64(s.runs.Load()) <= allowed, "%d requests, %v allowed", s.runs.Load(), allowed)
	assert.Equal(t, reasons[eelgrasspoint.RateLimited], attempts-int(s.runs.Load()))
}

// TestLimitEndsWithAnAnswerWithoutIt guards against a limit that outlasts the server's word for it.
func TestLimitEndsWithAnAnswerWithoutIt(t *testing.T) {
	s := &limitedServer{}
	s.limit.Store("0")
	e := startLimitedServer(t, s)
	_ = sendAttempts(t, e, 5)
	s.limit.Store("")
	deadline := time.Now().Add(3 * time.Second)
	for e.Notice().Limited && time.Now().Before(deadline) {
		_ = sendAttempts(t, e, 1)
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, len(sendAttempts(t, e, 20)), 0)
}
