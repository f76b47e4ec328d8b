package timer_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint/transport/sender"
	"eelgrasspoint/transport/timer"
)

// TestPartsOfACall guards against a wait for a change that counts as time to read the answer, and against the time of an
// earlier call.
func TestPartsOfACall(t *testing.T) {
	const wait, transfer = 500 * time.Millisecond, 50 * time.Millisecond
	var later atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !later.Swap(true) {
			time.Sleep(2 * wait)
			return
		}
		time.Sleep(wait)
		_, _ = w.Write([]byte("{"))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(transfer)
		_, _ = w.Write([]byte("}"))
	}))
	defer server.Close()
	call := timer.New()
	_, ended := call.Durations()
	assert.Assert(t, !ended)
	caller := sender.New(server.Client(), func(string, string) {})
	for range 2 {
		result := caller.Send(call.Context(t.Context()), "Changes", http.MethodGet, server.URL, nil)
		assert.NilError(t, result.Err)
	}
	time.Sleep(transfer)
	took, ended := call.Durations()
	assert.Assert(t, ended)
	assert.Assert(t, took.Call >= wait+transfer && took.Call < 2*wait, "%v", took.Call)
	assert.Assert(t, took.Answer >= transfer && took.Answer < wait, "%v", took.Answer)
	assert.Assert(t, took.Rest >= transfer && took.Rest < wait, "%v", took.Rest)
}
