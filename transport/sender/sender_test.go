package sender_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/transport/sender"
)

// TestWriteError shows what is known of a write by how its call ended, and that it is sent once.
func TestWriteError(t *testing.T) {
	conflict := &eelgrasspoint.ConflictError{Key: "k"}
	cases := []struct {
		name, result string
		handler      http.HandlerFunc
		sent         int
		is           func(error) bool
	}{
		{"done", "ok", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }, 1, func(err error) bool { return err == nil }},
		{"lost to another", "412", status(http.StatusPreconditionFailed), 1, func(err error) bool { return err == conflict }},
		{"refused", "503", status(http.StatusServiceUnavailable), 1, unavailable},
		{"too many", "429", status(http.StatusTooManyRequests), 1, unavailable},
		{"not allowed", "403", status(http.StatusForbidden), 1, unavailable},
		{"failed", "500", status(http.StatusInternalServerError), 1, unknown},
		{"answer lost", "error", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 1, unknown},
		{"no answer", "timeout", waitForTheEnd, 1, unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sent := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				sent++
				c.handler(w, r)
			}))
			defer server.Close()
			var result string
			s := sender.New(&http.Client{Transport: &http.Transport{}}, func(_, got string) { result = got })
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			err := s.Send(ctx, "Commit", http.MethodPost, server.URL, []byte("{}")).WriteError(func() error { return conflict })
			assert.Assert(t, c.is(err), "%v", err)
			assert.Equal(t, result, c.result)
			assert.Equal(t, sent, c.sent)
		})
	}
}

// TestNobodyThere shows that a write which found no connection was not done.
func TestNobodyThere(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	s := sender.New(http.DefaultClient, func(string, string) {})
	err := s.Send(t.Context(), "Commit", http.MethodPost, server.URL, []byte("{}")).WriteError(func() error { return nil })
	assert.Assert(t, unavailable(err), "%v", err)
}

// waitForTheEnd reads the body first: only then a server notices that its client went away.
func waitForTheEnd(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

func unavailable(err error) bool {
	var target *eelgrasspoint.UnavailableError
	return errors.As(err, &target)
}

func unknown(err error) bool {
	var target *eelgrasspoint.UnknownOutcomeError
	return errors.As(err, &target)
}
