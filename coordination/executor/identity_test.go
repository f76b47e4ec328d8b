package executor_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/executor"
	"eelgrasspoint/coordination/fingerprinter"
)

// crashingServer loses the connection of a request with the crashing body once it has read all of it, or at its head.
type crashingServer struct {
	crashing []byte
	// atHead is set if the server crashes before it reads a body that begins like the crashing one.
	atHead  bool
	crashes atomic.Int32
}

// ServeHTTP implements http.Handler.
func (s *crashingServer) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		return
	}
	if s.atHead {
		first := make([]byte, 1)
		_, _ = io.ReadFull(r.Body, first)
		if first[0] == s.crashing[0] {
			s.crashes.Add(1)
			panic(http.ErrAbortHandler)
		}
	}
	body, err := io.ReadAll(r.Body)
	if err == nil && bytes.Equal(body, s.crashing) {
		s.crashes.Add(1)
		panic(http.ErrAbortHandler)
	}
}

// openAttempt is an attempt whose entry node has not read the whole body.
func openAttempt(body []byte, length int64) *eelgrasspoint.Attempt {
	attempt := newAttempt(true, time.Second)
	attempt.Method, attempt.Target = http.MethodPost, "/pay"
	attempt.Meta.BodyOpen = true
	attempt.Meta.Fingerprint = fingerprinter.Head(attempt.Method, attempt.Host, attempt.Target, "", "")
	attempt.Body, attempt.Length = io.NopCloser(bytes.NewReader(body)), length
	return attempt
}

// pay sends a body to the server and, if it is lost, confirms the crash with the announcement of the next incarnation.
func pay(t *testing.T, e *executor.Executor, backend *eelgrasspoint.BackendServer, body []byte, chunked bool) *eelgrasspoint.OutcomeError {
	t.Helper()
	length := int64(len(body))
	if chunked {
		length = -1
	}
	answer, err := e.RoundTrip(t.Context(), nil, openAttempt(body, length))
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Response.Body)
		answer.Response.Body.Close()
	}
	if err == nil {
		return nil
	}
	outcome := eelgrasspoint.AsOutcome(err)
	if outcome.Reason == eelgrasspoint.ConnectionLost {
		backend.Incarnation++
		announce(e, *backend)
	}
	return outcome
}

// announce sets the backend server. The executor keeps a copy, so that the next incarnation is another one.
func announce(e *executor.Executor, backend eelgrasspoint.BackendServer) { e.SetBackend(&backend) }

// TestCrashingBodyIsQuarantined guards against a request that goes on crashing backend servers, since the fingerprint covers
// no more than the beginning of its body, and against others of the same path, Client and length that are refused in its place.
func TestCrashingBodyIsQuarantined(t *testing.T) {
	const small, large, huge = 30, 70_000, 3 << 20
	cases := map[string]struct {
		size    int
		chunked bool
		atHead  bool
		// most is the number of crashes: one more if the first tells nothing of the body.
		most int32
	}{
		"small, in chunks":                       {small, true, false, 2},
		"large, with length":                     {large, false, false, 2},
		"large, in chunks":                       {large, true, false, 2},
		"more than is held, with length":         {huge, false, false, 2},
		"more than is held, in chunks":           {huge, true, false, 2},
		"large, crash before the body, in parts": {large, true, true, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			crashing := bytes.Repeat([]byte("c"), c.size)
			server := &crashingServer{crashing: crashing, atHead: c.atHead}
			e, address := newCrashableExecutor(t, server)
			backend := &eelgrasspoint.BackendServer{Service: "s", Address: address, Incarnation: 1, Slots: 4, Connections: 4}
			announce(e, *backend)
			for i := range 8 {
				other := bytes.Repeat([]byte("d"), c.size)
				other[c.size-1] = byte(i)
				outcome := pay(t, e, backend, other, c.chunked)
				assert.Assert(t, outcome == nil, "another request: %v", outcome)
				_ = pay(t, e, backend, crashing, c.chunked)
			}
			assert.Assert(t, server.crashes.Load() <= c.most, "%d crashes", server.crashes.Load())
			outcome := pay(t, e, backend, crashing, !c.chunked)
			assert.Equal(t, outcome.Reason, eelgrasspoint.Quarantined, "in the other form: %v", outcome)
		})
	}
}

// newCrashableExecutor returns an executor and the address of its server.
func newCrashableExecutor(t *testing.T, server http.Handler) (*executor.Executor, netip.AddrPort) {
	t.Helper()
	addresses := make(chan string, 1)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case addresses <- r.Context().Value(http.LocalAddrContextKey).(interface{ String() string }).String():
		default:
		}
		server.ServeHTTP(w, r)
	})
	e, _, _ := newExecutorFor(t, handler)
	answer, err := e.RoundTrip(t.Context(), nil, newAttempt(true, time.Second))
	assert.NilError(t, err)
	answer.Response.Body.Close()
	return e, netip.MustParseAddrPort(strings.TrimSpace(<-addresses))
}

// TestBodyThatDoesNotArriveIsRefused guards against a request whose body is held and that never ends, since its caller
// sends nothing more.
func TestBodyThatDoesNotArriveIsRefused(t *testing.T) {
	server := &crashingServer{crashing: []byte("crash")}
	e, address := newCrashableExecutor(t, server)
	backend := &eelgrasspoint.BackendServer{Service: "s", Address: address, Incarnation: 1, Slots: 4, Connections: 4}
	announce(e, *backend)
	_ = pay(t, e, backend, server.crashing, true)
	assert.Equal(t, server.crashes.Load(), int32(1))
	reader, writer := io.Pipe()
	defer writer.Close()
	attempt := openAttempt(nil, -1)
	attempt.Body = reader
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err := e.RoundTrip(ctx, nil, attempt)
	outcome := eelgrasspoint.AsOutcome(err)
	assert.Equal(t, outcome.Outcome, eelgrasspoint.NotRun)
	assert.Equal(t, outcome.Reason, eelgrasspoint.DeadlinePassed)
	assert.Assert(t, pay(t, e, backend, []byte("other"), true) == nil, "the slot is not free again")
}

// TestHeldBodyThatIsCutShortIsNotSent guards against a part of a body that reaches the server as if it were sent on.
func TestHeldBodyThatIsCutShortIsNotSent(t *testing.T) {
	server := &crashingServer{crashing: []byte("crash")}
	e, address := newCrashableExecutor(t, server)
	backend := &eelgrasspoint.BackendServer{Service: "s", Address: address, Incarnation: 1, Slots: 4, Connections: 4}
	announce(e, *backend)
	_ = pay(t, e, backend, server.crashing, true)
	attempt := openAttempt(nil, -1)
	attempt.Body = io.NopCloser(io.MultiReader(strings.NewReader("part"), iotest.ErrReader(io.ErrUnexpectedEOF)))
	_, err := e.RoundTrip(t.Context(), nil, attempt)
	outcome := eelgrasspoint.AsOutcome(err)
	assert.Equal(t, outcome.Outcome, eelgrasspoint.NotRun)
	assert.Equal(t, outcome.Reason, eelgrasspoint.BodyCutShort)
}
