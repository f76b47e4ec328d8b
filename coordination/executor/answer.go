package executor

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"eelgrasspoint"
	"eelgrasspoint/protocol/propagator"
	"eelgrasspoint/transport/inspector"
	"eelgrasspoint/transport/relayer"
)

// checkResponse returns the response if it answers the request. If the backend server refused the request,
// or the response can't be that of the request, it finishes the run and returns an error.
func (r *run) checkResponse(ctx context.Context, response *http.Response) (*http.Response, error) {
	r.noteAnswer()
	metadata, err := r.readAnswer(response)
	r.executor.recordLoad(&r.backend, metadata)
	if err == nil && metadata.HasNotice {
		r.executor.recordNotice(&r.backend, metadata.Notice, "an answer with status "+strconv.Itoa(response.StatusCode))
	}
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
		ReadCloser: response.Body, run: r, ctx: ctx, response: response,
		// net/http closes the connection when ctx ends, but nobody reads the body while a write to the caller waits.
		stopWatch: context.AfterFunc(ctx, func() { r.executor.finish(r, eelgrasspoint.Sample{Ignored: true}) }),
	}
	return response
}

// responseBody finishes its run when the body ends, fails or is closed, or ctx ends.
type responseBody struct {
	io.ReadCloser
	run      *run
	ctx      context.Context //nolint:containedctx // The body lives as long as the request.
	response *http.Response
	// stopWatch keeps the end of ctx from finishing the run.
	stopWatch func() bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = b.endError()
	}
	switch {
	case err == io.EOF:
		b.run.executor.finish(b.run, b.sample())
	case err != nil:
		b.noteFailure(err)
		b.run.executor.finish(b.run, eelgrasspoint.Sample{Ignored: b.ctx.Err() != nil})
	}
	return n, err
}

// endError returns io.EOF, or the error of malformed trailers.
func (b *responseBody) endError() error {
	if err := inspector.InspectTrailers(b.response.Trailer); err != nil {
		return err
	}
	return io.EOF
}

// noteFailure handles an error in reading the body.
func (b *responseBody) noteFailure(err error) {
	reason := b.run.endReason(b.ctx, err)
	if reason != eelgrasspoint.ConnectionLost && reason != eelgrasspoint.MalformedAnswer {
		return
	}
	if reason == eelgrasspoint.ConnectionLost {
		b.run.executor.connectionLost(b.run)
	}
	b.run.executor.recordFailure(&b.run.attempt.Meta, &eelgrasspoint.OutcomeError{
		Outcome: eelgrasspoint.MayHaveRun, Reason: reason, Detail: "the answer broke off: " + err.Error(),
	}, b.run)
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
	status := b.response.StatusCode
	shed := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	return eelgrasspoint.Sample{Succeeded: status < http.StatusInternalServerError && !shed, Shed: shed}
}
