package executor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/detector"
	"eelgrasspoint/protocol/propagator"
	"eelgrasspoint/transport/dialer"
	"eelgrasspoint/transport/inspector"
	"eelgrasspoint/transport/relayer"
)

// run is one attempt while it is in flight at the backend server.
type run struct {
	executor  *Executor
	attempt   *eelgrasspoint.Attempt
	identity  *identity
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
	// finishing guards the end of the run.
	finishing sync.Once
	bodyRead  atomic.Bool
	// watched is the run as the detector knows it. overdueTimer is nil if its usual duration is not known.
	watched      *detector.Run
	overdueTimer *time.Timer
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
	if !notSent {
		r.executor.options.CountArrival()
	}
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
	case errors.As(err, new(*quarantinedBodyError)):
		return eelgrasspoint.Quarantined
	case isRequestBodyError(err):
		return eelgrasspoint.BodyCutShort
	case errors.As(err, new(*inspector.MalformedHeadError)), !dialer.Broken(r.conn):
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
