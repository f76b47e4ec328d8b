package executor

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"syscall"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/protocol/propagator"
	"eelgrasspoint/transport/dialer"
	"eelgrasspoint/transport/relayer"
)

// run is one attempt on the backend server.
type run struct {
	executor  *Executor
	attempt   *eelgrasspoint.Attempt
	backend   eelgrasspoint.BackendServer
	transport *http.Transport
	epoch     uint64
	suspect   bool
	// admitted is when the run got its slot, began when it was sent.
	admitted, began time.Time
	// usual and crowded tell what the backend server was like when the run began.
	usual, crowded bool
	answered       atomic.Int64
	ended          atomic.Bool
	bodyRead       atomic.Bool
}

// maxConnects is how often a run may open a connection while nothing was sent.
const maxConnects = 2

// roundTrip sends the request and returns the response, whose body ends the run.
func (r *run) roundTrip(ctx context.Context) (*http.Response, error) {
	var last sending
	for range maxConnects {
		last = r.send(ctx)
		if last.err == nil {
			return r.judge(ctx, last.response)
		}
		if last.state != eelgrasspoint.AttemptNotSent || !last.stale || r.bodyRead.Load() {
			break
		}
	}
	return nil, r.fail(ctx, last)
}

// judge tells an answer from a refusal of the backend server and from what can't be one.
func (r *run) judge(ctx context.Context, response *http.Response) (*http.Response, error) {
	remark, err := r.executor.options.Contract.ReadAnswer(response, &r.attempt.Meta)
	r.executor.learnLoad(remark)
	if err == nil && !remark.NotRun {
		return r.wrap(ctx, response), nil
	}
	// Closed unread, its connection is not used again.
	response.Body.Close()
	r.executor.end(r, eelgrasspoint.Sample{Shed: remark.Reason == eelgrasspoint.RejectedByServer, Ignored: err != nil})
	if err != nil {
		return nil, err
	}
	return nil, eelgrasspoint.Refuse(remark.Reason, "")
}

// sending is what is known after one try.
type sending struct {
	response *http.Response
	err      error
	state    eelgrasspoint.AttemptState
	// stale is set if a kept connection had gone away before anything was written to it.
	stale bool
}

// send tries once. net/http may repeat a request by itself only if it could prove that
// nothing was written; request sees to that.
func (r *run) send(ctx context.Context) sending {
	var conn net.Conn
	var before int64
	var reused bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, reused = info.Conn, info.Reused
		before, _ = dialer.BytesWritten(info.Conn)
	}}
	response, err := r.transport.RoundTrip(r.request(httptrace.WithClientTrace(ctx, trace)))
	if err == nil {
		return sending{response: response, state: eelgrasspoint.AttemptAnswering}
	}
	if conn == nil {
		return sending{err: err, state: eelgrasspoint.AttemptNotSent}
	}
	after, counted := dialer.BytesWritten(conn)
	if counted && after == before {
		return sending{err: err, state: eelgrasspoint.AttemptNotSent, stale: reused}
	}
	return sending{err: err, state: eelgrasspoint.AttemptSent}
}

func (r *run) request(ctx context.Context) *http.Request {
	header := r.attempt.Header.Clone()
	propagator.Strip(header)
	relayer.StripHopByHop(header)
	hideKeys(header)
	r.executor.options.Contract.WriteCall(header, &r.attempt.Meta, &r.backend, r.executor.options.Clock())
	// net/http names itself where no user agent is given.
	if _, given := header["User-Agent"]; !given {
		header["User-Agent"] = nil
	}
	target := &url.URL{Scheme: "http", Host: r.backend.Address.String(), Opaque: r.attempt.Target}
	request := &http.Request{
		Method: r.attempt.Method, URL: target, Host: r.attempt.Host, Header: header,
		Body: r.body(), ContentLength: r.attempt.Length,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	return request.WithContext(ctx)
}

// body never lets net/http think that it may send the request again: it repeats GET, HEAD,
// OPTIONS and TRACE without a body, so those get an empty one that it can't rewind.
func (r *run) body() io.ReadCloser {
	if r.attempt.Length != 0 && r.attempt.Body != nil {
		return &watchedBody{source: r.attempt.Body, read: &r.bodyRead}
	}
	switch r.attempt.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return emptyBody{}
	default:
		return http.NoBody
	}
}

// hideKeys spells the keys in lower case: net/http repeats requests that carry them in the
// canonical spelling.
func hideKeys(header http.Header) {
	for canonical, lower := range map[string]string{
		"Idempotency-Key":   "idempotency-key",
		"X-Idempotency-Key": "x-idempotency-key",
	} {
		if values, ok := header[canonical]; ok {
			delete(header, canonical)
			header[lower] = values
		}
	}
}

// fail ends the run and says what its caller may rely on.
func (r *run) fail(ctx context.Context, last sending) error {
	refused := errors.Is(last.err, syscall.ECONNREFUSED)
	lost := last.state == eelgrasspoint.AttemptSent && ctx.Err() == nil && !fromCaller(last.err)
	if lost {
		r.executor.connectionLost(r)
	}
	if refused {
		r.executor.connectionRefused()
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// A connection that brought nothing until the deadline may have gone silent.
		r.transport.CloseIdleConnections()
	}
	sample := eelgrasspoint.Sample{Refused: refused, Ignored: fromCaller(last.err) || errors.Is(ctx.Err(), context.Canceled)}
	r.executor.end(r, sample)
	return r.outcome(ctx, last)
}

func (r *run) outcome(ctx context.Context, last sending) error {
	if last.state == eelgrasspoint.AttemptNotSent {
		return eelgrasspoint.Refuse(eelgrasspoint.NotSentReason(ctx), last.err.Error())
	}
	reason := eelgrasspoint.LostReason(ctx)
	if ctx.Err() == nil && fromCaller(last.err) {
		reason = eelgrasspoint.BodyCutShort
	}
	return &eelgrasspoint.OutcomeError{Outcome: eelgrasspoint.MayHaveRun, Reason: reason, Detail: last.err.Error()}
}

// serviceTime ends with the answer's first bytes: what follows may wait for a slow caller.
func (r *run) serviceTime(now time.Time) time.Duration {
	if answered := r.answered.Load(); answered != 0 {
		return time.Unix(0, answered).Sub(r.began)
	}
	return now.Sub(r.began)
}

// wrap makes the end of the response's body the end of the run.
func (r *run) wrap(ctx context.Context, response *http.Response) *http.Response {
	r.answered.Store(r.executor.options.Clock().UnixNano())
	relayer.StripHopByHop(response.Header)
	propagator.Strip(response.Header)
	response.Body = &runBody{ReadCloser: response.Body, run: r, ctx: ctx, status: response.StatusCode}
	return response
}

// runBody ends its run when it ends.
type runBody struct {
	io.ReadCloser
	run    *run
	ctx    context.Context //nolint:containedctx // The body lives as long as the request.
	status int
}

// Read implements io.Reader.
func (b *runBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.run.executor.end(b.run, b.sample())
	case err != nil:
		if b.ctx.Err() == nil {
			b.run.executor.connectionLost(b.run)
		}
		b.run.executor.end(b.run, eelgrasspoint.Sample{Ignored: b.ctx.Err() != nil})
	}
	return n, err
}

// Close implements io.Closer. Closed early, the connection is closed by net/http, so that
// the rest of the answer can't reach another request.
func (b *runBody) Close() error {
	err := b.ReadCloser.Close()
	b.run.executor.end(b.run, eelgrasspoint.Sample{Ignored: true})
	return err
}

func (b *runBody) sample() eelgrasspoint.Sample {
	shed := b.status == http.StatusServiceUnavailable || b.status == http.StatusTooManyRequests
	return eelgrasspoint.Sample{Succeeded: b.status < http.StatusInternalServerError && !shed, Shed: shed}
}

// watchedBody notes whether any of it was read, and marks the errors of its source.
type watchedBody struct {
	source io.ReadCloser
	read   *atomic.Bool
}

// sourceError is the failure of a request body to arrive from the caller.
type sourceError struct{ cause error }

func (e *sourceError) Error() string { return "request body: " + e.cause.Error() }
func (e *sourceError) Unwrap() error { return e.cause }

func fromCaller(err error) bool {
	var source *sourceError
	return errors.As(err, &source)
}

func (b *watchedBody) Read(p []byte) (int, error) {
	b.read.Store(true)
	n, err := b.source.Read(p)
	if err != nil && err != io.EOF {
		err = &sourceError{cause: err}
	}
	return n, err
}

func (b *watchedBody) Close() error { return b.source.Close() }

// emptyBody has no bytes, but is not http.NoBody.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }
