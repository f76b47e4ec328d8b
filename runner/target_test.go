package runner_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint/state/loader"
)

// targets are request targets in origin form.
var targets = []string{
	"/", "/?", "/?a=b?c", "/bookings?q=1", "/a//b", "/a?b=//c", "/*", "/%2f", "/%2F/x", "/a%20b", "/a;b=c/../d/./e", "/a{b}|c",
	"//", "//?", "//x", "///", "//x/bookings?q=1", "//x/bookings?", "///x//y?b=//c?d", "//%2f", "//x%20y/%7Ea", "//x:80/@a", "//user@x/[y]!$&'()*+,;=",
	"//x?%zz={|}",
}

// requestTarget sends a request with the target and returns the status and the target that the backend server got.
func requestTarget(t *testing.T, node *loader.Settings, target string) (status int, received string) {
	t.Helper()
	conn, err := net.Dial("tcp", node.CallerAddress.String())
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(2*bodyTimeLimit)))
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", target)
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	return response.StatusCode, response.Header.Get("Received-Target")
}

func startTargetNodes(t *testing.T) *nodes {
	t.Helper()
	return startNodesBeside(t, startServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Received-Target", r.RequestURI)
	}))
}

// TestTargetArrivesUnchanged guards against a backend server that gets another path or query than the caller sent.
func TestTargetArrivesUnchanged(t *testing.T) {
	n := startTargetNodes(t)
	for _, node := range []*loader.Settings{n.entry, n.exit} {
		for _, target := range targets {
			t.Run(target+", at the "+node.Name+" node", func(t *testing.T) {
				status, received := requestTarget(t, node, target)
				assert.Equal(t, status, http.StatusOK)
				assert.Equal(t, received, target)
			})
		}
	}
}

// TestAbsoluteTarget guards against a change of the path and query of a target in absolute form. A node that passes
// it on to another drops the scheme and host, which are those of the Host header.
func TestAbsoluteTarget(t *testing.T) {
	n := startTargetNodes(t)
	for _, path := range []string{"/bookings?q=1", "/", "//x/bookings?q=1"} {
		for node, want := range map[*loader.Settings]string{n.exit: "http://h" + path, n.entry: path} {
			t.Run(path+", at the "+node.Name+" node", func(t *testing.T) {
				status, received := requestTarget(t, node, "http://h"+path)
				assert.Equal(t, status, http.StatusOK)
				assert.Equal(t, received, want)
			})
		}
	}
}

// TestTargetThatCannotBePassedOnIsRefused guards against a target that reaches the backend server with other escapes
// than the caller's.
func TestTargetThatCannotBePassedOnIsRefused(t *testing.T) {
	n := startTargetNodes(t)
	for _, node := range []*loader.Settings{n.entry, n.exit} {
		for _, target := range []string{"//a{b}", "//a#b", "//a\"b", "//\xff"} {
			t.Run(target+", at the "+node.Name+" node", func(t *testing.T) {
				status, received := requestTarget(t, node, target)
				assert.Equal(t, status, http.StatusBadRequest)
				assert.Equal(t, received, "")
			})
		}
	}
}
