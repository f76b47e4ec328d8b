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

// Parser is the default implementation of eelgrasspoint.Contract. It uses the load balancer's own headers,
// has no state and is safe for concurrent use.
type Parser struct{}

var _ eelgrasspoint.Contract = Parser{}

// New returns a parser.
func New() Parser { return Parser{} }

// ReadCall implements eelgrasspoint.Contract.
func (Parser) ReadCall(r *http.Request) (eelgrasspoint.CallOptions, *eelgrasspoint.OutcomeError) {
	return Parse(r)
}

// RewriteHeader implements eelgrasspoint.Contract. It appends the caller's address to X-Forwarded-For.
func (Parser) RewriteHeader(header http.Header, remote string) {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		host = remote
	}
	if forwardedFor := header.Get("X-Forwarded-For"); forwardedFor != "" {
		host = forwardedFor + ", " + host
	}
	header["X-Forwarded-For"] = []string{host}
}

// WriteCall implements eelgrasspoint.Contract.
func (Parser) WriteCall(header http.Header, meta *eelgrasspoint.RequestMetadata, _ *eelgrasspoint.BackendServer, now time.Time) {
	propagator.WriteCall(header, meta, now)
}

// ReadAnswer implements eelgrasspoint.Contract. In this contract, backend servers set no headers that prove
// whether a request was executed or report load.
func (Parser) ReadAnswer(response *http.Response, _ *eelgrasspoint.RequestMetadata) (eelgrasspoint.AnswerMetadata, error) {
	notice := ReadNotice(response.Header, eelgrasspoint.HeaderRateLimit, eelgrasspoint.HeaderLeaving)
	return eelgrasspoint.AnswerMetadata{HasNotice: true, Notice: notice}, nil
}

// ReadNotice reads the headers with the names: the limit, in requests per second, and whether the server leaves ("1").
func ReadNotice(header http.Header, limitName, leavingName string) eelgrasspoint.ServerNotice {
	notice := eelgrasspoint.ServerNotice{Leaving: header.Get(leavingName) == "1"}
	text := header.Get(limitName)
	if text == "" {
		return notice
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		notice.Invalid = text
		return notice
	}
	notice.Limited, notice.RateLimit = true, rate
	return notice
}

// WriteAnswer implements eelgrasspoint.Contract.
func (Parser) WriteAnswer(header http.Header, meta *eelgrasspoint.RequestMetadata) {
	header[eelgrasspoint.HeaderOutcome] = []string{eelgrasspoint.Answered.String()}
	header[eelgrasspoint.HeaderRequestID] = []string{meta.RequestID}
}

// RetryAfter implements eelgrasspoint.Contract. It rounds up to whole seconds (RFC 9110, section 10.2.3).
func (Parser) RetryAfter(pause time.Duration) string {
	return strconv.Itoa(int(math.Ceil(pause.Seconds())))
}

// ReadHealth implements eelgrasspoint.Contract. Only status 200 is healthy.
func (Parser) ReadHealth(response *http.Response) eelgrasspoint.Health {
	return eelgrasspoint.Health{
		Healthy: response.StatusCode == http.StatusOK,
		Notice:  ReadNotice(response.Header, eelgrasspoint.HeaderRateLimit, eelgrasspoint.HeaderLeaving),
	}
}
