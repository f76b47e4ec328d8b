package simulator

import (
	"context"
	"net/http"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/protocol/translator"
)

// Workshop returns a configuration of the Workshop's regions, zones, services and routes.
func Workshop() *eelgrasspoint.Document {
	return &eelgrasspoint.Document{
		Regions: []eelgrasspoint.Region{{Name: "almaty"}, {Name: "astana"}},
		AvailabilityZones: []eelgrasspoint.AvailabilityZone{
			{Name: "almaty-a", Region: "almaty"},
			{Name: "almaty-b", Region: "almaty"},
			{Name: "astana-a", Region: "astana"},
			{Name: "astana-b", Region: "astana"},
		},
		Services: []eelgrasspoint.Service{{Name: "vitrine"}, {Name: "bench"}, {Name: "ledger"}},
		Routes: []eelgrasspoint.Route{
			{Name: "catalogue", PathPrefix: "/catalogue", Service: "vitrine", Kind: "page", Weight: 2, Idempotent: true, TimeLimit: 2 * time.Second},
			{Name: "bookings", PathPrefix: "/bookings", Service: "bench", Kind: "booking", Weight: 5, TimeLimit: 5 * time.Second},
			{Name: "photographs", PathPrefix: "/photographs", Service: "bench", Kind: "upload", Weight: 1, TimeLimit: 30 * time.Second},
			{Name: "payments", PathPrefix: "/payments", Service: "ledger", Kind: "payment", Weight: 10, TimeLimit: 5 * time.Second},
			{Name: "statements", PathPrefix: "/statements", Service: "ledger", Kind: "page", Weight: 2, Idempotent: true, TimeLimit: 2 * time.Second, HomeRegions: []string{"astana"}},
		},
		Clients: []eelgrasspoint.Client{
			{Name: "household"},
			{Name: "museum-almaty", HomeRegions: []string{"almaty"}},
			{Name: "museum-astana", HomeRegions: []string{"astana"}},
		},
	}
}

// Apply commits a document through a node and returns what the node says.
func (s *Simulator) Apply(ctx context.Context, n *Node, document *eelgrasspoint.Document) *schema.ApplyResponse {
	return s.Commit(ctx, n, &schema.ApplyRequest{Put: translator.DocumentMessage(document)})
}

// Commit sends a change to a node; a call without an answer has the result UNSPECIFIED.
func (s *Simulator) Commit(ctx context.Context, n *Node, request *schema.ApplyRequest) *schema.ApplyResponse {
	client, done := s.operators(n)
	defer done()
	response, err := client.Apply(ctx, request)
	if err != nil {
		return &schema.ApplyResponse{Detail: err.Error()}
	}
	return response
}

// SetZone takes a zone out of service or in.
func (s *Simulator) SetZone(ctx context.Context, n *Node, region, zone string, out bool, force ...string) *schema.ApplyResponse {
	return s.Commit(ctx, n, &schema.ApplyRequest{Force: force, Put: &schema.Document{
		AvailabilityZones: []*schema.AvailabilityZone{{Name: zone, Region: region, OutOfService: out}},
	}})
}

// Rollout returns the revision that each node answers to another.
func (s *Simulator) Rollout(ctx context.Context, n *Node) *schema.RolloutResponse {
	client, done := s.operators(n)
	defer done()
	response, err := client.Rollout(ctx, &schema.RolloutRequest{})
	if err != nil {
		return &schema.RolloutResponse{}
	}
	return response
}

func (s *Simulator) operators(n *Node) (schema.Operators, func()) {
	client := &http.Client{Transport: &http.Transport{DialContext: s.Network.Dial(s.client), DisableKeepAlives: true}}
	return schema.NewOperatorsProtobufClient(n.ControlURL(), client), client.CloseIdleConnections
}

// Timeline returns the events of all nodes that a node may show.
func (s *Simulator) Timeline(ctx context.Context, n *Node) []*schema.Event {
	client, done := s.operators(n)
	defer done()
	response, err := client.Timeline(ctx, &schema.TimelineRequest{Everywhere: true})
	if err != nil {
		return nil
	}
	return response.GetEvents()
}
