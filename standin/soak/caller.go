package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

// requestKind is one kind of request that the callers send.
type requestKind struct {
	name, method, path string
	bytes              int
	idempotent         bool
	// homeRegion is the only region that may run the request; empty means any.
	homeRegion string
}

var requestKinds = []requestKind{
	{name: "page", method: http.MethodGet, path: "/catalogue/1", idempotent: true},
	{name: "booking", method: http.MethodPost, path: "/bookings", bytes: 200},
	{name: "photograph", method: http.MethodPost, path: "/photographs", bytes: 150 << 10},
	{name: "statement", method: http.MethodGet, path: "/statements/1", idempotent: true, homeRegion: homeRegion},
	// Requests of the moving route, which operator.moveRoute changes from service to service.
	{name: "moving", method: http.MethodPost, path: "/moving", bytes: 50},
}

// Values of the Eelgrass-Outcome header.
const (
	answered = "Answered"
	notRun   = "NotRun"
)

// Bounds on the time of one request.
const (
	// requestTimeLimit is the Eelgrass-Timeout that callers send. A request is late if it ends more than
	// lateTolerance after the limit.
	requestTimeLimit = 2 * time.Second
	lateTolerance    = 500 * time.Millisecond
	// clientTimeout is how long callers wait for an answer.
	clientTimeout = 10 * time.Second
)

// result describes one request as its caller saw it.
type result struct {
	id                 string
	kind               *requestKind
	vm                 *vm
	startedAt, endedAt time.Time
	// connected is set if the request got a connection, reused if this connection served requests
	// before.
	connected, reused bool

	outcome string
	status  int
	// ownAnswer is set if the answer is complete and belongs to this request: it repeats the identifier, in
	// the header backend.HeaderEcho, and the body.
	ownAnswer bool
	// responseText is the body of a response whose outcome is not Answered.
	responseText string
	err          error
}

var requestCount atomic.Uint64

// sendRequests sends requests to the node on keep-alive connections until the context ends.
func (s *Soak) sendRequests(ctx context.Context, v *vm) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(time.Second / time.Duration(s.options.Rate))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			go func() {
				s.checker.recordResult(s.sendRequest(context.WithoutCancel(ctx), v, client, &requestKinds[s.randomInt(len(requestKinds))]))
			}()
		}
	}
}

// sendRequest sends one request and returns its result.
func (s *Soak) sendRequest(ctx context.Context, v *vm, client *http.Client, k *requestKind) *result {
	r := &result{id: fmt.Sprintf("%d-%d", s.options.Seed, requestCount.Add(1)), kind: k, vm: v, startedAt: time.Now()}
	body := bytes.Repeat([]byte{'.'}, k.bytes)
	copy(body, r.id)
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { r.connected, r.reused = true, info.Reused }}
	request, _ := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), k.method, "http://"+v.node.Callers.String()+k.path, io.NopCloser(bytes.NewReader(body)))
	request.ContentLength = int64(len(body))
	request.Header.Set("Eelgrass-Request-Id", r.id)
	request.Header.Set("Eelgrass-Timeout", requestTimeLimit.String())
	response, err := client.Do(request)
	if err == nil {
		defer response.Body.Close()
		r.status, r.outcome = response.StatusCode, response.Header.Get("Eelgrass-Outcome")
		var got []byte
		got, err = io.ReadAll(response.Body)
		if r.outcome != answered {
			r.responseText = strings.TrimSpace(string(got))
		}
		r.ownAnswer = response.Header.Get("Standin-Request-Id") == r.id && bytes.Equal(got, body)
	}
	r.err, r.endedAt = err, time.Now()
	return r
}
