package executor_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
)

// TestHealthOfEarlierIncarnationIsIgnored guards against a cold backend server that gets full load, because a health
// check of the incarnation before it was answered late.
func TestHealthOfEarlierIncarnationIsIgnored(t *testing.T) {
	asked, answer := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			close(asked)
			<-answer
			w.Header().Set(slownessHeader, "5")
		}
	}))
	defer server.Close()
	e, a := newExecutorAndAdmitter(t, &fakeServer{})
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	backend := &eelgrasspoint.BackendServer{Service: "s", Address: address, Incarnation: 2, Slots: 4, Connections: 4}
	e.SetBackend(backend)
	attempted := make(chan struct{})
	go func() {
		defer close(attempted)
		_, _ = e.RoundTrip(t.Context(), nil, newAttempt(false, time.Second))
	}()
	<-asked
	restarted := *backend
	restarted.Incarnation++
	a.SetCold(time.Minute)
	e.SetBackend(&restarted)
	close(answer)
	<-attempted
	assert.Assert(t, a.Cold())
	assert.Equal(t, e.Load().Slowness, 0.0)
}

// TestHealthOfAnotherServerIsNoNotice guards against a backend server that gets no requests, because another one that has
// its address now says in a health check that it leaves.
func TestHealthOfAnotherServerIsNoNotice(t *testing.T) {
	for id, leaving := range map[string]bool{"other": false, "own": true} {
		running, end := make(chan struct{}), make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/health" {
				close(running)
				<-end
				return
			}
			w.Header().Set(idHeader, id)
			w.Header().Set(eelgrasspoint.HeaderLeaving, "1")
		}))
		defer server.Close()
		e := newExecutor(t, &fakeServer{})
		address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
		e.SetBackend(&eelgrasspoint.BackendServer{ID: "own", Service: "s", Address: address, Incarnation: 2, Slots: 4, Connections: 4})
		go func() { _, _ = e.RoundTrip(t.Context(), nil, newAttempt(false, time.Second)) }()
		<-running
		got := e.Notice().Leaving
		close(end)
		assert.Equal(t, got, leaving, id)
	}
}

// TestHealthPathIsSentAsConfigured guards against a healthy backend server that the node does not find, or whose load it does not
// know, since the operators' health path has a query or an escape.
func TestHealthPathIsSentAsConfigured(t *testing.T) {
	received := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { received <- r.RequestURI }))
	defer server.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	e := newExecutor(t, &fakeServer{})
	for path, want := range map[string]string{
		"/health": "/health", "/health?deep=1": "/health?deep=1", "/he%61lth/%2F": "/he%61lth/%2F", "//health": "//health", "health": "/health",
		"/a health": "/a%20health", "/caf\u00e9": "/caf%C3%A9", "/100%": "/100%25",
	} {
		_, err := e.CheckHealth(t.Context(), address, path)
		assert.NilError(t, err, path)
		assert.Equal(t, <-received, want)
	}
}
