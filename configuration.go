package eelgrasspoint

import (
	"slices"
	"time"
)

// Region is a group of availability zones behind one paid link.
type Region struct{ Name string }

// AvailabilityZone is a group of VMs that operators take out of service together.
type AvailabilityZone struct {
	Name         string
	Region       string
	OutOfService bool
}

// Service is what a group of backend servers offers. Fields other than the name are optional.
type Service struct {
	Name string
	// HealthPath answers health checks.
	HealthPath string
	// Connections is how many a backend server accepts from all callers together.
	Connections uint32
	// ColdStart is how long a backend server that has just started is cold.
	ColdStart time.Duration
	// ColdRate is how many requests per second a cold backend server bears.
	ColdRate float64
}

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service string
	Weight  uint32
}

// Route sends the requests that match it to a service.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string
	Methods     []string
	Service     string
	Kind        string
	Weight      uint32
	Idempotent  bool
	Hedge       bool
	TimeLimit   time.Duration
	HomeRegions []string
	// TargetLatency is the time within which an answer has its full worth, or zero.
	TargetLatency time.Duration
	// MaxAttempts bounds the backend servers that one request is sent to, or is zero.
	MaxAttempts uint32
	// Split distributes the requests among services in place of Service.
	Split []Share
}

// Allows reports whether the route's requests may go to the service.
func (r *Route) Allows(service string) bool {
	if len(r.Split) == 0 {
		return r.Service == service
	}
	return slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// PickService returns the service of one request; the draw is evenly distributed from 0 to below 1.
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

// Client is a customer whose requests may be bound to home regions.
type Client struct {
	Name        string
	HomeRegions []string
}

// Budget limits the bytes per second that a node spends on one purpose.
type Budget struct {
	Name           string
	BytesPerSecond uint32
}

// Document is a set of definitions.
type Document struct {
	Regions           []Region
	AvailabilityZones []AvailabilityZone
	Services          []Service
	Routes            []Route
	Clients           []Client
	Budgets           []Budget
}

// Service returns the definition of a service, or the zero value if there is none.
func (d *Document) Service(name string) Service {
	for _, service := range d.Services {
		if service.Name == name {
			return service
		}
	}
	return Service{}
}

// Removal names definitions to delete.
type Removal struct {
	Regions           []string
	AvailabilityZones []string
	Services          []string
	Routes            []string
	Clients           []string
	Budgets           []string
}

// Configuration is the document in force and the revision that made it. It is immutable.
type Configuration struct {
	Revision uint64
	Document Document
}
