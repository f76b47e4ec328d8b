package executor

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/protocol/propagator"
	"eelgrasspoint/transport/dialer"
	"eelgrasspoint/transport/relayer"
)

// run is one attempt while it is in flight at the backend server.
type run struct {
	executor  *Executor
	attempt   *eelgrasspoint.Attempt
	backend   eelgrasspoint.BackendServer
	transport *http.Transport
	// crashesAtStart is Executor.suspectedCrashes when the run started.
	crashesAtStart uint64
	suspect        bool
	// admittedAt is when the run got its slot, startedAt when it was about to be sent.
	admittedAt, startedAt time.Time
	// usualSpeed and crowded are the state of the backend server when the run started, as in Sample.
	usualSpeed, crowded bool
	// answeredAt is the time of the response headers in Unix nanoseconds, or zero.
	answeredAt atomic.Int64
	// conn is the connection of the last try, nil if it got none.
	conn     net.Conn
	finished atomic.Bool
	bodyRead atomic.Bool
}

// maxTries bounds how often a run tries to send its request. It tries again only if a reused connection
// failed before anything was written to it, and the request body was not read.
const maxTries = 2

// roundTrip sends the request and returns the response. The run is finished when the response's body ends,
// fails or is closed.
func (r *run) roundTrip(ctx context.Context) (*http.Response, error) {
	var result tryResult
	for range maxTries {
		result = r.send(ctx)
		if result.err == nil {
			return r.checkResponse(ctx, result.response)
		}
		if result.state != eelgrasspoint.AttemptNotSent || !result.stale || r.bodyRead.Load() {
			break
		}
	}
	return nil, r.fail(ctx, result)
}

// checkResponse returns the response if it answers the request. If the backend server refused the request,
// or the response can't be that of the request, it finishes the run and returns an error.
func (r *run) checkResponse(ctx context.Context, response *http.Response) (*http.Response, error) {
	metadata, err := r.readAnswer(response)
	r.executor.recordLoad(metadata)
	if err == nil && !metadata.NotRun {
		return r.wrapResponse(ctx, response), nil
	}
	// net/http does not use the connection again after an unread body.
	response.Body.Close()
	r.executor.finish(r, eelgrasspoint.Sample{Shed: metadata.Reason == eelgrasspoint.RejectedByServer, Ignored: err != nil})
	if err != nil {
		return nil, err
	}
	return nil, eelgrasspoint.Refuse(metadata.Reason, "")
}

// readAnswer reads the headers of the response. A status below 200 is no final answer: net/http returns 101
// and those below 100, but its servers can't send them.
func (r *run) readAnswer(response *http.Response) (eelgrasspoint.AnswerMetadata, error) {
	if response.StatusCode < http.StatusOK {
		return eelgrasspoint.AnswerMetadata{}, &eelgrasspoint.OutcomeError{
			Outcome: eelgrasspoint.MayHaveRun, Reason: eelgrasspoint.BadAnswer, Detail: "status " + response.Status + " is not that of a final response",
		}
	}
	return r.executor.options.Contract.ReadAnswer(response, &r.attempt.Meta)
}

// tryResult is the result of one try to send the request.
type tryResult struct {
	response *http.Response
	err      error
	state    eelgrasspoint.AttemptState
	// stale is set if a reused connection failed before anything was written to it.
	stale bool
}

// send sends the request once. net/http may repeat it only if it can prove that nothing was written;
// newRequest rules out the other repeats.
func (r *run) send(ctx context.Context) tryResult {
	r.conn = nil
	var writtenBefore int64
	var reused bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		r.conn, reused = info.Conn, info.Reused
		dialer.BeginRequest(info.Conn)
		writtenBefore, _ = dialer.BytesPassedToWrite(info.Conn)
	}}
	response, err := r.transport.RoundTrip(r.newRequest(httptrace.WithClientTrace(ctx, trace)))
	if r.conn == nil {
		return tryResult{err: err, state: eelgrasspoint.AttemptNotSent}
	}
	writtenAfter, counted := dialer.BytesPassedToWrite(r.conn)
	notSent := counted && writtenAfter == writtenBefore
	switch {
	case notSent && err == nil:
		// The answer came before the request, so it belongs to no request.
		response.Body.Close()
		return tryResult{err: dialer.ErrUnusable, state: eelgrasspoint.AttemptNotSent, stale: reused}
	case notSent:
		return tryResult{err: err, state: eelgrasspoint.AttemptNotSent, stale: reused}
	case err != nil:
		return tryResult{err: err, state: eelgrasspoint.AttemptSent}
	default:
		return tryResult{response: response, state: eelgrasspoint.AttemptAnswering}
	}
}

func (r *run) newRequest(ctx context.Context) *http.Request {
	header := r.attempt.Header.Clone()
	propagator.Strip(header)
	relayer.StripHopByHop(header)
	lowercaseIdempotencyKeys(header)
	r.executor.options.Contract.WriteCall(header, &r.attempt.Meta, &r.backend, r.executor.options.Clock())
	// Without the key, net/http sends a User-Agent of its own.
	if _, present := header["User-Agent"]; !present {
		header["User-Agent"] = nil
	}
	request := &http.Request{
		Method: r.attempt.Method, URL: eelgrasspoint.TargetURL(r.backend.Address.String(), r.attempt.Target),
		Host: r.attempt.Host, Header: header,
		Body: r.newBody(), ContentLength: r.attempt.Length,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	return request.WithContext(ctx)
}

// newBody returns a request body that keeps net/http from repeating the request: net/http repeats GET,
// HEAD, OPTIONS and TRACE without a body, so they get an empty body that net/http can't rewind.
func (r *run) newBody() io.ReadCloser {
	if r.attempt.Length != 0 && r.attempt.Body != nil {
		return &trackedBody{source: r.attempt.Body, read: &r.bodyRead}
	}
	switch r.attempt.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return emptyBody{}
	default:
		return http.NoBody
	}
}

// lowercaseIdempotencyKeys spells the idempotency headers in lower case: net/http repeats requests that
// have them in canonical spelling.
func lowercaseIdempotencyKeys(header http.Header) {
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

// fail finishes a run that got no response, and returns its outcome as an error.
func (r *run) fail(ctx context.Context, result tryResult) error {
	refused := errors.Is(result.err, syscall.ECONNREFUSED)
	if result.state == eelgrasspoint.AttemptSent && r.endReason(ctx, result.err) == eelgrasspoint.ConnectionLost {
		r.executor.connectionLost(r)
	}
	if refused {
		r.executor.connectionRefused()
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// A connection without an answer until the deadline may be dead.
		r.transport.CloseIdleConnections()
	}
	sample := eelgrasspoint.Sample{Refused: refused, Ignored: isRequestBodyError(result.err) || errors.Is(ctx.Err(), context.Canceled)}
	r.executor.finish(r, sample)
	return r.outcome(ctx, result)
}

// outcome returns a refusal if the request was not sent, or else an error with the outcome
// MayHaveRun.
func (r *run) outcome(ctx context.Context, result tryResult) error {
	if result.state == eelgrasspoint.AttemptNotSent {
		return eelgrasspoint.Refuse(eelgrasspoint.NotSentReason(ctx), result.err.Error())
	}
	return &eelgrasspoint.OutcomeError{
		Outcome: eelgrasspoint.MayHaveRun, Reason: r.endReason(ctx, result.err), Detail: result.err.Error(),
	}
}

// endReason returns why a request that was sent got no answer, or no whole one. If net/http gave up the
// connection although no read or write of it failed, the backend server's bytes are no answer.
func (r *run) endReason(ctx context.Context, err error) eelgrasspoint.Reason {
	switch {
	case ctx.Err() != nil:
		return eelgrasspoint.LostReason(ctx)
	case isRequestBodyError(err):
		return eelgrasspoint.BodyCutShort
	case !dialer.Broken(r.conn):
		return eelgrasspoint.MalformedAnswer
	default:
		return eelgrasspoint.ConnectionLost
	}
}

// serviceTime returns the time from the start to the response headers, or until now without a response. It
// leaves out the body, which may wait for a slow caller.
func (r *run) serviceTime(now time.Time) time.Duration {
	if answeredAt := r.answeredAt.Load(); answeredAt != 0 {
		return time.Unix(0, answeredAt).Sub(r.startedAt)
	}
	return now.Sub(r.startedAt)
}

// wrapResponse removes the hop-by-hop headers and those of the load balancer itself, and wraps the body in
// a responseBody. It also removes the length of a body that the status excludes: net/http's HTTP/2 client
// rejects a response that ends before its Content-Length, other than to HEAD.
func (r *run) wrapResponse(ctx context.Context, response *http.Response) *http.Response {
	r.answeredAt.Store(r.executor.options.Clock().UnixNano())
	relayer.StripHopByHop(response.Header)
	propagator.Strip(response.Header)
	if response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified {
		response.Header.Del("Content-Length")
		response.ContentLength = 0
	}
	response.Body = &responseBody{
		ReadCloser: response.Body, run: r, ctx: ctx, status: response.StatusCode,
		// net/http closes the connection when ctx ends, but nobody reads the body while a write to the caller waits.
		stopWatch: context.AfterFunc(ctx, func() { r.executor.finish(r, eelgrasspoint.Sample{Ignored: true}) }),
	}
	return response
}

// responseBody finishes its run when the body ends, fails or is closed, or ctx ends.
type responseBody struct {
	io.ReadCloser
	run    *run
	ctx    context.Context //nolint:containedctx // The body lives as long as the request.
	status int
	// stopWatch keeps the end of ctx from finishing the run.
	stopWatch func() bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.run.executor.finish(b.run, b.sample())
	case err != nil:
		b.noteFailure(err)
		b.run.executor.finish(b.run, eelgrasspoint.Sample{Ignored: b.ctx.Err() != nil})
	}
	return n, err
}

// noteFailure handles an error in reading the body.
func (b *responseBody) noteFailure(err error) {
	switch reason := b.run.endReason(b.ctx, err); reason {
	case eelgrasspoint.ConnectionLost:
		b.run.executor.connectionLost(b.run)
	case eelgrasspoint.MalformedAnswer:
		b.run.executor.recordFailure(&b.run.attempt.Meta, &eelgrasspoint.OutcomeError{
			Outcome: eelgrasspoint.MayHaveRun, Reason: reason, Detail: err.Error(),
		})
	}
}

// Close implements io.Closer. If the body was not read to its end, net/http closes the connection, so
// that the rest of the answer can't reach another request.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.stopWatch()
	b.run.executor.finish(b.run, eelgrasspoint.Sample{Ignored: true})
	return err
}

func (b *responseBody) sample() eelgrasspoint.Sample {
	shed := b.status == http.StatusServiceUnavailable || b.status == http.StatusTooManyRequests
	return eelgrasspoint.Sample{Succeeded: b.status < http.StatusInternalServerError && !shed, Shed: shed}
}

// trackedBody records whether the request body was read, and wraps its errors in requestBodyError.
type trackedBody struct {
	source io.ReadCloser
	read   *atomic.Bool
}

// requestBodyError is an error in reading a request body from the caller.
type requestBodyError struct{ cause error }

func (e *requestBodyError) Error() string { return "reading the request body: " + e.cause.Error() }
func (e *requestBodyError) Unwrap() error { return e.cause }

func isRequestBodyError(err error) bool {
	var bodyErr *requestBodyError
	return errors.As(err, &bodyErr)
}

func (b *trackedBody) Read(p []byte) (int, error) {
	b.read.Store(true)
	n, err := b.source.Read(p)
	if err != nil && err != io.EOF {
		err = &requestBodyError{cause: err}
	}
	return n, err
}

func (b *trackedBody) Close() error { return b.source.Close() }

// emptyBody is an empty body that differs from http.NoBody, which net/http treats as no body.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }
