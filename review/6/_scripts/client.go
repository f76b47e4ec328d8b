package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// result is how a client attempt ended.
type result struct {
	id string
	// status is zero if the connection ended without a whole answer.
	status       int
	stamp        string
	sent, ended  time.Duration
	err          error
	bytes        int
	bodyComplete bool
}

// clients are the clients on the machine of a node.
type clients struct {
	*record
	node      *node
	transport *http.Transport
	// expected returns the body of the answer to a request.
	expected func(id string) string

	mu      sync.Mutex
	results []result
	group   sync.WaitGroup
}

func newClients(r *record, n *node) *clients {
	return &clients{record: r, node: n, expected: doneAnswer, transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 200, IdleConnTimeout: 10 * time.Second,
		DisableCompression: true,
	}}
}

// send sends one request, which is not sent again, in its own goroutine.
func (c *clients) send(method, host, path string, body []byte, deadline time.Duration) {
	c.group.Go(func() {
		id := fmt.Sprintf("%016x", rand.Uint64())
		request, _ := http.NewRequest(method, "http://"+c.node.outbound+path, nil)
		request.Host = host
		// The body can't be read again, so that net/http sends the request once.
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		request.Header.Set(wire.Headers.RequestID, id)
		request.Header.Set(wire.Headers.Deadline, strconv.FormatInt(deadline.Milliseconds(), 10))
		c.note("client at %s: %s sent, %s %s%s, %d bytes", c.node.name, id, method, host, path, len(body))
		res := result{id: id, sent: time.Since(c.start)}
		c.receive(request, &res)
		res.ended = time.Since(c.start)
		c.note("client at %s: %s gets status %d, stamp %q, error %v, after %v", c.node.name, id, res.status, res.stamp, res.err, (res.ended - res.sent).Round(time.Millisecond))
		c.mu.Lock()
		defer c.mu.Unlock()
		c.results = append(c.results, res)
	})
}

// receive waits for the answer.
func (c *clients) receive(request *http.Request, res *result) {
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		res.err = err
		return
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		res.err = err
		return
	}
	res.status, res.stamp = response.StatusCode, response.Header.Get(wire.Headers.Stamp)
	res.bytes, res.bodyComplete = len(text), string(text) == c.expected(res.id)
}

// wait waits for all answers and returns them.
func (c *clients) wait() []result {
	c.group.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.results
}

// countStatuses counts the results by status.
func countStatuses(results []result) map[int]int {
	counts := make(map[int]int)
	for _, r := range results {
		counts[r.status]++
	}
	return counts
}
