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

// ServerNotice is what a backend server says about itself in the headers of an answer, besides its load.
type ServerNotice struct {
	// Limited is set if the server names a limit: the requests per second that it takes from all nodes together.
	Limited   bool
	RateLimit float64
	// Invalid is a limit that is no finite number of at least zero. It counts as none.
	Invalid string
	// Leaving is set if the server is about to end.
	Leaving bool
}

// AnswerMetadata is what a backend server reports in the headers of an answer.
type AnswerMetadata struct {
	// NotRun is set if the answer proves that the request was not executed.
	NotRun bool
	// Reason is set together with NotRun.
	Reason  Reason
	Load    ServerLoad
	HasLoad bool
	// HasNotice is set if the answer is that of the backend server to this request, so that a limit that Notice
	// does not name has ended.
	HasNotice bool
	Notice    ServerNotice
}

// Health is the result of a health check.
type Health struct {
	Healthy bool
	// ID is the identifier that the backend server gives to this incarnation, empty if unknown.
	ID      string
	Load    ServerLoad
	HasLoad bool
	Notice  ServerNotice
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
