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

// TestOnlyAProofWithdrawsAnAttempt guards against an attempt that is given up, and its request sent again, since its
// connection was silent for a while: only the answer of the exit node that it has not begun allows that. An earlier version
// of the program, and a node that the attempt has reached, give none.
func TestOnlyAProofWithdrawsAnAttempt(t *testing.T) {
	cases := map[string]struct {
		answer    func(w http.ResponseWriter)
		withdrawn bool
	}{
		"earlier version":       {func(w http.ResponseWriter) { w.WriteHeader(http.StatusNotFound) }, false},
		"attempt has arrived":   {func(w http.ResponseWriter) { w.WriteHeader(http.StatusNoContent) }, false},
		"attempt has not begun": {func(w http.ResponseWriter) { w.Header().Set(eelgrasspoint.HeaderWithdraw, "1") }, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var asked atomic.Int32
			candidate, _ := serveAttempts(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(eelgrasspoint.HeaderWithdraw) != "" {
					asked.Add(1)
					c.answer(w)
					return
				}
				w.Header().Set(eelgrasspoint.HeaderOutcome, eelgrasspoint.Answered.String())
			})
			var paused atomic.Bool
			d := dispatcher.New(pausingFirst(&paused), "region", time.Now)
			defer d.Close()
			paused.Store(true)
			time.AfterFunc(time.Second, func() { paused.Store(false) })
			meta := eelgrasspoint.RequestMetadata{Route: "r", RequestID: "1", Deadline: time.Now().Add(time.Minute)}
			answer, err := d.RoundTrip(t.Context(), candidate, &eelgrasspoint.Attempt{Meta: meta, Method: http.MethodGet, Target: "/", Header: http.Header{}})
			assert.Equal(t, asked.Load(), int32(1))
			if c.withdrawn {
				outcome := eelgrasspoint.AsOutcome(err)
				assert.Equal(t, outcome.Outcome, eelgrasspoint.NotRun)
				assert.Equal(t, outcome.Reason, eelgrasspoint.Withdrawn)
				return
			}
			assert.NilError(t, err)
			answer.Response.Body.Close()
		})
	}
}

// pausingFirst returns a function that opens connections, of which the first holds back what it reads while paused is set.
func pausingFirst(paused *atomic.Bool) func(ctx context.Context, network, address string) (net.Conn, error) {
	var opened atomic.Int32
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil || opened.Add(1) > 1 {
			return conn, err
		}
		return &pausedConn{Conn: conn, paused: paused}, nil
	}
}
