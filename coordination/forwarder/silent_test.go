package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
)

// TestStopAnswersSilentCaller guards against a request that gets no answer when a stopping node cancels it, because
// the node waits for the rest of the request's body.
func TestStopAnswersSilentCaller(t *testing.T) {
	cases := []struct {
		name, framing string
		status        int
	}{
		{"buffered", "Content-Length: 4\r\n\r\nab", http.StatusServiceUnavailable},
		{"of unknown length", "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", http.StatusBadGateway},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEntry(&eelgrasspoint.Route{TimeLimit: time.Minute}, map[string]attemptFunc{"b": readBody(answer(http.StatusOK))})
			base, cancel := context.WithCancel(t.Context())
			server := httptest.NewUnstartedServer(e.handler)
			server.Config.BaseContext = func(net.Listener) context.Context { return base }
			server.Start()
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			assert.NilError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, "POST /1 HTTP/1.1\r\nHost: h\r\n"+c.framing)
			assert.NilError(t, err)
			time.AfterFunc(100*time.Millisecond, cancel)
			assert.NilError(t, conn.SetDeadline(time.Now().Add(time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			defer response.Body.Close()
			assert.Equal(t, response.StatusCode, c.status)
		})
	}
}

// TestConnectionOutlastsTimeout guards against a connection that fails its next request after one whose time was over
// once its body had been read.
func TestConnectionOutlastsTimeout(t *testing.T) {
	e := newEntry(&eelgrasspoint.Route{TimeLimit: 200 * time.Millisecond}, map[string]attemptFunc{
		"b": inTurn(readBody(after(time.Minute, answer(http.StatusOK))), readBody(answer(http.StatusOK))),
	})
	server := httptest.NewServer(e.handler)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(2*time.Second)))
	reader := bufio.NewReader(conn)
	for _, status := range []int{http.StatusGatewayTimeout, http.StatusOK} {
		_, err = io.WriteString(conn, "POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n")
		assert.NilError(t, err)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, status)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
	}
}
