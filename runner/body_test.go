package runner_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/state/loader"
)

func startServer(t *testing.T, handler http.HandlerFunc) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// readBody is a backend server that answers once it has read the whole body.
func readBody(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err == nil {
		w.WriteHeader(http.StatusNoContent)
	}
}

// unfinishedBody is a body whose caller falls silent after its first two bytes.
type unfinishedBody struct {
	name   string
	length int64
	status int
}

var unfinishedBodies = []unfinishedBody{
	{"buffered", 4, http.StatusServiceUnavailable},
	{"of unknown length", -1, http.StatusGatewayTimeout},
	{"too long to buffer", eelgrasspoint.MaxReplayBytes + 1, http.StatusGatewayTimeout},
}

// sendUnfinished sends the beginning of a request over HTTP/1.1.
func (b *unfinishedBody) sendUnfinished(t *testing.T, node *loader.Settings) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", node.CallerAddress.String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	framing := fmt.Sprintf("Content-Length: %d\r\n\r\nab", b.length)
	if b.length < 0 {
		framing = "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
	}
	_, err = io.WriteString(conn, "POST /bookings HTTP/1.1\r\nHost: h\r\n"+framing)
	assert.NilError(t, err)
	return conn
}

// TestSilentCallerIsAnsweredAtTheDeadline guards against a request without an answer, or a connection that stays
// open, because the rest of the request's body never comes.
func TestSilentCallerIsAnsweredAtTheDeadline(t *testing.T) {
	n := startNodesBeside(t, startServer(t, readBody))
	for _, node := range []*loader.Settings{n.entry, n.exit} {
		for _, c := range unfinishedBodies {
			t.Run(c.name+", at the "+node.Name+" node", func(t *testing.T) {
				t.Parallel()
				conn := c.sendUnfinished(t, node)
				assert.NilError(t, conn.SetDeadline(time.Now().Add(bodyTimeLimit+500*time.Millisecond)))
				reader := bufio.NewReader(conn)
				response, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, c.status)
				assert.Assert(t, response.Close, "the connection is not announced to be closed")
				_, err = io.Copy(io.Discard, response.Body)
				assert.NilError(t, err)
				_, err = reader.ReadByte()
				assert.ErrorIs(t, err, io.EOF)
			})
		}
	}
}

// TestSilentCallerOfHTTP2IsAnsweredAtTheDeadline guards against a stream that is never answered because the rest of
// its body never comes.
func TestSilentCallerOfHTTP2IsAnsweredAtTheDeadline(t *testing.T) {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	t.Cleanup(transport.CloseIdleConnections)
	n := startNodesBeside(t, startServer(t, readBody))
	for _, node := range []*loader.Settings{n.entry, n.exit} {
		for _, c := range unfinishedBodies {
			t.Run(c.name+", at the "+node.Name+" node", func(t *testing.T) {
				t.Parallel()
				source, writer := io.Pipe()
				t.Cleanup(func() { _ = writer.Close() })
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+node.CallerAddress.String()+"/bookings", source)
				assert.NilError(t, err)
				request.ContentLength = c.length
				go func() { _, _ = writer.Write([]byte("ab")) }()
				client := &http.Client{Transport: transport, Timeout: bodyTimeLimit + 500*time.Millisecond}
				response, err := client.Do(request)
				assert.NilError(t, err)
				defer response.Body.Close()
				assert.Equal(t, response.StatusCode, c.status)
			})
		}
	}
}

// TestRefusedCallerIsNotAwaited guards against a connection that stays open after a refusal because the rest of the
// request's body never comes.
func TestRefusedCallerIsNotAwaited(t *testing.T) {
	n := startNodesBeside(t, startServer(t, readBody))
	conn, err := net.Dial("tcp", n.entry.CallerAddress.String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /bookings HTTP/1.1\r\nHost: h\r\nEelgrass-Timeout: soon\r\nContent-Length: 4\r\n\r\nab")
	assert.NilError(t, err)
	assert.NilError(t, conn.SetDeadline(time.Now().Add(time.Second)))
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	_, err = reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}
