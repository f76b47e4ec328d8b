package executor_test

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
)

// TestNewNumberOfConnectionsIsInForce guards against a backend server that resets connections, since the node learned the
// number that it accepts after its announcement, or the operators lowered it.
func TestNewNumberOfConnectionsIsInForce(t *testing.T) {
	checkNewNumber(t, func(b *eelgrasspoint.BackendServer) { b.Connections = 1 })
}

// TestNewNumberOfSlotsIsInForce guards against a backend server that gets more requests at once than it announced last.
func TestNewNumberOfSlotsIsInForce(t *testing.T) {
	checkNewNumber(t, func(b *eelgrasspoint.BackendServer) { b.Slots = 1 })
}

// checkNewNumber checks that requests run one after the other once restrict is applied to the announcement of a backend server.
func checkNewNumber(t *testing.T, restrict func(b *eelgrasspoint.BackendServer)) {
	t.Helper()
	var mu sync.Mutex
	var running, highest int
	var address atomic.Value
	e, _, _ := newExecutorFor(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		address.Store(r.Context().Value(http.LocalAddrContextKey).(net.Addr).String())
		if r.URL.Path == "/health" {
			w.Header().Set(slownessHeader, "1")
			return
		}
		mu.Lock()
		running++
		highest = max(highest, running)
		mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		mu.Lock()
		running--
		mu.Unlock()
	}))
	runThree := func() int {
		highest = 0
		var runs sync.WaitGroup
		for range 3 {
			runs.Go(func() {
				answer, err := e.RoundTrip(t.Context(), nil, newAttempt(true, time.Second))
				assert.Check(t, err)
				if err == nil {
					_, _ = io.Copy(io.Discard, answer.Response.Body)
					_ = answer.Response.Body.Close()
				}
			})
		}
		runs.Wait()
		return highest
	}
	assert.Assert(t, runThree() > 1)
	server := netip.MustParseAddrPort(address.Load().(string))
	backend := eelgrasspoint.BackendServer{Service: "s", Address: server, Incarnation: 1, Slots: 4, Connections: 4}
	restricted := backend
	restrict(&restricted)
	e.SetBackend(&restricted)
	assert.Equal(t, runThree(), 1)
	e.SetBackend(&backend)
	assert.Assert(t, runThree() > 1)
}
