package dispatcher_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/transport/dispatcher"
)

// pausedConn holds back what it reads while paused is set.
type pausedConn struct {
	net.Conn
	paused *atomic.Bool
}

func (c *pausedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for c.paused.Load() {
		time.Sleep(time.Millisecond)
	}
	return n, err
}

// TestSilenceCutsNoAnswerThatIsRelayed guards against an answer that its caller gets only a part of, because the
// connection between the nodes was silent for a while and the request could have been repeated.
func TestSilenceCutsNoAnswerThatIsRelayed(t *testing.T) {
	for _, length := range []string{"", "12"} {
		t.Run("length "+length, func(t *testing.T) {
			candidate, _ := serveAttempts(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(eelgrasspoint.HeaderOutcome, eelgrasspoint.Answered.String())
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				_, _ = io.WriteString(w, "begun, ")
				_ = http.NewResponseController(w).Flush()
				select {
				case <-time.After(100 * time.Millisecond):
					_, _ = io.WriteString(w, "ended")
				case <-r.Context().Done():
				}
			})
			var paused atomic.Bool
			d := dispatcher.New(func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return &pausedConn{Conn: conn, paused: &paused}, err
			}, "region", time.Now)
			defer d.Close()
			meta := eelgrasspoint.RequestMetadata{Route: "r", Deadline: time.Now().Add(time.Minute)}
			answer, err := d.RoundTrip(t.Context(), candidate, &eelgrasspoint.Attempt{Meta: meta, Method: http.MethodGet, Target: "/", Header: http.Header{}, GiveUp: func() bool { return true }})
			assert.NilError(t, err)
			defer answer.Response.Body.Close()
			paused.Store(true)
			time.Sleep(eelgrasspoint.PeerSilentAfter + 500*time.Millisecond)
			paused.Store(false)
			body, err := io.ReadAll(answer.Response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "begun, ended")
		})
	}
}
