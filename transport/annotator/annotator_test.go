package annotator_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/transport/annotator"
)

// TestOutcomeWithoutHandler checks the outcome header of the responses to requests that net/http rejects before
// it calls a handler, and that it is not added to the response of a handler.
func TestOutcomeWithoutHandler(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{MaxHeaderBytes: 1000, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "handled")
	})}
	go func() { _ = server.Serve(annotator.New(listener)) }()
	defer server.Close()
	cases := []struct {
		request string
		status  int
		outcome string
	}{
		{"GET / HTTP/1.1\r\nHost: x\r\n\r\n", 200, ""},
		{"nonsense\r\n\r\n", 400, "NotRun"},
		{"GET / HTTP/1.1\r\n\r\n", 400, "NotRun"},
		{"GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 20000) + "\r\n\r\n", 431, "NotRun"},
	}
	for _, c := range cases {
		conn, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		_, _ = fmt.Fprint(conn, c.request)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, c.status, "request %.30q", c.request)
		assert.Equal(t, response.Header.Get(eelgrasspoint.HeaderOutcome), c.outcome, "request %.30q", c.request)
		_ = conn.Close()
	}
}
