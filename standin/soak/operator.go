package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	"eelgrasspoint/protocol/schema"
)

// operator makes configuration changes and records which were accepted, and when.
type operator struct {
	soak *Soak
	// zoneLock is held while a zone is out of service, so that at most one is out.
	zoneLock sync.Mutex

	mu sync.Mutex
	// outOfServiceIntervals are the intervals in which a zone is certain to be out of service, by zone.
	outOfServiceIntervals map[string][]interval
	// routeChanges are the changes of the moving route, in the order in which they were sent.
	routeChanges []routeChange
	// revision is the highest accepted revision, acceptedAt when it was accepted.
	revision   uint64
	acceptedAt time.Time
}

// routeChange is a change of the moving route to another service.
type routeChange struct {
	service string
	// sentAt and endedAt are when the call for the change began and ended; endedAt is zero before.
	sentAt, endedAt time.Time
	// revision is that of the change, or zero if it is not known to be accepted.
	revision uint64
}

// inForceBy reports whether the change is known to be in force everywhere at a time, unless a later one replaces it.
func (c *routeChange) inForceBy(at time.Time) bool {
	return c.revision != 0 && c.endedAt.Add(propagationLimit).Before(at)
}

// isBefore reports whether the change is known to have taken effect before the other one, or not at all. Calls overlap, so that
// accepted changes are ordered by their revisions. Whether the change took effect may be unknown: then only a change that
// was sent after its call had ended is later.
func (c *routeChange) isBefore(other *routeChange) bool {
	if c.revision != 0 {
		return c.revision < other.revision
	}
	return !c.endedAt.IsZero() && other.sentAt.After(c.endedAt)
}

// homeRegion is the home region of the statements route.
const homeRegion = "astana"

// applyInitial applies the configuration that a run starts with.
func (o *operator) applyInitial(ctx context.Context) error {
	o.outOfServiceIntervals = make(map[string][]interval)
	document := &schema.Document{Regions: []*schema.Region{{Name: "almaty"}, {Name: "astana"}}}
	for _, zone := range zones {
		document.AvailabilityZones = append(document.AvailabilityZones, &schema.AvailabilityZone{Name: zone, Region: zone[:6]})
	}
	for _, service := range services {
		document.Services = append(document.Services, &schema.Service{Name: service})
	}
	limit := durationpb.New(requestTimeLimit)
	document.Routes = []*schema.Route{
		{Name: "catalogue", PathPrefix: "/catalogue", Service: "vitrine", Weight: 2, Idempotent: true, Hedge: true, TimeLimit: limit},
		{Name: "bookings", PathPrefix: "/bookings", Service: "bench", Weight: 5, TimeLimit: limit},
		{Name: "photographs", PathPrefix: "/photographs", Service: "ledger", Weight: 1, TimeLimit: limit},
		{Name: "statements", PathPrefix: "/statements", Service: "ledger", Weight: 2, Idempotent: true, TimeLimit: limit, HomeRegions: []string{homeRegion}},
		movingRoute(services[0]),
	}
	revision := o.apply(ctx, document)
	if revision == 0 {
		return fmt.Errorf("the initial configuration was not accepted")
	}
	o.routeChanges = []routeChange{{service: services[0], sentAt: o.acceptedAt, endedAt: o.acceptedAt, revision: revision}}
	return nil
}

// movingRoute returns the route that moves between services during a run.
func movingRoute(service string) *schema.Route {
	return &schema.Route{Name: "moving", PathPrefix: "/moving", Service: service, Weight: 3, TimeLimit: durationpb.New(requestTimeLimit)}
}

// apply sends a change to a random node, with two retries at random nodes under the same identifier,
// and returns the revision of the change, or zero if it is not known to be accepted.
func (o *operator) apply(ctx context.Context, document *schema.Document) uint64 {
	s := o.soak
	// Force lets each zone be taken out of service, also if it is the last with a service's backend servers.
	request := &schema.ApplyRequest{ChangeId: uuid.NewString(), Put: document, Force: zones}
	for range 3 {
		v := s.vms[s.randomInt(len(s.vms))]
		response, err := v.operators().Apply(ctx, request)
		if err == nil && response.GetResult() == schema.ApplyResult_APPLY_RESULT_ACCEPTED {
			o.mu.Lock()
			defer o.mu.Unlock()
			if response.GetRevision() > o.revision {
				o.revision, o.acceptedAt = response.GetRevision(), time.Now()
			}
			return response.GetRevision()
		}
	}
	return 0
}

// setZone takes a zone out of service or back in. It records since when the zone is out of service if that
// change was accepted.
func (o *operator) setZone(ctx context.Context, zone string, outOfService bool) {
	if !outOfService {
		o.endOutOfService(zone)
	}
	accepted := o.apply(ctx, &schema.Document{AvailabilityZones: []*schema.AvailabilityZone{{Name: zone, Region: zone[:6], OutOfService: outOfService}}}) != 0
	o.soak.logf("change of zone %s to OutOfService=%v: accepted=%v", zone, outOfService, accepted)
	if !outOfService || !accepted {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.outOfServiceIntervals[zone] = append(o.outOfServiceIntervals[zone], interval{from: time.Now()})
}

// endOutOfService records that the zone may be back in service from now on.
func (o *operator) endOutOfService(zone string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	intervals := o.outOfServiceIntervals[zone]
	for i := range intervals {
		if intervals[i].to.IsZero() {
			intervals[i].to = time.Now()
		}
	}
}

// outOfServiceFor reports whether, at the given time, the zone had been out of service for at least the
// duration atLeast.
func (o *operator) outOfServiceFor(zone string, at time.Time, atLeast time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, i := range o.outOfServiceIntervals[zone] {
		if at.After(i.from.Add(atLeast)) && (i.to.IsZero() || at.Before(i.to)) {
			return true
		}
	}
	return false
}

// moveRoute changes the moving route to the next service.
func (o *operator) moveRoute(ctx context.Context) {
	o.mu.Lock()
	next := services[len(o.routeChanges)%len(services)]
	o.routeChanges = append(o.routeChanges, routeChange{service: next, sentAt: time.Now()})
	index := len(o.routeChanges) - 1
	o.mu.Unlock()
	revision := o.apply(ctx, &schema.Document{Routes: []*schema.Route{movingRoute(next)}})
	o.soak.logf("change of route \"moving\" to service %s: accepted=%v, revision %d", next, revision != 0, revision)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.routeChanges[index].endedAt, o.routeChanges[index].revision = time.Now(), revision
}

// allowedAt reports whether a request of the moving route that started at requestStartedAt may run at the
// service: whether one of the changes to it is not known to be replaced everywhere by then.
func (o *operator) allowedAt(service string, requestStartedAt time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.ContainsFunc(o.routeChanges, func(c routeChange) bool {
		return c.service == service && !slices.ContainsFunc(o.routeChanges, func(later routeChange) bool {
			return later.inForceBy(requestStartedAt) && c.isBefore(&later)
		})
	})
}

// propagationLimit is the time within which an accepted change is in force at all nodes.
const propagationLimit = 3 * time.Second
