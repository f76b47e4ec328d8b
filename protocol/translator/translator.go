// Package translator turns the messages of the schema into the project's own types and back.
package translator

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"eelgrasspoint"
	"eelgrasspoint/protocol/schema"
)

// each applies a function to every element.
func each[From, To any](list []From, f func(From) To) []To {
	if len(list) == 0 {
		return nil
	}
	out := make([]To, len(list))
	for i, item := range list {
		out[i] = f(item)
	}
	return out
}

// Document returns the document of a message.
func Document(m *schema.Document) eelgrasspoint.Document {
	return eelgrasspoint.Document{
		Regions: each(m.GetRegions(), func(r *schema.Region) eelgrasspoint.Region {
			return eelgrasspoint.Region{Name: r.GetName()}
		}),
		AvailabilityZones: each(m.GetAvailabilityZones(), func(z *schema.AvailabilityZone) eelgrasspoint.AvailabilityZone {
			return eelgrasspoint.AvailabilityZone{Name: z.GetName(), Region: z.GetRegion(), OutOfService: z.GetOutOfService()}
		}),
		Services: each(m.GetServices(), func(s *schema.Service) eelgrasspoint.Service {
			return eelgrasspoint.Service{
				Name: s.GetName(), HealthPath: s.GetHealthPath(), Connections: s.GetConnections(),
				ColdStart: s.GetColdStart().AsDuration(), ColdRate: s.GetColdRate(),
			}
		}),
		Routes: each(m.GetRoutes(), route),
		Clients: each(m.GetClients(), func(c *schema.Client) eelgrasspoint.Client {
			return eelgrasspoint.Client{Name: c.GetName(), HomeRegions: c.GetHomeRegions()}
		}),
		Budgets: each(m.GetBudgets(), func(b *schema.Budget) eelgrasspoint.Budget {
			return eelgrasspoint.Budget{Name: b.GetName(), BytesPerSecond: b.GetBytesPerSecond()}
		}),
	}
}

// DocumentMessage returns the message of a document.
func DocumentMessage(d *eelgrasspoint.Document) *schema.Document {
	return &schema.Document{
		Regions: each(d.Regions, func(r eelgrasspoint.Region) *schema.Region {
			return &schema.Region{Name: r.Name}
		}),
		AvailabilityZones: each(d.AvailabilityZones, ZoneMessage),
		Services: each(d.Services, func(s eelgrasspoint.Service) *schema.Service {
			return &schema.Service{
				Name: s.Name, HealthPath: s.HealthPath, Connections: s.Connections,
				ColdStart: duration(s.ColdStart), ColdRate: s.ColdRate,
			}
		}),
		Routes: each(d.Routes, routeMessage),
		Clients: each(d.Clients, func(c eelgrasspoint.Client) *schema.Client {
			return &schema.Client{Name: c.Name, HomeRegions: c.HomeRegions}
		}),
		Budgets: each(d.Budgets, func(b eelgrasspoint.Budget) *schema.Budget {
			return &schema.Budget{Name: b.Name, BytesPerSecond: b.BytesPerSecond}
		}),
	}
}

// ZoneMessage returns the message of an availability zone.
func ZoneMessage(z eelgrasspoint.AvailabilityZone) *schema.AvailabilityZone {
	return &schema.AvailabilityZone{Name: z.Name, Region: z.Region, OutOfService: z.OutOfService}
}

func route(r *schema.Route) eelgrasspoint.Route {
	return eelgrasspoint.Route{
		Name: r.GetName(), Host: r.GetHost(), PathPrefix: r.GetPathPrefix(), Methods: r.GetMethods(),
		Service: r.GetService(), Kind: r.GetKind(), Weight: r.GetWeight(), Idempotent: r.GetIdempotent(),
		Hedge: r.GetHedge(), TimeLimit: r.GetTimeLimit().AsDuration(), HomeRegions: r.GetHomeRegions(),
		TargetLatency: r.GetTargetLatency().AsDuration(), MaxAttempts: r.GetMaxAttempts(),
		Split: each(r.GetSplit(), func(s *schema.Share) eelgrasspoint.Share {
			return eelgrasspoint.Share{Service: s.GetService(), Weight: s.GetWeight()}
		}),
	}
}

func routeMessage(r eelgrasspoint.Route) *schema.Route {
	return &schema.Route{
		Name: r.Name, Host: r.Host, PathPrefix: r.PathPrefix, Methods: r.Methods,
		Service: r.Service, Kind: r.Kind, Weight: r.Weight, Idempotent: r.Idempotent,
		Hedge: r.Hedge, TimeLimit: durationpb.New(r.TimeLimit), HomeRegions: r.HomeRegions,
		TargetLatency: duration(r.TargetLatency), MaxAttempts: r.MaxAttempts,
		Split: each(r.Split, func(s eelgrasspoint.Share) *schema.Share {
			return &schema.Share{Service: s.Service, Weight: s.Weight}
		}),
	}
}

// duration leaves zero out of a message.
func duration(d time.Duration) *durationpb.Duration {
	if d == 0 {
		return nil
	}
	return durationpb.New(d)
}

// Removal returns the removal of a message.
func Removal(m *schema.Removal) eelgrasspoint.Removal {
	return eelgrasspoint.Removal{
		Regions: m.GetRegions(), AvailabilityZones: m.GetAvailabilityZones(), Services: m.GetServices(),
		Routes: m.GetRoutes(), Clients: m.GetClients(), Budgets: m.GetBudgets(),
	}
}

// Configuration returns the configuration of a message.
func Configuration(m *schema.GetResponse) eelgrasspoint.Configuration {
	return eelgrasspoint.Configuration{Revision: m.GetRevision(), Document: Document(m.GetConfiguration())}
}

// ConfigurationMessage returns the message of a configuration.
func ConfigurationMessage(c *eelgrasspoint.Configuration) *schema.GetResponse {
	return &schema.GetResponse{Revision: c.Revision, Configuration: DocumentMessage(&c.Document)}
}

// Member returns the member of a message. A peer address that does not parse makes it invalid.
func Member(m *schema.Member) (eelgrasspoint.Member, error) {
	address, err := netip.ParseAddrPort(m.GetPeerAddress())
	if err != nil {
		return eelgrasspoint.Member{}, err
	}
	member := eelgrasspoint.Member{
		Name: m.GetName(), Region: m.GetRegion(), AvailabilityZone: m.GetAvailabilityZone(), PeerAddress: address,
		Incarnation: m.GetIncarnation(), Version: m.GetVersion(), Left: m.GetLeft(), Failed: m.GetFailed(),
	}
	if m.GetBackendServer() != nil {
		member.BackendServer, err = backendServer(m.GetBackendServer())
	}
	return member, err
}

func backendServer(m *schema.BackendServer) (*eelgrasspoint.BackendServer, error) {
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		return nil, err
	}
	return &eelgrasspoint.BackendServer{
		Service: m.GetService(), Address: address, Incarnation: m.GetIncarnation(),
		Slots: m.GetSlots(), Connections: m.GetConnections(), Draining: m.GetDraining(),
	}, nil
}

// MemberMessage returns the message of a member.
func MemberMessage(m eelgrasspoint.Member) *schema.Member {
	message := &schema.Member{
		Name: m.Name, Region: m.Region, AvailabilityZone: m.AvailabilityZone, PeerAddress: m.PeerAddress.String(),
		Incarnation: m.Incarnation, Version: m.Version, Left: m.Left, Failed: m.Failed,
	}
	if b := m.BackendServer; b != nil {
		message.BackendServer = &schema.BackendServer{
			Service: b.Service, Address: b.Address.String(), Incarnation: b.Incarnation,
			Slots: b.Slots, Connections: b.Connections, Draining: b.Draining,
		}
	}
	return message
}

// MemberMessages returns the messages of members.
func MemberMessages(list []eelgrasspoint.Member) []*schema.Member { return each(list, MemberMessage) }

// maxCounter bounds incarnations and versions, so that a node can always raise its own.
const maxCounter = 1 << 62

// Members returns the valid members of messages and the number of the others.
func Members(list []*schema.Member) (members []eelgrasspoint.Member, invalid int) {
	for _, m := range list {
		member, err := Member(m)
		if err != nil || member.Name == "" || member.Incarnation > maxCounter || member.Version > maxCounter {
			invalid++
			continue
		}
		members = append(members, member)
	}
	return members, invalid
}

// Load returns the load of a message.
func Load(m *schema.Load) eelgrasspoint.Load {
	return eelgrasspoint.Load{InUse: m.GetInUse(), Limit: m.GetLimit(), Queued: m.GetQueued(), Expected: m.GetExpected().AsDuration()}
}

// LoadMessage returns the message of a load.
func LoadMessage(l eelgrasspoint.Load) *schema.Load {
	return &schema.Load{InUse: l.InUse, Limit: l.Limit, Queued: l.Queued, Expected: durationpb.New(l.Expected)}
}

// EventMessage returns the message of an event.
func EventMessage(e eelgrasspoint.Event) *schema.Event {
	return &schema.Event{
		Wall: uint64(e.Wall.UnixNano()), Logical: e.Logical, Node: e.Node, Number: uint32(e.Number),
		Name: e.Number.String(), Service: e.Service, AvailabilityZone: e.AvailabilityZone,
		RequestId: e.RequestID, Detail: e.Detail,
	}
}

// Event returns the event of a message.
func Event(m *schema.Event) eelgrasspoint.Event {
	return eelgrasspoint.Event{
		Wall: time.Unix(0, int64(m.GetWall())), Logical: m.GetLogical(), Node: m.GetNode(),
		Number: eelgrasspoint.EventNumber(m.GetNumber()), Service: m.GetService(),
		AvailabilityZone: m.GetAvailabilityZone(), RequestID: m.GetRequestId(), Detail: m.GetDetail(),
	}
}

// MistakeMessages returns the messages of mistakes.
func MistakeMessages(list []eelgrasspoint.Mistake) []*schema.FieldMistake {
	return each(list, func(m eelgrasspoint.Mistake) *schema.FieldMistake {
		return &schema.FieldMistake{Path: m.Path, Message: m.Message}
	})
}
