package proof

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/standin/backend"
)

// answerRaw replaces the backend server beside the exit node by one that answers every request with the bytes.
// The returned function ends it.
func answerRaw(t *testing.T, p *pair, answer string) func() {
	t.Helper()
	const backendPort = 8000
	address := netip.AddrPortFrom(p.exit.Host, backendPort)
	p.exit.KillBackend()
	listener, err := p.Network.Listen("tcp", address.String())
	assert.NilError(t, err)
	serve := func(conn net.Conn) {
		defer conn.Close()
		requests := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return func() { p.Network.Kill(address) }
}

// TestAnswerWithoutFinalStatus guards against a connection that is closed without an answer, and against a
// success that no backend server gave, when a backend server answers with a status that is not final.
func TestAnswerWithoutFinalStatus(t *testing.T) {
	cases := []struct{ name, answer string }{
		{"042", "HTTP/1.1 042 Unknown\r\nContent-Length: 0\r\n\r\n"},
		{"000", "HTTP/1.1 000 Unknown\r\nContent-Length: 4\r\n\r\nbody"},
		{"101", "HTTP/1.1 101 Switching Protocols\r\n\r\n"},
		{"101 with Upgrade", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nbytes"},
	}
	for _, c := range cases {
		for _, ownNode := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/own node %v", c.name, ownNode), func(t *testing.T) {
				withPair(t, backend.Behavior{}, func(t *testing.T, p *pair) {
					defer answerRaw(t, p, c.answer)()
					node := p.entry
					if ownNode {
						node = p.exit
					}
					got := p.send(node, http.MethodPost, "/bookings", "b", nil)
					assert.Equal(t, got.status, http.StatusBadGateway, "%+v", got)
					assert.Equal(t, got.reason, eelgrasspoint.BadAnswer.String())
					assert.Equal(t, got.outcome, eelgrasspoint.MayHaveRun.String())
				})
			})
		}
	}
}

// TestTrailersThatFrameAMessage guards against an answer that its caller can't read, since a backend server
// repeats Content-Length or Transfer-Encoding in the trailers.
func TestTrailersThatFrameAMessage(t *testing.T) {
	for _, name := range []string{"Content-Length", "Transfer-Encoding", "Trailer"} {
		for _, ownNode := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/own node %v", name, ownNode), func(t *testing.T) {
				withPair(t, backend.Behavior{}, func(t *testing.T, p *pair) {
					chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n4\r\nbody\r\n0\r\n"
					defer answerRaw(t, p, chunked+name+": 7\r\nX-Sum: 9\r\n\r\n")()
					node := p.entry
					if ownNode {
						node = p.exit
					}
					response, err := p.client.Get(node.URL("/bookings"))
					assert.NilError(t, err)
					defer response.Body.Close()
					body, err := io.ReadAll(response.Body)
					assert.NilError(t, err)
					assert.Equal(t, string(body), "body")
					assert.Equal(t, response.Trailer.Get("X-Sum"), "9")
					assert.Equal(t, response.Trailer.Get(name), "")
				})
			})
		}
	}
}

// TestLengthWithoutBody guards against an answer without a body that is replaced by 502 on its way from an exit
// node, since its Content-Length is that of a body that was not sent.
func TestLengthWithoutBody(t *testing.T) {
	for _, status := range []int{http.StatusNotModified, http.StatusNoContent} {
		for _, method := range []string{http.MethodGet, http.MethodHead} {
			for _, ownNode := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d %s/own node %v", status, method, ownNode), func(t *testing.T) {
					withPair(t, backend.Behavior{}, func(t *testing.T, p *pair) {
						defer answerRaw(t, p, fmt.Sprintf("HTTP/1.1 %d None\r\nContent-Length: 4\r\n\r\n", status))()
						node := p.entry
						if ownNode {
							node = p.exit
						}
						got := p.send(node, method, "/bookings", "", nil)
						assert.Equal(t, got.status, status, "%+v", got)
						assert.Equal(t, got.outcome, eelgrasspoint.Answered.String())
					})
				})
			}
		}
	}
}
