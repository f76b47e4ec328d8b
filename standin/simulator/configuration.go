package simulator

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/protocol/translator"
	"eelgrasspoint/state/connector"
	"eelgrasspoint/state/publisher"
)

// ExampleDocument returns an example configuration to apply in a simulator. It resembles
// examples/workshop.json, but has no methods and no budgets, and one more client.
func ExampleDocument() *eelgrasspoint.Document {
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

// ApplyDocument commits a document through a node and returns the node's response.
func (s *Simulator) ApplyDocument(ctx context.Context, n *Node, document *eelgrasspoint.Document) *schema.ApplyResponse {
	return s.Apply(ctx, n, &schema.ApplyRequest{Put: translator.DocumentMessage(document)})
}

// Publish replaces the published configuration of nodes that follow the platform, and returns its revision.
func (s *Simulator) Publish(ctx context.Context, document *eelgrasspoint.Document) (uint64, error) {
	client := &http.Client{Transport: &http.Transport{DialContext: s.Network.Dial(s.callerHost), DisableKeepAlives: true}}
	p := publisher.New(connector.New(s.platformAddress, client, func(string, string) {}))
	base, err := p.Read(ctx)
	if err != nil {
		return 0, err
	}
	revision := base.Configuration.Revision.Version + 1
	return revision, p.Replace(ctx, base, fmt.Sprint("published-", revision), document)
}

// Apply sends a change to a node. If the call fails, the response has the result UNSPECIFIED and the
// error as its detail.
func (s *Simulator) Apply(ctx context.Context, n *Node, request *schema.ApplyRequest) *schema.ApplyResponse {
	client, done := s.operatorsClient(n)
	defer done()
	response, err := client.Apply(ctx, request)
	if err != nil {
		return &schema.ApplyResponse{Detail: err.Error()}
	}
	return response
}

// SetZone takes a zone out of service or back in. force names the zones that may be taken out even if
// each is the last zone in service with backend servers of a service.
func (s *Simulator) SetZone(ctx context.Context, n *Node, region, zone string, outOfService bool, force ...string) *schema.ApplyResponse {
	return s.Apply(ctx, n, &schema.ApplyRequest{Force: force, Put: &schema.Document{
		AvailabilityZones: []*schema.AvailabilityZone{{Name: zone, Region: region, OutOfService: outOfService}},
	}})
}

// Rollout returns the revision of every node, collected through one node. It is empty if the call
// fails.
func (s *Simulator) Rollout(ctx context.Context, n *Node) *schema.RolloutResponse {
	client, done := s.operatorsClient(n)
	defer done()
	response, err := client.Rollout(ctx, &schema.RolloutRequest{})
	if err != nil {
		return &schema.RolloutResponse{}
	}
	return response
}

// operatorsClient returns a client for the operators' interface of a node, and a function that
// closes its idle connections.
func (s *Simulator) operatorsClient(n *Node) (schema.Operators, func()) {
	client := &http.Client{Transport: &http.Transport{DialContext: s.Network.Dial(s.callerHost), DisableKeepAlives: true}}
	return schema.NewOperatorsProtobufClient(n.ControlURL(), client), client.CloseIdleConnections
}

// Timeline returns the events of all nodes, collected through one node, or nil if the call fails.
func (s *Simulator) Timeline(ctx context.Context, n *Node) []*schema.Event {
	client, done := s.operatorsClient(n)
	defer done()
	response, err := client.Timeline(ctx, &schema.TimelineRequest{Everywhere: true})
	if err != nil {
		return nil
	}
	return response.GetEvents()
}
