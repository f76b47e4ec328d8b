package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	"eelgrasspoint/protocol/schema"
)

// operator makes changes and remembers which are certain.
type operator struct {
	soak *Soak
	// zone is held while a zone is out of service.
	zone sync.Mutex

	mu sync.Mutex
	// out are the spans in which a zone is known to be out of service.
	out map[string][]span
	// moves are the changes of the moving route, oldest first.
	moves []move
	// revision is the highest that was accepted, and when.
	revision   uint64
	acceptedAt time.Time
}

// move is a change of the moving route's service.
type move struct {
	service string
	// asked is when the change was sent; accepted is zero if that is not known.
	asked, accepted time.Time
}

// homeRegion is the only region that may run statements.
const homeRegion = "astana"

// begin applies the configuration that a run starts with.
func (o *operator) begin(ctx context.Context) error {
	o.out = make(map[string][]span)
	document := &schema.Document{Regions: []*schema.Region{{Name: "almaty"}, {Name: "astana"}}}
	for _, zone := range zones {
		document.AvailabilityZones = append(document.AvailabilityZones, &schema.AvailabilityZone{Name: zone, Region: zone[:6]})
	}
	for _, service := range services {
		document.Services = append(document.Services, &schema.Service{Name: service})
	}
	limit := durationpb.New(timeLimit)
	document.Routes = []*schema.Route{
		{Name: "catalogue", PathPrefix: "/catalogue", Service: "vitrine", Weight: 2, Idempotent: true, Hedge: true, TimeLimit: limit},
		{Name: "bookings", PathPrefix: "/bookings", Service: "bench", Weight: 5, TimeLimit: limit},
		{Name: "photographs", PathPrefix: "/photographs", Service: "ledger", Weight: 1, TimeLimit: limit},
		{Name: "statements", PathPrefix: "/statements", Service: "ledger", Weight: 2, Idempotent: true, TimeLimit: limit, HomeRegions: []string{homeRegion}},
		moving(services[0]),
	}
	if !o.apply(ctx, document) {
		return fmt.Errorf("the first configuration was not accepted")
	}
	o.moves = []move{{service: services[0], asked: o.acceptedAt, accepted: o.acceptedAt}}
	return nil
}

func moving(service string) *schema.Route {
	return &schema.Route{Name: "moving", PathPrefix: "/moving", Service: service, Weight: 3, TimeLimit: durationpb.New(timeLimit)}
}

// apply sends a change to some node and reports whether it is known to be accepted.
func (o *operator) apply(ctx context.Context, document *schema.Document) bool {
	s := o.soak
	request := &schema.ApplyRequest{ChangeId: uuid.NewString(), Put: document, Force: zones}
	for range 3 {
		v := s.vms[s.draw(len(s.vms))]
		response, err := v.operators().Apply(ctx, request)
		if err == nil && response.GetResult() == schema.ApplyResult_APPLY_RESULT_ACCEPTED {
			o.mu.Lock()
			defer o.mu.Unlock()
			if response.GetRevision() > o.revision {
				o.revision, o.acceptedAt = response.GetRevision(), time.Now()
			}
			return true
		}
	}
	return false
}

// setZone takes a zone out of service or back in.
func (o *operator) setZone(ctx context.Context, zone string, out bool) {
	if !out {
		o.endOut(zone)
	}
	accepted := o.apply(ctx, &schema.Document{AvailabilityZones: []*schema.AvailabilityZone{{Name: zone, Region: zone[:6], OutOfService: out}}})
	o.soak.logf("zone %s out of service %v: accepted %v", zone, out, accepted)
	if !out || !accepted {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.out[zone] = append(o.out[zone], span{from: time.Now()})
}

func (o *operator) endOut(zone string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	spans := o.out[zone]
	for i := range spans {
		if spans[i].to.IsZero() {
			spans[i].to = time.Now()
		}
	}
}

// isOut reports whether a zone had been out of service for the time at a moment.
func (o *operator) isOut(zone string, at time.Time, since time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, d := range o.out[zone] {
		if at.After(d.from.Add(since)) && (d.to.IsZero() || at.Before(d.to)) {
			return true
		}
	}
	return false
}

// moveRoute sends the moving route to another service.
func (o *operator) moveRoute(ctx context.Context) {
	o.mu.Lock()
	next := services[len(o.moves)%len(services)]
	o.moves = append(o.moves, move{service: next, asked: time.Now()})
	place := len(o.moves) - 1
	o.mu.Unlock()
	accepted := o.apply(ctx, &schema.Document{Routes: []*schema.Route{moving(next)}})
	o.soak.logf("route moving to %s: accepted %v", next, accepted)
	if !accepted {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.moves[place].accepted = time.Now()
}

// allowed reports whether a request sent at a moment may run at the service: that of the last
// change accepted a propagation time before, or of any change asked for since.
func (o *operator) allowed(service string, sent time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := len(o.moves) - 1; i >= 0; i-- {
		if o.moves[i].service == service {
			return true
		}
		if accepted := o.moves[i].accepted; !accepted.IsZero() && accepted.Add(propagation).Before(sent) {
			return false
		}
	}
	return false
}

// propagation is the time in which an accepted change is in force everywhere.
const propagation = 3 * time.Second
