package executor_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/standin/babbler"
	"eelgrasspoint/standin/narrower"
)

const (
	// largeBodyBytes is more than fits into the buffers of a connection whose server doesn't read and has a small window.
	largeBodyBytes = 4 << 20
	partOfAnswer   = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"
)

// serveEarly answers the requests on all connections that the listener accepts, as answerEarly does.
func serveEarly(listener net.Listener, end func(conn *net.TCPConn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go answerEarly(conn, end)
	}
}

// answerEarly answers a request before it has read the body, and ends the connection with end.
func answerEarly(conn net.Conn, end func(conn *net.TCPConn)) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, _ = io.WriteString(conn, partOfAnswer)
	time.Sleep(5 * time.Millisecond)
	end(conn.(*net.TCPConn))
}

func resetConn(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

func endOrderly(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}

// TestResetWhileTheRequestIsWritten guards against an early answer without a length that is taken for a whole one though its
// server crashed, as the write of the request's body was told of the reset; and against a whole one that is taken for a part.
func TestResetWhileTheRequestIsWritten(t *testing.T) {
	const rounds = 100
	cases := []struct {
		name  string
		end   func(conn *net.TCPConn)
		whole bool
	}{
		{"reset", resetConn, false},
		{"orderly end", endOrderly, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			listener, err := narrower.Listen(t.Context())
			assert.NilError(t, err)
			defer listener.Close()
			_, e := startBabbler(t, babbler.Script{})
			e.SetBackend(&eelgrasspoint.BackendServer{
				Service: "s", Address: netip.MustParseAddrPort(listener.Addr().String()), Incarnation: 2, Slots: 64, Connections: 64,
			})
			go serveEarly(listener, c.end)
			looksWhole := 0
			for range rounds {
				if readLargeUpload(t, e) == nil {
					looksWhole++
				}
			}
			want := 0
			if c.whole {
				want = rounds
			}
			assert.Equal(t, looksWhole, want, "of %d answers", rounds)
			assert.Equal(t, e.Load().InUse, uint32(0))
		})
	}
}

// readLargeUpload sends a request with a large body and returns the error of the answer or of its body.
func readLargeUpload(t *testing.T, e eelgrasspoint.RoundTripper) error {
	t.Helper()
	attempt := newAttempt(true, 0)
	attempt.Method, attempt.Length = http.MethodPost, largeBodyBytes
	attempt.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", largeBodyBytes)))
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	answer, err := e.RoundTrip(ctx, nil, attempt)
	if err != nil {
		return err
	}
	defer answer.Response.Body.Close()
	_, err = io.ReadAll(answer.Response.Body)
	return err
}
