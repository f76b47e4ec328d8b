package executor_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/admitter"
	"eelgrasspoint/coordination/executor"
	"eelgrasspoint/coordination/limiter"
	"eelgrasspoint/coordination/quarantiner"
	"eelgrasspoint/protocol/parser"
	"eelgrasspoint/state/holder"
	"eelgrasspoint/state/recorder"
)

// Headers in which the backend servers of these tests report their slowness and, to health checks, their identifier.
const (
	slownessHeader = "Slowness"
	idHeader       = "Id"
)

// loadContract is the contract of package parser, with backend servers that report their load.
type loadContract struct{ eelgrasspoint.Contract }

func (c loadContract) ReadHealth(response *http.Response) eelgrasspoint.Health {
	slowness, _ := strconv.ParseFloat(response.Header.Get(slownessHeader), 64)
	return eelgrasspoint.Health{
		Healthy: true, HasLoad: true, Load: eelgrasspoint.ServerLoad{Slots: 4, Slowness: slowness},
		ID: response.Header.Get(idHeader), Notice: c.Contract.ReadHealth(response).Notice,
	}
}

// fakeServer is a backend server that reports itself slow in its first health checks.
type fakeServer struct {
	slowChecks int32
	checks     atomic.Int32
	// checksBeforeRun is the number of health checks before the last run started.
	checksBeforeRun atomic.Int32
	runs            atomic.Int32
}

func (s *fakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/health" {
		s.checksBeforeRun.Store(s.checks.Load())
		s.runs.Add(1)
		return
	}
	slowness := "1"
	if s.checks.Add(1) <= s.slowChecks {
		slowness = "5"
	}
	w.Header().Set(slownessHeader, slowness)
}

func newExecutor(t *testing.T, s *fakeServer) *executor.Executor {
	t.Helper()
	e, _ := newExecutorAndAdmitter(t, s)
	return e
}

func newExecutorAndAdmitter(t *testing.T, s *fakeServer) (*executor.Executor, *admitter.Admitter) {
	t.Helper()
	e, a, _ := newExecutorFor(t, s)
	return e, a
}

func newRecordedExecutor(t *testing.T, s http.Handler) (*executor.Executor, *recorder.Recorder) {
	t.Helper()
	e, _, events := newExecutorFor(t, s)
	return e, events
}

// eventsOf returns the recorded events with the number.
func eventsOf(events *recorder.Recorder, number eelgrasspoint.EventNumber) []eelgrasspoint.Event {
	return slices.DeleteFunc(events.Events(time.Time{}), func(e eelgrasspoint.Event) bool { return e.Number != number })
}

func newExecutorFor(t *testing.T, s http.Handler) (*executor.Executor, *admitter.Admitter, *recorder.Recorder) {
	t.Helper()
	httpServer := httptest.NewServer(s)
	t.Cleanup(httpServer.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	events := recorder.New("n", time.Now, log)
	h := holder.New(&eelgrasspoint.Snapshot{
		Self: eelgrasspoint.Member{Name: "n", Region: "r"},
		Configuration: &eelgrasspoint.Configuration{Revision: eelgrasspoint.Revision{Version: 1}, Document: eelgrasspoint.Document{
			Services: []eelgrasspoint.Service{{Name: "s", HealthPath: "/health"}},
		}},
	})
	a := admitter.NewWithReportedLoad(limiter.NewFixed(4), time.Now)
	e := executor.New(executor.Options{
		Holder: h, Admitter: a, Quarantiner: quarantiner.New(time.Now),
		Recorder: events, Clock: time.Now, Dial: (&net.Dialer{}).DialContext,
		Contract: loadContract{parser.New()}, TellsLoad: true, CountCheck: func() {}, CountArrival: func() {},
	})
	t.Cleanup(e.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(httpServer.URL, "http://"))
	e.SetBackend(&eelgrasspoint.BackendServer{Service: "s", Address: address, Incarnation: 1, Slots: 4, Connections: 4})
	return e, a, events
}

func newAttempt(insists bool, targetLatency time.Duration) *eelgrasspoint.Attempt {
	return &eelgrasspoint.Attempt{
		Meta: eelgrasspoint.RequestMetadata{
			RequestID: "1", Service: "s", Insists: insists, TargetLatency: targetLatency, Deadline: time.Now().Add(10 * time.Second),
		},
		Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
	}
}

// TestSlowServerRefusesAttempt guards against sending a request to a backend server that reports itself
// slow, when another backend server may run it.
func TestSlowServerRefusesAttempt(t *testing.T) {
	s := &fakeServer{slowChecks: 1}
	_, err := newExecutor(t, s).RoundTrip(t.Context(), nil, newAttempt(false, time.Second))
	assert.Equal(t, eelgrasspoint.AsOutcome(err).Reason, eelgrasspoint.SlowServer)
	assert.Equal(t, s.runs.Load(), int32(0))
}

// TestInsistingAttemptWaitsWhileServerSlow guards against an attempt with Insists set that starts while its
// backend server is slow, although the whole run would then be slow, and against one that is never run
// because the server stays slow: it must start after MaxSlowWaitRatio of its target latency.
func TestInsistingAttemptWaitsWhileServerSlow(t *testing.T) {
	s := &fakeServer{slowChecks: 3}
	answer, err := newExecutor(t, s).RoundTrip(t.Context(), nil, newAttempt(true, 5*time.Second))
	assert.NilError(t, err)
	answer.Response.Body.Close()
	assert.Equal(t, s.checksBeforeRun.Load(), int32(4))

	const targetLatency = 200 * time.Millisecond
	// This server stays slow: the wait ends long before that many health checks.
	s = &fakeServer{slowChecks: 1 << 20}
	start := time.Now()
	answer, err = newExecutor(t, s).RoundTrip(t.Context(), nil, newAttempt(true, targetLatency))
	assert.NilError(t, err)
	answer.Response.Body.Close()
	assert.Assert(t, time.Since(start) >= time.Duration(eelgrasspoint.MaxSlowWaitRatio*float64(targetLatency)))
	assert.Equal(t, s.runs.Load(), int32(1))
}

// TestSlowWaitNotInServiceTime guards against counting the wait for a slow backend server as service time,
// which would raise the expected duration of a run.
func TestSlowWaitNotInServiceTime(t *testing.T) {
	s := &fakeServer{slowChecks: 5}
	e := newExecutor(t, s)
	start := time.Now()
	answer, err := e.RoundTrip(t.Context(), nil, newAttempt(true, 5*time.Second))
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, answer.Response.Body)
	assert.NilError(t, err)
	waited := time.Since(start)
	assert.Assert(t, e.Load().Expected < waited/2, "the expected duration of a run is %v after a run that waited for %v", e.Load().Expected, waited)
}
