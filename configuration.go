package eelgrasspoint

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Region is a group of availability zones whose traffic with other regions uses one link that is
// charged for (see BudgetLink).
type Region struct{ Name string }

// AvailabilityZone is a group of VMs that operators can take out of service together.
type AvailabilityZone struct {
	Name         string
	Region       string
	OutOfService bool
	// ChangedAt is the revision of the latest change of OutOfService, or zero if none is known.
	ChangedAt Revision
}

// Service describes a group of interchangeable backend servers. Only Name is required.
type Service struct {
	Name string
	// HealthPath is the path of health checks.
	HealthPath string
	// Connections is the number of connections that a backend server accepts from all callers together.
	Connections uint32
	// ColdStart is the duration of a backend server's slow start.
	ColdStart time.Duration
	// ColdRate is the number of requests per second that a backend server can serve during slow start.
	ColdRate float64
}

// Share is the weight of one service in a traffic split.
type Share struct {
	Service string
	Weight  uint32
}

// Route sends the requests that match it to a service.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Methods    []string
	Service    string
	// Kind is the platform's kind of the route. It has no effect: Idempotent and Hedge decide whether
	// requests are repeated.
	Kind string
	// Weight is the priority of the requests in the queue of the exit node. Those with a higher weight
	// are admitted first, and evict one with a lower weight if the queue is full.
	Weight      uint32
	Idempotent  bool
	Hedge       bool
	TimeLimit   time.Duration
	HomeRegions []string
	// TargetLatency is the latency objective of the route, or zero.
	TargetLatency time.Duration
	// MaxAttempts bounds the attempts of one request that may reach a backend server; zero means
	// DefaultMaxAttempts.
	MaxAttempts uint32
	// Split distributes the requests among services by weight. If it is set, Service must be empty.
	Split []Share
}

// Refuses reports whether the route refuses all its requests, since its definition can't be read. It has no service.
func (r *Route) Refuses() bool { return r.Service == "" && len(r.Split) == 0 }

// Allows reports whether the route may send requests to the service.
func (r *Route) Allows(service string) bool {
	if len(r.Split) == 0 {
		return r.Service == service
	}
	return slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// PickService returns the service of one request, by weight. The draw is uniformly distributed
// in [0, 1).
func (r *Route) PickService(draw float64) string {
	var total uint64
	for _, share := range r.Split {
		total += uint64(share.Weight)
	}
	if total == 0 {
		return r.Service
	}
	left := draw * float64(total)
	for _, share := range r.Split {
		left -= float64(share.Weight)
		if left < 0 {
			return share.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// Client is a customer. HomeRegions restrict where its requests are served and stored.
type Client struct {
	Name        string
	HomeRegions []string
}

// Budget limits the bytes per second of one purpose, BudgetMeasuring or BudgetLink.
type Budget struct {
	Name           string
	BytesPerSecond uint32
}

// Document holds the definitions of a configuration.
type Document struct {
	Regions           []Region
	AvailabilityZones []AvailabilityZone
	Services          []Service
	Routes            []Route
	Clients           []Client
	Budgets           []Budget
}

// RefusedRoutes returns the number of routes that refuse all their requests.
func (d *Document) RefusedRoutes() int {
	refused := 0
	for i := range d.Routes {
		if d.Routes[i].Refuses() {
			refused++
		}
	}
	return refused
}

// Service returns the definition of a service, or the zero value if it is not defined.
func (d *Document) Service(name string) Service {
	for _, service := range d.Services {
		if service.Name == name {
			return service
		}
	}
	return Service{}
}

// Removal lists the names of definitions to delete.
type Removal struct {
	Regions           []string
	AvailabilityZones []string
	Services          []string
	Routes            []string
	Clients           []string
	Budgets           []string
}

// Configuration is an immutable document with its revision.
type Configuration struct {
	Revision Revision
	// Version is the number that the operators gave the document, or zero if it is unknown.
	Version uint64
	// NumberingEpoch is the epoch of the table service in which the operators went on with a lower number than one that the copy
	// lacked, or zero if they never did. Documents of a later one are newer, whatever their numbers are.
	NumberingEpoch uint64
	// ReadUpTo is the revision up to which this node has read all changes, if it has the configuration from the table service, and
	// Evacuated are the availability zones for which the table service then had a row that takes them out of service.
	ReadUpTo  Revision
	Evacuated []string
	// ReadEpoch is the latest epoch in which a node read the document from the table service. Written is set if this node
	// knows that it was written in that epoch, and not before the copy.
	ReadEpoch  uint64
	Written    bool
	Document   Document
	Provenance Provenance
}

// Provenance is how a node got a configuration. It is logged and decides nothing.
type Provenance struct {
	Origin Origin
	// Node is the name of the node that sent the configuration, for OtherNode.
	Node string
	// Took is how long the call lasted, with the wait for a change.
	Took time.Duration
	// Read is how long the answer of the table service took after its first byte, or the whole last call of a StoreScan, and Decode how
	// long it took from there to the configuration. Both are zero if unknown.
	Read, Decode time.Duration
	// SubmittedAt is when the configuration was submitted to the control state, or zero.
	SubmittedAt time.Time
	// InForceAt is when the node put the configuration in force.
	InForceAt time.Time
}

// Inputs returns what the log line of a decision says of the configuration that it was based on. readAt is the time of the
// last successful read of the table service, zero if there was none.
func (c *Configuration) Inputs(now, readAt time.Time) []Input {
	inputs := c.OriginInputs()
	if !c.Provenance.InForceAt.IsZero() {
		inputs = append(inputs, Input{Name: "InForceMilliseconds", Value: now.Sub(c.Provenance.InForceAt).Milliseconds()})
	}
	if !readAt.IsZero() {
		inputs = append(inputs, Input{Name: "ReadAgeMilliseconds", Value: now.Sub(readAt).Milliseconds()})
	}
	return inputs
}

// OriginInputs returns the numbers of the configuration, besides its revision, and where the node got it from.
func (c *Configuration) OriginInputs() []Input {
	inputs := []Input{{Name: "Origin", Value: c.Provenance.Origin.String()}}
	if c.Provenance.Node != "" {
		inputs = append(inputs, Input{Name: "From", Value: c.Provenance.Node})
	}
	if epoch := c.Revision.Epoch; epoch != 0 {
		inputs = append(inputs, Input{Name: "Epoch", Value: epoch})
	}
	if c.Version != 0 {
		inputs = append(inputs, Input{Name: "Version", Value: c.Version})
	}
	if c.NumberingEpoch != 0 {
		inputs = append(inputs, Input{Name: "NumberingEpoch", Value: c.NumberingEpoch})
	}
	return inputs
}

//go:generate stringer -type=Origin -output=origin_string.go

// Origin is where a node got a configuration from.
type Origin int

// Origins of configurations.
const (
	UnknownOrigin Origin = iota
	// StoreFeed is a call of the table service that waited for changes, StoreScan a read of all rows.
	StoreFeed
	StoreScan
	// OwnChange is a change that was made through the node.
	OwnChange
	OtherNode
)

// Digest returns a hash of the whole document, by which logs of several nodes can be compared.
func (d *Document) Digest() uint64 {
	hash := xxhash.New()
	// Unlike JSON, this form does not tell an empty list from one that is nil, as it is after the exchange.
	_, _ = fmt.Fprintf(hash, "%+v", *d)
	return hash.Sum64()
}

//go:generate stringer -type=ConfigurationStep -linecomment -output=configurationstep_string.go

// ConfigurationStep is a step of a change on its way to a node.
type ConfigurationStep int

// Steps of a change: the answer of the table service, its decoding, the fetch from another node, and the time from there until
// the configuration is published to the node's requests.
const (
	StepRead   ConfigurationStep = iota // read
	StepDecode                          // decode
	StepFetch                           // fetch
	StepApply                           // apply
)
