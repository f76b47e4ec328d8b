package dispatcher_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/transport/dialer"
	"eelgrasspoint/transport/dispatcher"
)

// exitNode serves HTTP/2 without TLS and counts the bytes that come in.
func exitNode(t *testing.T, handler http.HandlerFunc) (*eelgrasspoint.Candidate, *dialer.Dialer) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: handler, Protocols: protocols, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	counted := dialer.New((&net.Dialer{}).DialContext)
	return &eelgrasspoint.Candidate{PeerAddress: netip.MustParseAddrPort(listener.Addr().String())}, counted
}

func carry(ctx context.Context, candidate *eelgrasspoint.Candidate, c *dispatcher.Dispatcher, bodyBytes int) (*eelgrasspoint.Answer, error) {
	return c.RoundTrip(ctx, candidate, &eelgrasspoint.Attempt{
		Meta:   eelgrasspoint.RequestMetadata{Route: "r", RequestID: "1", Deadline: time.Now().Add(5 * time.Second)},
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{},
		Body: io.NopCloser(bytes.NewReader(make([]byte, bodyBytes))), Length: int64(bodyBytes),
	})
}

// TestRefusalCostsNoBody shows that a long body stays with the entry node until the exit node has
// admitted its request.
func TestRefusalCostsNoBody(t *testing.T) {
	const bodyBytes, refusals = 60 << 10, 3
	candidate, counted := exitNode(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(eelgrasspoint.HeaderOutcome, eelgrasspoint.NotRun.String())
		w.Header().Set(eelgrasspoint.HeaderReason, eelgrasspoint.Overloaded.String())
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	c := dispatcher.New(counted.DialContext, "region", time.Now)
	defer c.Close()
	for range refusals {
		_, err := carry(t.Context(), candidate, c, bodyBytes)
		assert.Equal(t, eelgrasspoint.AsOutcome(err).Reason, eelgrasspoint.Overloaded)
	}
	_, written := counted.Bytes()
	assert.Assert(t, written < bodyBytes, "%d bytes written for %d refusals", written, refusals)
}

// TestAdmittedBodyArrives shows that the body follows once the exit node reads it.
func TestAdmittedBodyArrives(t *testing.T) {
	for _, bodyBytes := range []int{0, 100, eelgrasspoint.MaxBodyBytesWithoutContinue, eelgrasspoint.MaxBodyBytesWithoutContinue + 1, 200 << 10} {
		candidate, counted := exitNode(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(eelgrasspoint.HeaderOutcome, eelgrasspoint.Answered.String())
			_, _ = io.Copy(w, r.Body)
		})
		c := dispatcher.New(counted.DialContext, "region", time.Now)
		answer, err := carry(t.Context(), candidate, c, bodyBytes)
		assert.NilError(t, err)
		got, err := io.ReadAll(answer.Response.Body)
		assert.NilError(t, err)
		assert.Equal(t, len(got), bodyBytes)
		answer.Response.Body.Close()
		c.Close()
	}
}
