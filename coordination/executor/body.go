package executor

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

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
