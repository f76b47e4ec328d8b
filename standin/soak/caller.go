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

// kind is one kind of request.
type kind struct {
	name, method, path string
	bytes              int
	idempotent         bool
	// home is the only region that may run it, if any.
	home string
}

var kinds = []kind{
	{name: "page", method: http.MethodGet, path: "/catalogue/1", idempotent: true},
	{name: "booking", method: http.MethodPost, path: "/bookings", bytes: 200},
	{name: "photograph", method: http.MethodPost, path: "/photographs", bytes: 150 << 10},
	{name: "statement", method: http.MethodGet, path: "/statements/1", idempotent: true, home: homeRegion},
	{name: "moving", method: http.MethodPost, path: "/moving", bytes: 50},
}

// Outcomes as the answers have them.
const (
	answered = "Answered"
	notRun   = "NotRun"
)

// timeLimit is what callers give a request; an answer that takes longer came late.
const (
	timeLimit  = 2 * time.Second
	timeSlack  = 500 * time.Millisecond
	callerWait = 10 * time.Second
)

// result is what a caller saw of one request.
type result struct {
	id           string
	kind         *kind
	vm           *vm
	began, ended time.Time
	// connected is set if there was a connection, reused if it was open before.
	connected, reused bool

	outcome string
	status  int
	// own is set if the whole answer is the one to this request.
	own bool
	// said is the text of an answer that is not the backend server's.
	said string
	err  error
}

var requestNumber atomic.Uint64

// call sends requests to the node until the context ends, on connections that are kept.
func (s *Soak) call(ctx context.Context, v *vm) {
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
				s.checker.finished(s.request(context.WithoutCancel(ctx), v, client, &kinds[s.draw(len(kinds))]))
			}()
		}
	}
}

// request sends one request.
func (s *Soak) request(ctx context.Context, v *vm, client *http.Client, k *kind) *result {
	r := &result{id: fmt.Sprintf("%d-%d", s.options.Seed, requestNumber.Add(1)), kind: k, vm: v, began: time.Now()}
	body := bytes.Repeat([]byte{'.'}, k.bytes)
	copy(body, r.id)
	ctx, cancel := context.WithTimeout(ctx, callerWait)
	defer cancel()
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { r.connected, r.reused = true, info.Reused }}
	request, _ := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), k.method, "http://"+v.node.Callers.String()+k.path, io.NopCloser(bytes.NewReader(body)))
	request.ContentLength = int64(len(body))
	request.Header.Set("Eelgrass-Request-Id", r.id)
	request.Header.Set("Eelgrass-Timeout", timeLimit.String())
	response, err := client.Do(request)
	if err == nil {
		defer response.Body.Close()
		r.status, r.outcome = response.StatusCode, response.Header.Get("Eelgrass-Outcome")
		var got []byte
		got, err = io.ReadAll(response.Body)
		if r.outcome != answered {
			r.said = strings.TrimSpace(string(got))
		}
		r.own = response.Header.Get("Standin-Request-Id") == r.id && bytes.Equal(got, body)
	}
	r.err, r.ended = err, time.Now()
	return r
}
