package eelgrasspoint

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// RequestMetadata is what the system knows of a request besides its HTTP form.
type RequestMetadata struct {
	RequestID   string
	Client      string
	Route       string
	Service     string
	Kind        string
	Weight      uint32
	Idempotent  bool
	Hedge       bool
	Depth       int
	Deadline    time.Time
	Permitted   []string
	Fingerprint uint64
	Attempt     int
	// Insists tells an exit node to wait, rather than to refuse, while its backend server is slow or full.
	Insists bool
	// Caller is the service beside the entry node.
	Caller string
	// Revision is that of the configuration by which the entry node chose.
	Revision uint64
	// TargetLatency is the time within which an answer has its full worth, or zero.
	TargetLatency time.Duration
}

// RegionBound reports whether the request is bound to home regions.
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

// SetRoute copies what a route says of its requests.
func (m *RequestMetadata) SetRoute(route *Route) {
	m.Route = route.Name
	m.Service = route.Service
	m.Kind = route.Kind
	m.Weight = route.Weight
	m.Idempotent = route.Idempotent
	m.Hedge = route.Hedge
	m.TargetLatency = route.TargetLatency
}

// ExpectsContinue reports whether a body of the length, negative if it is unknown, is sent only after the
// exit node has admitted its request.
func ExpectsContinue(length int64) bool { return length < 0 || length > MaxBodyBytesWithoutContinue }

// Attempt is one sending of a request to one backend server.
type Attempt struct {
	Meta   RequestMetadata
	Method string
	Target string
	Host   string
	Header http.Header
	Body   io.ReadCloser
	Length int64
}

// Answer is a backend server's answer, with the load hint that rode on it.
type Answer struct {
	Response *http.Response
	Load     Load
	HasLoad  bool
	ServedBy string
}

// RoundTripper takes an attempt to a backend server. An error is always an *OutcomeError.
type RoundTripper interface {
	RoundTrip(ctx context.Context, candidate *Candidate, attempt *Attempt) (*Answer, error)
}

// Router finds the route of a request.
type Router interface {
	// Match returns the route of a request, or nil.
	Match(host, path, method string) *Route
	// Route returns the route with the name, or nil.
	Route(name string) *Route
	// Permitted returns the regions that a request of the client on the route is bound to,
	// and whether there is any. No region and true means that it is not bound.
	Permitted(route *Route, client string) (regions []string, lawful bool)
}

// Requirements is what a choice has to meet.
type Requirements struct {
	Region           string
	AvailabilityZone string
	Self             string
	Meta             *RequestMetadata
	Tried            []*Candidate
	SpillAllowed     bool
}

// Chooser picks a candidate, or nil. Implementations are pure: they take the time and the
// random source as arguments and do no I/O.
type Chooser interface {
	Choose(candidates []*Candidate, need *Requirements, now time.Time, random *rand.Rand) *Candidate
}
