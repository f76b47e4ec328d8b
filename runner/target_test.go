package runner_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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
	for _, path := range []string{"/bookings?q=1", "/", "//x/bookings?q=1", "/?q=http://x", "/bookings%2F7"} {
		for node, want := range map[*loader.Settings]string{n.exit: "http://h" + path, n.entry: path} {
			t.Run(path+", at the "+node.Name+" node", func(t *testing.T) {
				status, received := requestTarget(t, node, "http://h"+path)
				assert.Equal(t, status, http.StatusOK)
				assert.Equal(t, received, want)
			})
		}
	}
}

// heads are of proper requests in forms that are rarely used.
var heads = []string{
	"GET /bookings HTTP/1.0\r\nHost: h\r\n\r\n",
	"GET /bookings HTTP/1.0\r\n\r\n",
	"GET /bookings HTTP/1.1\r\nhOST:h:80\r\n\r\n",
	"GET /bookings HTTP/1.1\r\nHost: DESK.example.\r\n\r\n",
	"GET /bookings HTTP/1.1\r\nHost: [::1]:80\r\n\r\n",
	"GET /bookings HTTP/1.1\r\nHost:\r\n\r\n",
	"GET /%62ookings HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET http://h/bookings HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET http://h:80/bookings HTTP/1.1\r\nHost: other\r\n\r\n",
	"GET HTTP://H:80/bookings HTTP/1.1\r\nHost: other\r\n\r\n",
	"GET http://h HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET http://h?a=b HTTP/1.1\r\nHost: h\r\n\r\n",
	"PROPFIND /bookings HTTP/1.1\r\nHost: h\r\n\r\n",
	"OPTIONS /bookings HTTP/1.1\r\nHost: h\r\n\r\n",
	"DELETE /bookings HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
	"POST /bookings HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n1;x=y\r\na\r\n0\r\n\r\n",
	"POST /bookings HTTP/1.1\r\nHost: h\r\nExpect: 100-Continue\r\nContent-Length: 1\r\n\r\na",
	"GET /bookings HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n",
}

// TestProperRequestsAreServed guards against a proper request that is answered with 400, 404 or another status of the node.
func TestProperRequestsAreServed(t *testing.T) {
	n := startTargetNodes(t)
	for _, node := range []*loader.Settings{n.entry, n.exit} {
		for _, head := range heads {
			t.Run(strings.ReplaceAll(head, "\r\n", "|")+", at the "+node.Name+" node", func(t *testing.T) {
				conn, err := net.Dial("tcp", node.CallerAddress.String())
				assert.NilError(t, err)
				defer conn.Close()
				assert.NilError(t, conn.SetDeadline(time.Now().Add(2*bodyTimeLimit)))
				_, err = io.WriteString(conn, head)
				assert.NilError(t, err)
				reader := bufio.NewReader(conn)
				response, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err)
				if response.StatusCode == http.StatusContinue {
					response, err = http.ReadResponse(reader, nil)
					assert.NilError(t, err)
				}
				defer response.Body.Close()
				assert.Equal(t, response.StatusCode, http.StatusOK)
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
