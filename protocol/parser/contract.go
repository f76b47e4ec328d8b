package parser

import (
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/protocol/propagator"
)

// Parser is the project's own contract with callers and backend servers.
type Parser struct{}

var _ eelgrasspoint.Contract = Parser{}

// New returns the project's own contract.
func New() Parser { return Parser{} }

// ReadCall implements eelgrasspoint.Contract.
func (Parser) ReadCall(r *http.Request) (eelgrasspoint.CallOptions, *eelgrasspoint.OutcomeError) {
	return Parse(r)
}

// RewriteHeader implements eelgrasspoint.Contract: it tells the backend server the address of its caller.
func (Parser) RewriteHeader(header http.Header, remote string) {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		host = remote
	}
	if earlier := header.Get("X-Forwarded-For"); earlier != "" {
		host = earlier + ", " + host
	}
	header["X-Forwarded-For"] = []string{host}
}

// WriteCall implements eelgrasspoint.Contract.
func (Parser) WriteCall(header http.Header, meta *eelgrasspoint.RequestMetadata, _ *eelgrasspoint.BackendServer, now time.Time) {
	propagator.WriteCall(header, meta, now)
}

// ReadAnswer implements eelgrasspoint.Contract. Backend servers give no proofs here.
func (Parser) ReadAnswer(*http.Response, *eelgrasspoint.RequestMetadata) (eelgrasspoint.AnswerMetadata, error) {
	return eelgrasspoint.AnswerMetadata{}, nil
}

// WriteAnswer implements eelgrasspoint.Contract.
func (Parser) WriteAnswer(header http.Header, meta *eelgrasspoint.RequestMetadata) {
	header[eelgrasspoint.HeaderOutcome] = []string{eelgrasspoint.Answered.String()}
	header[eelgrasspoint.HeaderRequestID] = []string{meta.RequestID}
}

// RetryAfter implements eelgrasspoint.Contract: whole seconds (RFC 9110, section 10.2.3).
func (Parser) RetryAfter(pause time.Duration) string {
	return strconv.Itoa(int(math.Ceil(pause.Seconds())))
}

// ReadHealth implements eelgrasspoint.Contract.
func (Parser) ReadHealth(response *http.Response) eelgrasspoint.Health {
	return eelgrasspoint.Health{Healthy: response.StatusCode == http.StatusOK}
}
