package eelgrasspoint

import (
	"net/http"
	"time"
)

// CallOptions are the options that a caller sets in the headers of its request.
type CallOptions struct {
	RequestID string
	Client    string
	Timeout   time.Duration
	Depth     int
}

// ServerLoad is the load that a backend server reports.
type ServerLoad struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is the current service time as a multiple of the usual one.
	Slowness float64
}

// AnswerMetadata is what a backend server reports in the headers of an answer.
type AnswerMetadata struct {
	// NotRun is set if the answer proves that the request was not executed.
	NotRun bool
	// Reason is set together with NotRun.
	Reason  Reason
	Load    ServerLoad
	HasLoad bool
}

// Health is the result of a health check.
type Health struct {
	Healthy bool
	// ID is the identifier that the backend server gives to this incarnation, empty if unknown.
	ID      string
	Load    ServerLoad
	HasLoad bool
	// Cold is the remaining time of the backend server's slow start.
	Cold time.Duration
}

// Contract reads and writes the headers that callers and backend servers exchange with the
// load balancer. Implementations keep no state and are safe for concurrent use.
type Contract interface {
	// ReadCall reads the options of a caller's request.
	ReadCall(r *http.Request) (CallOptions, *OutcomeError)
	// RewriteHeader removes the headers that are meant for the entry node only, and adds those that
	// pass the caller's remote address to the backend server.
	RewriteHeader(header http.Header, remote string)
	// WriteCall sets the headers that a backend server expects on a request.
	WriteCall(header http.Header, meta *RequestMetadata, backend *BackendServer, now time.Time)
	// ReadAnswer reads the headers that a backend server sets on an answer. The error is an
	// *OutcomeError if the answer can't belong to the request.
	ReadAnswer(response *http.Response, meta *RequestMetadata) (AnswerMetadata, error)
	// WriteAnswer sets the headers that a caller expects on a backend server's answer.
	WriteAnswer(header http.Header, meta *RequestMetadata)
	// RetryAfter formats the value of a Retry-After header.
	RetryAfter(pause time.Duration) string
	// ReadHealth reads the response of a health check.
	ReadHealth(response *http.Response) Health
}
