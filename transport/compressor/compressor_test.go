package compressor_test

import (
	"compress/gzip"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrasspoint/transport/compressor"
)

const path = "/Configuration"

// TestAnswersAreWholeInEitherForm guards against an answer that a caller can't read, and against one that is sent whole to a
// caller that could read it compressed.
func TestAnswersAreWholeInEitherForm(t *testing.T) {
	long := strings.Repeat("/route-of-the-service/", 1000)
	cases := []struct {
		name, path, accepts, body string
		status                    int
		compressed                bool
	}{
		{"long", path, "gzip", long, http.StatusOK, true},
		{"to a caller of an earlier version", path, "", long, http.StatusOK, false},
		{"of another call", "/Members", "gzip", long, http.StatusOK, false},
		{"short", path, "gzip", "short", http.StatusOK, false},
		{"empty", path, "gzip", "", http.StatusOK, false},
		{"an error", path, "gzip", long, http.StatusInternalServerError, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			handler := compressor.New(path, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "application/protobuf")
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			}))
			// The second answer is compressed already.
			for range 2 {
				request := httptest.NewRequest(http.MethodPost, c.path, nil)
				request.Header.Set("Accept-Encoding", c.accepts)
				recorder := httptest.NewRecorder()
				handler.ServeHTTP(recorder, request)
				assert.Equal(t, recorder.Code, c.status)
				assert.Equal(t, recorder.Header().Get("Content-Type"), "application/protobuf")
				assert.Equal(t, recorder.Header().Get("Content-Encoding") == "gzip", c.compressed)
				assert.Equal(t, read(t, recorder.Body, c.compressed), c.body)
			}
		})
	}
}

// TestNextAnswerIsNotTheOneBefore guards against a new configuration in place of which callers get the one before.
func TestNextAnswerIsNotTheOneBefore(t *testing.T) {
	var calls atomic.Int32
	bodies := []string{strings.Repeat("one", 1000), strings.Repeat("two", 1000)}
	handler := compressor.New(path, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, bodies[int(calls.Add(1)-1)%len(bodies)])
	}))
	for i := range 4 {
		request := httptest.NewRequest(http.MethodPost, path, nil)
		request.Header.Set("Accept-Encoding", "gzip")
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		assert.Equal(t, read(t, recorder.Body, true), bodies[i%len(bodies)])
	}
}

func read(t *testing.T, body io.Reader, compressed bool) string {
	t.Helper()
	if compressed {
		reader, err := gzip.NewReader(body)
		assert.NilError(t, err)
		body = reader
	}
	data, err := io.ReadAll(body)
	assert.NilError(t, err)
	return string(data)
}
