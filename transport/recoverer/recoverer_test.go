package recoverer_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/transport/recoverer"
)

// eventList keeps what is recorded.
type eventList struct{ events []eelgrasspoint.Event }

func (l *eventList) Record(event eelgrasspoint.Event) { l.events = append(l.events, event) }

func newRecoverer(list *eventList, panics *int, handler http.HandlerFunc) *recoverer.Recoverer {
	return recoverer.New(recoverer.Options{
		Server: "callers", Recorder: list, Count: func(string) { *panics++ },
		RequestID: func(r *http.Request) string { return r.Header.Get("X-Id") },
		Respond:   func(w http.ResponseWriter, requestID string) { http.Error(w, requestID, http.StatusBadGateway) },
	}, handler)
}

// TestPanicLeavesEvent guards against a panic that ends a connection with no event, so that it looks like a
// caller that left.
func TestPanicLeavesEvent(t *testing.T) {
	var none []int
	cases := []struct {
		name    string
		handler http.HandlerFunc
		events  int
	}{
		{"index out of range", func(http.ResponseWriter, *http.Request) { _ = none[len(none)-1] }, 1},
		{"aborted by the handler", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 0},
		{"no panic", func(http.ResponseWriter, *http.Request) {}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			list, panics := &eventList{}, 0
			r := httptest.NewRequest(http.MethodGet, "/", nil)
			r.Header.Set("X-Id", "77")
			func() {
				defer func() { _ = recover() }()
				newRecoverer(list, &panics, c.handler).ServeHTTP(httptest.NewRecorder(), r)
			}()
			assert.Equal(t, len(list.events), c.events)
			assert.Equal(t, panics, c.events)
			for _, event := range list.events {
				assert.Equal(t, event.Number, eelgrasspoint.EventHandlerPanicked)
				assert.Equal(t, event.RequestID, "77")
				assert.Assert(t, strings.Contains(event.Detail, "index out of range [-1]"), event.Detail)
				assert.Equal(t, event.Inputs[0], eelgrasspoint.Input{Name: "Server", Value: "callers"})
			}
		})
	}
}

// TestPanicIsAnswered guards against a caller that gets a closed connection in place of an answer, and against
// an answer that looks complete although its handler panicked.
func TestPanicIsAnswered(t *testing.T) {
	cases := []struct {
		name   string
		write  func(w http.ResponseWriter)
		status int
	}{
		{"before the answer", func(http.ResponseWriter) {}, http.StatusBadGateway},
		{"after an informational answer", func(w http.ResponseWriter) { w.WriteHeader(http.StatusProcessing) }, http.StatusBadGateway},
		{"after a header", func(w http.ResponseWriter) { w.Header().Set("Content-Length", "1") }, http.StatusBadGateway},
		{"after the status", func(w http.ResponseWriter) { w.WriteHeader(http.StatusOK) }, 0},
		{"within the body", func(w http.ResponseWriter) { _, _ = w.Write([]byte("part")) }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			list, panics := &eventList{}, 0
			server := httptest.NewServer(newRecoverer(list, &panics, func(w http.ResponseWriter, _ *http.Request) {
				c.write(w)
				panic("fault")
			}))
			defer server.Close()
			response, err := http.Post(server.URL, "text/plain", strings.NewReader("body"))
			if c.status == 0 {
				assert.Assert(t, err != nil || readFails(response))
				return
			}
			assert.NilError(t, err)
			defer response.Body.Close()
			assert.Equal(t, response.StatusCode, c.status)
			assert.Assert(t, response.Close)
		})
	}
}

// readFails reports whether the body breaks off.
func readFails(response *http.Response) bool {
	defer response.Body.Close()
	_, err := io.ReadAll(response.Body)
	return err != nil
}
