package sender_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/transport/sender"
)

// TestWriteError checks the error and the metric label of a write for each way in which its call can end, and
// that the write is sent only once.
func TestWriteError(t *testing.T) {
	conflict := &eelgrasspoint.ConflictError{Key: "k"}
	cases := []struct {
		name, result string
		handler      http.HandlerFunc
		sent         int32
		matches      func(error) bool
	}{
		{"no content", "ok", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }, 1, func(err error) bool { return err == nil }},
		{"precondition failed", "412", respond(http.StatusPreconditionFailed), 1, func(err error) bool { return err == conflict }},
		{"service unavailable", "503", respond(http.StatusServiceUnavailable), 1, isUnavailable},
		{"too many requests", "429", respond(http.StatusTooManyRequests), 1, isUnavailable},
		{"forbidden", "403", respond(http.StatusForbidden), 1, isUnavailable},
		{"internal server error", "500", respond(http.StatusInternalServerError), 1, isUnknownOutcome},
		{"connection closed without response", "error", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 1, isUnknownOutcome},
		{"no response before deadline", "timeout", waitForDisconnect, 1, isUnknownOutcome},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var sent atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				sent.Add(1)
				c.handler(w, r)
			}))
			defer server.Close()
			var result string
			s := sender.New(&http.Client{Transport: &http.Transport{}}, func(_, got string) { result = got })
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			err := s.Send(ctx, "Commit", http.MethodPost, server.URL, []byte("{}")).WriteError(func() error { return conflict })
			assert.Assert(t, c.matches(err), "%v", err)
			assert.Equal(t, result, c.result)
			assert.Equal(t, sent.Load(), c.sent)
		})
	}
}

// TestWriteWithoutConnection checks that a write that got no connection counts as one without effect.
func TestWriteWithoutConnection(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	s := sender.New(http.DefaultClient, func(string, string) {})
	err := s.Send(t.Context(), "Commit", http.MethodPost, server.URL, []byte("{}")).WriteError(func() error { return nil })
	assert.Assert(t, isUnavailable(err), "%v", err)
}

// waitForDisconnect waits until the client has closed the connection. It reads the body first, because the
// server does not detect the close earlier.
func waitForDisconnect(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func respond(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

func isUnavailable(err error) bool {
	var target *eelgrasspoint.UnavailableError
	return errors.As(err, &target)
}

func isUnknownOutcome(err error) bool {
	var target *eelgrasspoint.UnknownOutcomeError
	return errors.As(err, &target)
}

// TestReadSentAgainIsCounted guards against a read whose lost connection leaves no trace, as net/http sends it again.
func TestReadSentAgainIsCounted(t *testing.T) {
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if calls.Add(1) == 2 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	counted := make(map[string]int)
	s := sender.New(&http.Client{Transport: &http.Transport{}}, func(_, result string) { counted[result]++ })
	for range 2 {
		assert.NilError(t, s.Send(t.Context(), "Changes", http.MethodGet, server.URL, nil).Err)
	}
	assert.DeepEqual(t, counted, map[string]int{"ok": 2, "resent": 1})
}

// TestCallAfterTimeoutUsesNewConnection guards against calls that wait for one dead connection after the other.
func TestCallAfterTimeoutUsesNewConnection(t *testing.T) {
	const connections = 3
	var open sync.WaitGroup
	open.Add(connections)
	var calls atomic.Int32
	var dead sync.Map
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, isDead := dead.LoadOrStore(r.RemoteAddr, true); isDead {
			waitForDisconnect(w, r)
		}
		if calls.Add(1) <= connections {
			// The first calls wait for each other, so that each one opens a connection.
			open.Done()
			open.Wait()
		}
	}))
	defer server.Close()
	s := sender.New(&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections}}, func(string, string) {})
	var first sync.WaitGroup
	for range connections {
		first.Go(func() { assert.Check(t, s.Send(t.Context(), "Scan", http.MethodGet, server.URL, nil).Err) })
	}
	first.Wait()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, s.Send(ctx, "Changes", http.MethodGet, server.URL, nil).Err, context.DeadlineExceeded)
	ctx, cancel = context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	assert.NilError(t, s.Send(ctx, "Changes", http.MethodGet, server.URL, nil).Err)
}
