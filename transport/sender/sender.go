// Package sender makes the HTTP calls to a store and classifies their results.
package sender

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"eelgrasspoint"
	"eelgrasspoint/transport/dialer"
	"eelgrasspoint/transport/timer"
)

// maxResponseBytes bounds a response body.
const maxResponseBytes = 16 << 20

// Sender makes calls to a store. It is safe for concurrent use.
type Sender struct {
	client *http.Client
	count  func(call, result string)
}

// Result is the response to one call, or its error.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
	// Err is set if there is no response, its body could not be read, or its status is not 200 to 299.
	Err error
	// connected is set if the call got a connection, so that it may have reached the store.
	connected bool
}

// New returns a sender. For every call that is made, it calls count with the label of the call and the label of
// the result.
func New(client *http.Client, count func(call, result string)) *Sender {
	return &Sender{client: client, count: count}
}

// Send makes one call and does not repeat it, because a write whose response was lost may have taken
// effect. The parameter call is its label in the metrics; a body that is not nil is sent as JSON.
func (s *Sender) Send(ctx context.Context, call, method, url string, body []byte) Result {
	var connections atomic.Int32
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connections.Add(1)
		dialer.BeginRequest(info.Conn)
	}}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, nil)
	if err != nil {
		return Result{Err: err}
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
		// Without GetBody, net/http does not repeat a write on its own.
		request.Body = io.NopCloser(bytes.NewReader(body))
		request.ContentLength = int64(len(body))
	}
	end := timer.Begin(ctx)
	result := s.send(request)
	end()
	if errors.Is(result.Err, context.DeadlineExceeded) {
		// The idle connections may be dead, too.
		s.client.CloseIdleConnections()
	}
	result.connected = connections.Load() > 0
	if connections.Load() > 1 {
		s.count(call, resentLabel)
	}
	s.count(call, result.label())
	return result
}

func (s *Sender) send(request *http.Request) Result {
	response, err := s.client.Do(request)
	if err != nil {
		return Result{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if len(body) > maxResponseBytes {
		body, err = nil, fmt.Errorf("the response is longer than %d bytes", maxResponseBytes)
	}
	if err == nil && (response.StatusCode < 200 || response.StatusCode > 299) {
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	return Result{Status: response.StatusCode, Header: response.Header, Body: body, Err: err}
}

// resentLabel is counted in addition to the result of a read that net/http sent again, because the connection on
// which it waited for the response had failed.
const resentLabel = "resent"

// label returns the label of the result in the metrics: ok, timeout, error or the status code.
func (r Result) label() string {
	switch {
	case r.Err == nil:
		return "ok"
	case errors.Is(r.Err, context.DeadlineExceeded):
		return "timeout"
	case r.Status == 0:
		return "error"
	default:
		return strconv.Itoa(r.Status)
	}
}

// noEffectStatuses are the statuses with which a store reports that a write had no effect.
var noEffectStatuses = map[int]bool{
	http.StatusBadRequest: true, http.StatusForbidden: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// WriteError returns the error of a write: nil if it took effect, the result of conflict if a precondition
// failed, *eelgrasspoint.UnavailableError if it certainly had no effect, and
// *eelgrasspoint.UnknownOutcomeError otherwise.
func (r Result) WriteError(conflict func() error) error {
	switch {
	case r.Err == nil:
		return nil
	case r.Status == http.StatusPreconditionFailed:
		return conflict()
	case !r.connected || noEffectStatuses[r.Status]:
		// Commit is the only write of a store.
		return &eelgrasspoint.UnavailableError{Call: "Commit", Cause: r.Err}
	default:
		return &eelgrasspoint.UnknownOutcomeError{Cause: r.Err}
	}
}
