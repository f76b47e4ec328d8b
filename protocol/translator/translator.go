// Package translator converts between the protobuf messages of the schema and the types of eelgrasspoint.
package translator

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"eelgrasspoint"
	"eelgrasspoint/protocol/schema"
)

// mapSlice applies f to every element. It returns nil for an empty slice.
func mapSlice[From, To any](list []From, f func(From) To) []To {
	if len(list) == 0 {
		return nil
	}
	out := make([]To, len(list))
	for i, item := range list {
		out[i] = f(item)
	}
	return out
}

// Document converts a message to a document.
func Document(m *schema.Document) eelgrasspoint.Document {
	return eelgrasspoint.Document{
		Regions: mapSlice(m.GetRegions(), func(r *schema.Region) eelgrasspoint.Region {
			return eelgrasspoint.Region{Name: r.GetName()}
		}),
		AvailabilityZones: mapSlice(m.GetAvailabilityZones(), func(z *schema.AvailabilityZone) eelgrasspoint.AvailabilityZone {
			return eelgrasspoint.AvailabilityZone{
				Name: z.GetName(), Region: z.GetRegion(), OutOfService: z.GetOutOfService(),
				ChangedAt: Revision(z.GetChangedAt(), z.GetLargeChangedAt()),
			}
		}),
		Services: mapSlice(m.GetServices(), func(s *schema.Service) eelgrasspoint.Service {
			return eelgrasspoint.Service{
				Name: s.GetName(), HealthPath: s.GetHealthPath(), Connections: s.GetConnections(),
				ColdStart: s.GetColdStart().AsDuration(), ColdRate: s.GetColdRate(),
			}
		}),
		Routes: mapSlice(m.GetRoutes(), routeFromMessage),
		Clients: mapSlice(m.GetClients(), func(c *schema.Client) eelgrasspoint.Client {
			return eelgrasspoint.Client{Name: c.GetName(), HomeRegions: c.GetHomeRegions()}
		}),
		Budgets: mapSlice(m.GetBudgets(), func(b *schema.Budget) eelgrasspoint.Budget {
			return eelgrasspoint.Budget{Name: b.GetName(), BytesPerSecond: b.GetBytesPerSecond()}
		}),
	}
}

// DocumentMessage converts a document to a message.
func DocumentMessage(d *eelgrasspoint.Document) *schema.Document {
	return &schema.Document{
		Regions: mapSlice(d.Regions, func(r eelgrasspoint.Region) *schema.Region {
			return &schema.Region{Name: r.Name}
		}),
		AvailabilityZones: mapSlice(d.AvailabilityZones, AvailabilityZoneMessage),
		Services: mapSlice(d.Services, func(s eelgrasspoint.Service) *schema.Service {
			return &schema.Service{
				Name: s.Name, HealthPath: s.HealthPath, Connections: s.Connections,
				ColdStart: optionalDuration(s.ColdStart), ColdRate: s.ColdRate,
			}
		}),
		Routes: mapSlice(d.Routes, routeMessage),
		Clients: mapSlice(d.Clients, func(c eelgrasspoint.Client) *schema.Client {
			return &schema.Client{Name: c.Name, HomeRegions: c.HomeRegions}
		}),
		Budgets: mapSlice(d.Budgets, func(b eelgrasspoint.Budget) *schema.Budget {
			return &schema.Budget{Name: b.Name, BytesPerSecond: b.BytesPerSecond}
		}),
	}
}

// AvailabilityZoneMessage converts an availability zone to a message.
func AvailabilityZoneMessage(z eelgrasspoint.AvailabilityZone) *schema.AvailabilityZone {
	changedAt, large := RevisionMessage(z.ChangedAt)
	return &schema.AvailabilityZone{Name: z.Name, Region: z.Region, OutOfService: z.OutOfService, ChangedAt: changedAt, LargeChangedAt: large}
}

func routeFromMessage(r *schema.Route) eelgrasspoint.Route {
	return eelgrasspoint.Route{
		Name: r.GetName(), Host: r.GetHost(), PathPrefix: r.GetPathPrefix(), Methods: r.GetMethods(),
		Service: r.GetService(), Kind: r.GetKind(), Weight: r.GetWeight(), Idempotent: r.GetIdempotent(),
		Hedge: r.GetHedge(), TimeLimit: r.GetTimeLimit().AsDuration(), HomeRegions: r.GetHomeRegions(),
		TargetLatency: r.GetTargetLatency().AsDuration(), MaxAttempts: r.GetMaxAttempts(),
		Split: mapSlice(r.GetSplit(), func(s *schema.Share) eelgrasspoint.Share {
			return eelgrasspoint.Share{Service: s.GetService(), Weight: s.GetWeight()}
		}),
	}
}

// routeMessage converts a route to a message. A zero TimeLimit is written, unlike a zero TargetLatency.
func routeMessage(r eelgrasspoint.Route) *schema.Route {
	return &schema.Route{
		Name: r.Name, Host: r.Host, PathPrefix: r.PathPrefix, Methods: r.Methods,
		Service: r.Service, Kind: r.Kind, Weight: r.Weight, Idempotent: r.Idempotent,
		Hedge: r.Hedge, TimeLimit: durationpb.New(r.TimeLimit), HomeRegions: r.HomeRegions,
		TargetLatency: optionalDuration(r.TargetLatency), MaxAttempts: r.MaxAttempts,
		Split: mapSlice(r.Split, func(s eelgrasspoint.Share) *schema.Share {
			return &schema.Share{Service: s.Service, Weight: s.Weight}
		}),
	}
}

// optionalDuration returns nil for zero, so that the field is omitted from the message.
func optionalDuration(d time.Duration) *durationpb.Duration {
	if d == 0 {
		return nil
	}
	return durationpb.New(d)
}

// Removal converts a message to a removal.
func Removal(m *schema.Removal) eelgrasspoint.Removal {
	return eelgrasspoint.Removal{
		Regions: m.GetRegions(), AvailabilityZones: m.GetAvailabilityZones(), Services: m.GetServices(),
		Routes: m.GetRoutes(), Clients: m.GetClients(), Budgets: m.GetBudgets(),
	}
}

// Configuration converts a message to a configuration. The document of an earlier version of the program may have been read
// in the epoch of the revision, and never in a later one.
func Configuration(m *schema.GetResponse) eelgrasspoint.Configuration {
	revision := Revision(m.GetRevision(), m.GetLargeRevision())
	readEpoch := revision.Epoch
	if m.ReadEpoch != nil {
		readEpoch = m.GetReadEpoch()
	}
	return eelgrasspoint.Configuration{
		Revision: revision, Version: m.GetVersion(), NumberingEpoch: m.GetNumberingEpoch(),
		ReadEpoch: readEpoch,
		Document:  Document(m.GetConfiguration()),
	}
}

// ConfigurationMessage converts a configuration to a message.
func ConfigurationMessage(c *eelgrasspoint.Configuration) *schema.GetResponse {
	revision, large := RevisionMessage(c.Revision)
	return &schema.GetResponse{
		Revision: revision, LargeRevision: large, Version: c.Version, NumberingEpoch: c.NumberingEpoch,
		ReadEpoch:     &c.ReadEpoch,
		Configuration: DocumentMessage(&c.Document),
	}
}

// Member converts a message to a member. It returns an error if the peer address or the backend server's
// address is invalid.
func Member(m *schema.Member) (eelgrasspoint.Member, error) {
	address, err := netip.ParseAddrPort(m.GetPeerAddress())
	if err != nil {
		return eelgrasspoint.Member{}, err
	}
	member := eelgrasspoint.Member{
		Name: m.GetName(), Region: m.GetRegion(), AvailabilityZone: m.GetAvailabilityZone(), PeerAddress: address,
		Incarnation: m.GetIncarnation(), Version: m.GetVersion(), Left: m.GetLeft(), Failed: m.GetFailed(),
		Departures: departures(m.GetDepartures()),
	}
	if m.GetBackendServer() != nil {
		member.BackendServer, err = backendServerFromMessage(m.GetBackendServer())
	}
	return member, err
}

func backendServerFromMessage(m *schema.BackendServer) (*eelgrasspoint.BackendServer, error) {
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		return nil, err
	}
	return &eelgrasspoint.BackendServer{
		Service: m.GetService(), Address: address, Incarnation: m.GetIncarnation(),
		Slots: m.GetSlots(), Connections: m.GetConnections(), Draining: m.GetDraining(),
	}, nil
}

// MemberMessage converts a member to a message.
func MemberMessage(m eelgrasspoint.Member) *schema.Member {
	message := &schema.Member{
		Name: m.Name, Region: m.Region, AvailabilityZone: m.AvailabilityZone, PeerAddress: m.PeerAddress.String(),
		Incarnation: m.Incarnation, Version: m.Version, Left: m.Left, Failed: m.Failed,
		Departures: mapSlice(m.Departures, DepartureMessage),
	}
	if b := m.BackendServer; b != nil {
		message.BackendServer = &schema.BackendServer{
			Service: b.Service, Address: b.Address.String(), Incarnation: b.Incarnation,
			Slots: b.Slots, Connections: b.Connections, Draining: b.Draining,
		}
	}
	return message
}

// Departure converts a message to a departure.
func Departure(m *schema.Departure) eelgrasspoint.Departure {
	return eelgrasspoint.Departure{ID: m.GetId(), Incarnation: m.GetIncarnation(), At: time.Unix(0, int64(m.GetWall()))}
}

// DepartureMessage converts a departure to a message.
func DepartureMessage(d eelgrasspoint.Departure) *schema.Departure {
	return &schema.Departure{Id: d.ID, Incarnation: d.Incarnation, Wall: uint64(d.At.UnixNano())}
}

// departures converts messages to departures, at most MaxDepartures.
func departures(list []*schema.Departure) []eelgrasspoint.Departure {
	return mapSlice(list[max(0, len(list)-eelgrasspoint.MaxDepartures):], Departure)
}

// MemberMessages converts members to messages.
func MemberMessages(list []eelgrasspoint.Member) []*schema.Member {
	return mapSlice(list, MemberMessage)
}

// maxCounter bounds the incarnations and versions accepted from other nodes, so that a node can always
// publish a higher one of its own.
const maxCounter = 1 << 62

// Members converts messages to members and returns the number of invalid messages, which are skipped.
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

// Load converts a message to a load hint.
func Load(m *schema.Load) eelgrasspoint.Load {
	return eelgrasspoint.Load{InUse: m.GetInUse(), Limit: m.GetLimit(), Queued: m.GetQueued(), Expected: m.GetExpected().AsDuration()}
}

// LoadMessage converts a load hint to a message, without Slowness.
func LoadMessage(l eelgrasspoint.Load) *schema.Load {
	return &schema.Load{InUse: l.InUse, Limit: l.Limit, Queued: l.Queued, Expected: durationpb.New(l.Expected)}
}

// EventMessage converts an event to a message, without Inputs and Permitted.
func EventMessage(e eelgrasspoint.Event) *schema.Event {
	return &schema.Event{
		Wall: uint64(e.Wall.UnixNano()), Logical: e.Logical, Node: e.Node, Number: uint32(e.Number),
		Name: e.Number.String(), Service: e.Service, AvailabilityZone: e.AvailabilityZone,
		RequestId: e.RequestID, Detail: e.Detail,
	}
}

// Event converts a message to an event.
func Event(m *schema.Event) eelgrasspoint.Event {
	return eelgrasspoint.Event{
		Wall: time.Unix(0, int64(m.GetWall())), Logical: m.GetLogical(), Node: m.GetNode(),
		Number: eelgrasspoint.EventNumber(m.GetNumber()), Service: m.GetService(),
		AvailabilityZone: m.GetAvailabilityZone(), RequestID: m.GetRequestId(), Detail: m.GetDetail(),
	}
}

// MistakeMessages converts mistakes to messages.
func MistakeMessages(list []eelgrasspoint.Mistake) []*schema.FieldMistake {
	return mapSlice(list, func(m eelgrasspoint.Mistake) *schema.FieldMistake {
		return &schema.FieldMistake{Path: m.Path, Message: m.Message}
	})
}
