package executor_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
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

// slownessHeader is how the backend servers of these tests say how slow they are.
const slownessHeader = "Slowness"

// telling is the project's own contract, with backend servers that tell their load.
type telling struct{ eelgrasspoint.Contract }

func (telling) ReadHealth(response *http.Response) eelgrasspoint.Health {
	slowness, _ := strconv.ParseFloat(response.Header.Get(slownessHeader), 64)
	return eelgrasspoint.Health{Healthy: true, HasLoad: true, Load: eelgrasspoint.ServerLoad{Slots: 4, Slowness: slowness}}
}

// server is a backend server that is slow for its first health checks.
type server struct {
	slowChecks int32
	checks     atomic.Int32
	// begunAfter is the number of health checks before the run began.
	begunAfter atomic.Int32
	runs       atomic.Int32
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/health" {
		s.begunAfter.Store(s.checks.Load())
		s.runs.Add(1)
		return
	}
	slowness := "1"
	if s.checks.Add(1) <= s.slowChecks {
		slowness = "5"
	}
	w.Header().Set(slownessHeader, slowness)
}

func newExecutor(t *testing.T, s *server) *executor.Executor {
	t.Helper()
	listening := httptest.NewServer(s)
	t.Cleanup(listening.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := holder.New(&eelgrasspoint.Snapshot{
		Self: eelgrasspoint.Member{Name: "n", Region: "r"},
		Configuration: &eelgrasspoint.Configuration{Revision: 1, Document: eelgrasspoint.Document{
			Services: []eelgrasspoint.Service{{Name: "s", HealthPath: "/health"}},
		}},
	})
	e := executor.New(executor.Options{
		Holder: h, Admitter: admitter.NewWithReportedLoad(limiter.NewFixed(4), time.Now), Quarantiner: quarantiner.New(time.Now),
		Recorder: recorder.New("n", time.Now, log), Clock: time.Now, Dial: (&net.Dialer{}).DialContext,
		Contract: telling{parser.New()}, TellsLoad: true, CountCheck: func() {},
	})
	t.Cleanup(e.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(listening.URL, "http://"))
	e.SetBackend(&eelgrasspoint.BackendServer{Service: "s", Address: address, Incarnation: 1, Slots: 4, Connections: 4})
	return e
}

func attempt(insists bool, target time.Duration) *eelgrasspoint.Attempt {
	return &eelgrasspoint.Attempt{
		Meta: eelgrasspoint.RequestMetadata{
			RequestID: "1", Service: "s", Insists: insists, TargetLatency: target, Deadline: time.Now().Add(10 * time.Second),
		},
		Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
	}
}

// TestSlowServerRefuses shows that a request which may go elsewhere does not begin at a backend
// server that says it is slow.
func TestSlowServerRefuses(t *testing.T) {
	s := &server{slowChecks: 1}
	_, err := newExecutor(t, s).RoundTrip(t.Context(), nil, attempt(false, time.Second))
	assert.Equal(t, eelgrasspoint.AsOutcome(err).Reason, eelgrasspoint.SlowServer)
	assert.Equal(t, s.runs.Load(), int32(0))
}

// TestInsistingWaitsForSpeed shows that a request with nowhere else to go begins once the backend
// server is fast again, and all the same after a part of its target latency.
func TestInsistingWaitsForSpeed(t *testing.T) {
	s := &server{slowChecks: 3}
	answer, err := newExecutor(t, s).RoundTrip(t.Context(), nil, attempt(true, 5*time.Second))
	assert.NilError(t, err)
	answer.Response.Body.Close()
	assert.Equal(t, s.begunAfter.Load(), int32(4))

	const target = 200 * time.Millisecond
	s = &server{slowChecks: 1 << 20}
	began := time.Now()
	answer, err = newExecutor(t, s).RoundTrip(t.Context(), nil, attempt(true, target))
	assert.NilError(t, err)
	answer.Response.Body.Close()
	assert.Assert(t, time.Since(began) >= time.Duration(eelgrasspoint.MaxSlowWaitRatio*float64(target)))
	assert.Equal(t, s.runs.Load(), int32(1))
}

// TestWaitIsNoRunTime shows that the wait for a slow backend server is not taken for a long run.
func TestWaitIsNoRunTime(t *testing.T) {
	s := &server{slowChecks: 5}
	e := newExecutor(t, s)
	began := time.Now()
	answer, err := e.RoundTrip(t.Context(), nil, attempt(true, 5*time.Second))
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, answer.Response.Body)
	assert.NilError(t, err)
	waited := time.Since(began)
	assert.Assert(t, e.Load().Expected < waited/2, "a run is expected to take %v, after one that waited %v", e.Load().Expected, waited)
}
