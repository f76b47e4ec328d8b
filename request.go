package eelgrasspoint

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// RequestMetadata holds what the load balancer knows about a request besides its HTTP form.
type RequestMetadata struct {
	RequestID  string
	Client     string
	Route      string
	Service    string
	Kind       string
	Weight     uint32
	Idempotent bool
	Hedge      bool
	Depth      int
	Deadline   time.Time
	Permitted  []string
	// Fingerprint identifies the request; see package fingerprinter. With BodyOpen set, it is the hash of the head only: the
	// entry node has not read the whole body.
	Fingerprint uint64
	BodyOpen    bool
	Attempt     int
	// Insists makes the exit node queue the request rather than refuse it while its backend server is
	// slow or full.
	Insists bool
	// Repeatable is set on an attempt that another one can follow, even if it may have run. It is known at the
	// entry node only.
	Repeatable bool
	// Caller is the service of the backend server beside the entry node. That server is taken to be the
	// caller.
	Caller string
	// Revision is the configuration revision that the entry node used.
	Revision Revision
	// TargetLatency is the latency objective of the route, or zero.
	TargetLatency time.Duration
}

// RegionBound reports whether the request is restricted to home regions.
func (m *RequestMetadata) RegionBound() bool { return len(m.Permitted) > 0 }

// Permits reports whether the request may be served and stored in the region.
func (m *RequestMetadata) Permits(region string) bool {
	if !m.RegionBound() {
		return true
	}
	for _, r := range m.Permitted {
		if r == region {
			return true
		}
	}
	return false
}

// SetRoute copies the settings of a route.
func (m *RequestMetadata) SetRoute(route *Route) {
	m.Route = route.Name
	m.Service = route.Service
	m.Kind = route.Kind
	m.Weight = route.Weight
	m.Idempotent = route.Idempotent
	m.Hedge = route.Hedge
	m.TargetLatency = route.TargetLatency
}

// ExpectsContinue reports whether a request with a body of the length, negative if unknown, is sent
// with Expect: 100-continue, so that the body follows only after admission at the exit node.
func ExpectsContinue(length int64) bool { return length < 0 || length > MaxBodyBytesWithoutContinue }

// IsEventStream reports whether an answer is a stream of events, each of which is relayed as soon as it arrives.
func IsEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// Attempt is a request as it is sent once to one backend server.
type Attempt struct {
	Meta   RequestMetadata
	Method string
	Target string
	Host   string
	Header http.Header
	Body   io.ReadCloser
	Length int64
	// GiveUp is called when the connection to the exit node is silent, and reports whether the attempt is to end
	// because another one will follow. Without it, the attempt goes on.
	GiveUp func() bool
}

// TargetURL returns the URL with which net/http sends the request target unchanged to the host. If the path begins
// with // and contains bytes that a URL must escape, RequestURI of the URL differs from the target.
func TargetURL(host, target string) *url.URL {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: host, Opaque: target}
	}
	// As an opaque URL, it would be sent with the scheme before it.
	path, query, hasQuery := strings.Cut(target, "?")
	unescaped, _ := url.PathUnescape(path)
	return &url.URL{Scheme: "http", Host: host, Path: unescaped, RawPath: path, RawQuery: query, ForceQuery: hasQuery}
}

// Target returns the target of a caller's request. One in absolute form gets the scheme and host by which net/http recognizes
// this form when it sends the request to another node, and a path if it has none.
func Target(r *http.Request) string {
	if r.URL.Scheme == "" {
		return r.RequestURI
	}
	_, rest, _ := strings.Cut(r.RequestURI, "://")
	pathAndQuery := strings.TrimLeftFunc(rest, func(c rune) bool { return c != '/' && c != '?' })
	if !strings.HasPrefix(pathAndQuery, "/") {
		pathAndQuery = "/" + pathAndQuery
	}
	return "http://" + r.Host + pathAndQuery
}

// Answer is a backend server's answer with the load hint in its headers.
type Answer struct {
	Response *http.Response
	Load     Load
	HasLoad  bool
	ServedBy string
}

// RoundTripper sends an attempt to a backend server. Its errors are of type *OutcomeError; an answer
// that is returned with an error holds only the load hint.
type RoundTripper interface {
	RoundTrip(ctx context.Context, candidate *Candidate, attempt *Attempt) (*Answer, error)
}

// Router matches requests to routes.
type Router interface {
	// Match returns the route for a request, or nil. The host is that of the request, with its port if it has one, and
	// the path that of its target, with its escapes.
	Match(host, path, method string) *Route
	// Route returns the route with the name, or nil.
	Route(name string) *Route
	// Permitted returns the regions that may serve the client's requests on the route. If no region
	// may, allowed is false. If all may, regions is empty and allowed is true.
	Permitted(route *Route, client string) (regions []string, allowed bool)
}

// Requirements restrict and rank the candidates of a request. Region, AvailabilityZone and Self, a
// name, are those of the entry node.
type Requirements struct {
	Region           string
	AvailabilityZone string
	Self             string
	Meta             *RequestMetadata
	Tried            []*Candidate
	// SpillAllowed permits candidates in other regions, which are reached over the link that is charged
	// for.
	SpillAllowed bool
	// Queues is set if the attempt may wait at its exit node, so that a candidate that takes no request yet is
	// better than none.
	Queues bool
}

// Chooser picks the candidate for an attempt, or nil. Implementations do no I/O and take the time
// and the random source as arguments.
type Chooser interface {
	Choose(candidates []*Candidate, requirements *Requirements, now time.Time, random *rand.Rand) *Candidate
}
