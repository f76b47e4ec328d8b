package dispatcher_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/transport/dialer"
	"eelgrasspoint/transport/dispatcher"
)

// startExitNode starts an HTTP/2 server without TLS. It returns a candidate with the address of the server
// and a dialer that counts the bytes of its connections.
func startExitNode(t *testing.T, handler http.HandlerFunc) (*eelgrasspoint.Candidate, *dialer.Dialer) {
	t.Helper()
	candidate, _ := serveAttempts(t, handler)
	return candidate, dialer.New((&net.Dialer{}).DialContext)
}

// serveAttempts starts an HTTP/2 server without TLS. It returns the server and a candidate with its address.
func serveAttempts(t *testing.T, handler http.HandlerFunc) (*eelgrasspoint.Candidate, *http.Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: handler, Protocols: protocols, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return &eelgrasspoint.Candidate{PeerAddress: netip.MustParseAddrPort(listener.Addr().String())}, server
}

func sendAttempt(ctx context.Context, candidate *eelgrasspoint.Candidate, d *dispatcher.Dispatcher, bodyBytes int) (*eelgrasspoint.Answer, error) {
	return d.RoundTrip(ctx, candidate, &eelgrasspoint.Attempt{
		Meta:   eelgrasspoint.RequestMetadata{Route: "r", RequestID: "1", Deadline: time.Now().Add(5 * time.Second)},
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{},
		Body: io.NopCloser(bytes.NewReader(make([]byte, bodyBytes))), Length: int64(bodyBytes),
	})
}

// TestRefusedAttemptSendsNoBody checks that a long body is not sent before the exit node has admitted the
// request.
func TestRefusedAttemptSendsNoBody(t *testing.T) {
	const bodyBytes, refusals = 60 << 10, 3
	candidate, countingDialer := startExitNode(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(eelgrasspoint.HeaderOutcome, eelgrasspoint.NotRun.String())
		w.Header().Set(eelgrasspoint.HeaderReason, eelgrasspoint.Overloaded.String())
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	d := dispatcher.New(countingDialer.DialContext, "region", time.Now)
	defer d.Close()
	for range refusals {
		_, err := sendAttempt(t.Context(), candidate, d, bodyBytes)
		assert.Equal(t, eelgrasspoint.AsOutcome(err).Reason, eelgrasspoint.Overloaded)
	}
	_, written := countingDialer.Bytes()
	assert.Assert(t, written < bodyBytes, "%d bytes written for %d refusals", written, refusals)
}

// TestAdmittedAttemptSendsBody checks that a body of any length arrives whole once the exit node reads it.
func TestAdmittedAttemptSendsBody(t *testing.T) {
	for _, bodyBytes := range []int{0, 100, eelgrasspoint.MaxBodyBytesWithoutContinue, eelgrasspoint.MaxBodyBytesWithoutContinue + 1, 200 << 10} {
		candidate, countingDialer := startExitNode(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(eelgrasspoint.HeaderOutcome, eelgrasspoint.Answered.String())
			_, _ = io.Copy(w, r.Body)
		})
		d := dispatcher.New(countingDialer.DialContext, "region", time.Now)
		answer, err := sendAttempt(t.Context(), candidate, d, bodyBytes)
		assert.NilError(t, err)
		got, err := io.ReadAll(answer.Response.Body)
		assert.NilError(t, err)
		assert.Equal(t, len(got), bodyBytes)
		answer.Response.Body.Close()
		d.Close()
	}
}

// TestAttemptIgnoredByStoppingExitNodeDidNotRun: the attempt crosses the GOAWAY frame of an exit node that stops.
func TestAttemptIgnoredByStoppingExitNodeDidNotRun(t *testing.T) {
	for _, bodyBytes := range []int{0, 100, eelgrasspoint.MaxBodyBytesWithoutContinue + 1} {
		t.Run(strconv.Itoa(bodyBytes), func(t *testing.T) {
			var runs atomic.Int32
			running, finish := make(chan struct{}), make(chan struct{})
			candidate, server := serveAttempts(t, func(w http.ResponseWriter, _ *http.Request) {
				runs.Add(1)
				close(running)
				<-finish
				w.Header().Set(eelgrasspoint.HeaderOutcome, eelgrasspoint.Answered.String())
			})
			stopping := make(chan struct{}, 1)
			d := dispatcher.New(dialerWithDelayedReads(stopping), "region", time.Now)
			defer d.Close()
			first := make(chan error)
			go func() {
				answer, err := sendAttempt(t.Context(), candidate, d, 0)
				if err == nil {
					answer.Response.Body.Close()
				}
				first <- err
			}()
			<-running
			go func() { _ = server.Shutdown(t.Context()) }()
			<-stopping
			_, err := sendAttempt(t.Context(), candidate, d, bodyBytes)
			outcome := eelgrasspoint.AsOutcome(err)
			assert.Equal(t, outcome.Outcome, eelgrasspoint.NotRun, "%v", err)
			assert.Assert(t, outcome.Reason.ServerNotReached(), "%v", err)
			close(finish)
			assert.NilError(t, <-first)
			assert.Equal(t, runs.Load(), int32(1))
		})
	}
}

// readDelay is how long the bytes on the connections of dialerWithDelayedReads are under way to the dispatcher.
const readDelay = 100 * time.Millisecond

// dialerWithDelayedReads returns a dialer whose connections send to stopping when a GOAWAY frame is under way.
func dialerWithDelayedReads(stopping chan<- struct{}) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &delayedConn{Conn: conn, stopping: stopping}, nil
	}
}

// delayedConn holds every read back for readDelay.
type delayedConn struct {
	net.Conn
	stopping chan<- struct{}
}

func (c *delayedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if hasGoAway(p[:n]) {
		select {
		case c.stopping <- struct{}{}:
		default:
		}
	}
	time.Sleep(readDelay)
	return n, err
}

// Parts of a frame of HTTP/2 (RFC 9113, section 4.1).
const (
	frameHeaderBytes = 9
	frameTypeOffset  = 3
	goAwayFrame      = 7
)

// hasGoAway reports whether there is a GOAWAY frame among whole frames.
func hasGoAway(frames []byte) bool {
	for len(frames) >= frameHeaderBytes {
		if frames[frameTypeOffset] == goAwayFrame {
			return true
		}
		payload := int(frames[0])<<16 | int(frames[1])<<8 | int(frames[2])
		frames = frames[min(len(frames), frameHeaderBytes+payload):]
	}
	return false
}

// TestAnswerHeadOfManyShortLinesArrives guards against an answer that the exit node may relay, since its head
// is within MaxAnswerHeaderBytes, and the entry node rejects because HTTP/2 counts more bytes.
func TestAnswerHeadOfManyShortLinesArrives(t *testing.T) {
	// Each line has 9 bytes: name, colon, space and the end of the line.
	const lineBytes = 9
	const lines = eelgrasspoint.MaxAnswerHeaderBytes / lineBytes
	candidate, countingDialer := startExitNode(t, func(w http.ResponseWriter, _ *http.Request) {
		for i := range lines {
			w.Header()[fmt.Sprintf("A%04x", i)] = []string{""}
		}
		w.Header().Set(eelgrasspoint.HeaderOutcome, eelgrasspoint.Answered.String())
	})
	d := dispatcher.New(countingDialer.DialContext, "region", time.Now)
	defer d.Close()
	answer, err := sendAttempt(t.Context(), candidate, d, 0)
	assert.NilError(t, err)
	answer.Response.Body.Close()
	assert.Assert(t, len(answer.Response.Header) >= lines, "%d of %d headers arrived", len(answer.Response.Header), lines)
}
