package eelgrasspoint

import "time"

// Region is a group of availability zones behind one paid link.
type Region struct{ Name string }

// AvailabilityZone is a group of VMs that operators take out of service together.
type AvailabilityZone struct {
	Name         string
	Region       string
	OutOfService bool
}

// Service is what a group of backend servers offers.
type Service struct{ Name string }

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

// Removal names definitions to delete.
type Removal struct {
	Regions           []string
	AvailabilityZones []string
	Services          []string
	Routes            []string
	Clients           []string
	Budgets           []string
}

// Change is one numbered step of the configuration.
type Change struct {
	Revision    uint64
	ChangeID    string
	Put         Document
	Remove      Removal
	CommittedAt time.Time
	CommittedBy string
}

// Configuration is the document in force and the revision that made it. It is immutable.
type Configuration struct {
	Revision uint64
	Document Document
}
