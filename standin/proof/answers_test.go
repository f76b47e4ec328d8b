package proof

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/standin/backend"
)

// withAnswer runs a check against a pair whose backend server for bookings answers with the head, to which the
// identifier of the request is added.
func withAnswer(t *testing.T, head string, check func(t *testing.T, p *pair)) {
	t.Helper()
	withPair(t, backend.Behavior{}, func(t *testing.T, p *pair) {
		p.exit.KillBackend()
		listener, err := p.Network.Listen("tcp", p.exit.BackendAddress().String())
		assert.NilError(t, err)
		defer listener.Close()
		go serveAnswers(listener, head)
		time.Sleep(100 * time.Millisecond)
		check(t, p)
	})
}

func serveAnswers(listener net.Listener, head string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = fmt.Fprintf(conn, "%s\r\n%s: %s\r\n\r\n", head, eelgrasspoint.HeaderRequestID, request.Header.Get(eelgrasspoint.HeaderRequestID))
			}
		}()
	}
}

// TestStatusThatEndsNoRequestIsBadAnswer guards against a caller's connection that ends without an answer.
func TestStatusThatEndsNoRequestIsBadAnswer(t *testing.T) {
	for _, status := range []string{"000", "050", "101"} {
		for _, local := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s-local=%v", status, local), func(t *testing.T) {
				withAnswer(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 0", func(t *testing.T, p *pair) {
					node := p.entry
					if local {
						node = p.exit
					}
					got := p.send(node, http.MethodPost, "/bookings", "b", nil)
					assert.Equal(t, got.outcome, "MayHaveRun", "%+v", got)
					assert.Equal(t, got.reason, "BadAnswer")
					assert.Equal(t, got.status, http.StatusBadGateway)
				})
			})
		}
	}
}

// TestAnswerWithoutBodyKeepsStatus: such an answer may state the length of a body that it doesn't have.
func TestAnswerWithoutBodyKeepsStatus(t *testing.T) {
	for _, status := range []int{http.StatusNoContent, http.StatusNotModified} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			withAnswer(t, fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 2", status), func(t *testing.T, p *pair) {
				for _, node := range p.Nodes {
					got := p.send(node, http.MethodPost, "/bookings", "b", nil)
					assert.Equal(t, got.outcome, "Answered", "%+v", got)
					assert.Equal(t, got.status, status)
				}
			})
		})
	}
}
