// Package tablecaller calls the platform's table service over HTTP with
// entity tags and preconditions (RFC 9110).
package tablecaller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"eelgrasspoint"
)

// TableCaller is safe for concurrent use.
type TableCaller struct {
	base   string
	client *http.Client
	count  func(call, result string)
}

var _ eelgrasspoint.Table = (*TableCaller)(nil)

// maxAnswerBytes bounds what is read of one answer.
const maxAnswerBytes = 16 << 20

// New returns a caller of the platform at the address; count is told of every call.
func New(address netip.AddrPort, client *http.Client, count func(call, result string)) *TableCaller {
	return &TableCaller{base: "http://" + address.String(), client: client, count: count}
}

// Read returns a row.
func (t *TableCaller) Read(ctx context.Context, key string) (eelgrasspoint.Row, error) {
	answer := t.call(ctx, "Read", http.MethodGet, "/table/"+url.PathEscape(key), nil)
	switch {
	case answer.status == http.StatusNotFound:
		return eelgrasspoint.Row{}, &eelgrasspoint.NotFoundError{Key: key}
	case answer.err != nil:
		return eelgrasspoint.Row{}, &eelgrasspoint.UnavailableError{Call: "Read", Cause: answer.err}
	}
	return eelgrasspoint.Row{Key: key, Version: answer.version, Value: answer.body}, nil
}

// Scan returns the rows with the prefix, sorted by key.
func (t *TableCaller) Scan(ctx context.Context, prefix string) ([]eelgrasspoint.Row, error) {
	answer := t.call(ctx, "Scan", http.MethodGet, "/table?prefix="+url.QueryEscape(prefix), nil)
	if answer.err != nil {
		return nil, &eelgrasspoint.UnavailableError{Call: "Scan", Cause: answer.err}
	}
	var rows []eelgrasspoint.Row
	if err := json.Unmarshal(answer.body, &rows); err != nil {
		return nil, &eelgrasspoint.UnavailableError{Call: "Scan", Cause: err}
	}
	return rows, nil
}

// Commit makes the writes if all conditions hold.
func (t *TableCaller) Commit(ctx context.Context, transaction eelgrasspoint.Transaction) error {
	body, err := json.Marshal(transaction)
	if err != nil {
		return &eelgrasspoint.UnavailableError{Call: "Commit", Cause: err}
	}
	return t.call(ctx, "Commit", http.MethodPost, "/transactions", body).writeError()
}

// answer is what came of one call.
type answer struct {
	status  int
	version uint64
	body    []byte
	err     error
	// connected tells that the call may have reached the platform.
	connected bool
}

// writeError says what is known of a write: a lost answer is neither a success nor a failure.
func (a answer) writeError() error {
	switch {
	case a.err == nil:
		return nil
	case a.status == http.StatusPreconditionFailed:
		conflict := &eelgrasspoint.ConflictError{}
		_ = json.Unmarshal(a.body, conflict)
		return conflict
	case !a.connected || a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
		return &eelgrasspoint.UnavailableError{Call: "Commit", Cause: a.err}
	default:
		return &eelgrasspoint.UnknownOutcomeError{Cause: a.err}
	}
}

// call makes one request within the time limit of the platform.
func (t *TableCaller) call(ctx context.Context, name, method, path string, body []byte) answer {
	ctx, cancel := context.WithTimeout(ctx, eelgrasspoint.StoreTimeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, t.base+path, nil)
	if err != nil {
		return answer{err: err}
	}
	if body != nil {
		// Without GetBody net/http does not send a write again by itself.
		request.Body = io.NopCloser(bytes.NewReader(body))
		request.ContentLength = int64(len(body))
	}
	result := t.send(request)
	result.connected = connected.Load()
	t.count(name, result.label())
	return result
}

func (t *TableCaller) send(request *http.Request) answer {
	response, err := t.client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer{err: err}
	}
	result := answer{status: response.StatusCode, body: body, version: version(response.Header.Get("ETag"))}
	if response.StatusCode >= http.StatusBadRequest {
		result.err = fmt.Errorf("status %d", response.StatusCode)
	}
	return result
}

func (a answer) label() string {
	switch {
	case a.err == nil:
		return "ok"
	case a.status == http.StatusNotFound:
		return "not_found"
	case a.status == http.StatusPreconditionFailed:
		return "conflict"
	case errors.Is(a.err, context.DeadlineExceeded):
		return "timeout"
	default:
		return "error"
	}
}

func version(tag string) uint64 {
	n, _ := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	return n
}
