// Package sender makes the calls of a store over HTTP and says what is known of each.
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
)

// maxAnswerBytes bounds what is read of one answer.
const maxAnswerBytes = 16 << 20

// Sender is safe for concurrent use.
type Sender struct {
	client *http.Client
	count  func(call, result string)
}

// Result is the outcome of one call.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
	// Err is set if there is no answer, or one of a status other than 200 to 299.
	Err error
	// connected tells that the call may have reached the store.
	connected bool
}

// New returns a sender; count is told of every call and its result.
func New(client *http.Client, count func(call, result string)) *Sender {
	return &Sender{client: client, count: count}
}

// Send makes one call, once: a write whose answer is lost may have been done. The name is that
// of the call in the metrics; a body is JSON.
func (s *Sender) Send(ctx context.Context, name, method, url string, body []byte) Result {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, nil)
	if err != nil {
		return Result{Err: err}
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
		// Without GetBody net/http does not send a write again by itself.
		request.Body = io.NopCloser(bytes.NewReader(body))
		request.ContentLength = int64(len(body))
	}
	answer := s.send(request)
	answer.connected = connected.Load()
	s.count(name, answer.label())
	return answer
}

func (s *Sender) send(request *http.Request) Result {
	response, err := s.client.Do(request)
	if err != nil {
		return Result{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err == nil && (response.StatusCode < 200 || response.StatusCode > 299) {
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	return Result{Status: response.StatusCode, Header: response.Header, Body: body, Err: err}
}

// label names the result in the metrics.
func (a Result) label() string {
	switch {
	case a.Err == nil:
		return "ok"
	case errors.Is(a.Err, context.DeadlineExceeded):
		return "timeout"
	case a.Status == 0:
		return "error"
	default:
		return strconv.Itoa(a.Status)
	}
}

// notDone are the statuses by which a store says that it did nothing.
var notDone = map[int]bool{
	http.StatusBadRequest: true, http.StatusForbidden: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// WriteError says what is known of a write: nil, the conflict, *eelgrasspoint.UnavailableError if
// it was not done, or *eelgrasspoint.UnknownOutcomeError.
func (a Result) WriteError(conflict func() error) error {
	switch {
	case a.Err == nil:
		return nil
	case a.Status == http.StatusPreconditionFailed:
		return conflict()
	case !a.connected || notDone[a.Status]:
		return &eelgrasspoint.UnavailableError{Call: "Commit", Cause: a.Err}
	default:
		return &eelgrasspoint.UnknownOutcomeError{Cause: a.Err}
	}
}
