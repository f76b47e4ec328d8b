package eelgrasspoint

import (
	"net/http"
	"time"
)

// CallOptions is what a caller said about its request.
type CallOptions struct {
	RequestID string
	Client    string
	Timeout   time.Duration
	Depth     int
}

// ServerLoad is what a backend server says of its own work.
type ServerLoad struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is how many times as long as usual work takes there at the moment.
	Slowness float64
}

// AnswerMetadata is what a backend server said of itself beside an answer.
type AnswerMetadata struct {
	// NotRun is set if the answer proves that the request did not run.
	NotRun bool
	// Reason goes with NotRun.
	Reason  Reason
	Load    ServerLoad
	HasLoad bool
}

// Health is what a backend server answers to a health check.
type Health struct {
	Healthy bool
	ID      string
	Load    ServerLoad
	HasLoad bool
	// Cold is how long the backend server will go on being cold.
	Cold time.Duration
}

// Contract is how the system and its callers and backend servers label requests and answers.
// Implementations keep no state and are safe for concurrent use.
type Contract interface {
	// ReadCall reads what a caller says about its request.
	ReadCall(r *http.Request) (CallOptions, *OutcomeError)
	// RewriteHeader removes from the headers what concerns the caller and the entry node alone, and
	// adds what the system says of the caller at the remote address.
	RewriteHeader(header http.Header, remote string)
	// WriteCall puts on a request what the backend server expects of the system.
	WriteCall(header http.Header, meta *RequestMetadata, backend *BackendServer, now time.Time)
	// ReadAnswer reads what a backend server says beside an answer. The error is an
	// *OutcomeError if the answer can't be that of the request.
	ReadAnswer(response *http.Response, meta *RequestMetadata) (AnswerMetadata, error)
	// WriteAnswer puts on a backend server's answer what its caller expects of the system.
	WriteAnswer(header http.Header, meta *RequestMetadata)
	// RetryAfter formats the pause that a refusal asks for.
	RetryAfter(pause time.Duration) string
	// ReadHealth reads the answer to a health check.
	ReadHealth(response *http.Response) Health
}
