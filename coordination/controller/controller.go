// Package controller owns the control state of a node: who is a member, what is configured
// and what the backend server announced. One goroutine changes it; all others read the
// immutable snapshots that it publishes.
package controller

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/assigner"
	"eelgrasspoint/coordination/router"
	"eelgrasspoint/state/holder"
)

// Controller takes commands, one at a time.
type Controller struct {
	options  Options
	commands chan Command
	stopped  chan struct{}
	view     atomic.Pointer[eelgrasspoint.MembershipView]
	wake     chan struct{}

	// What follows belongs to Run alone.
	self          eelgrasspoint.Member
	members       map[string]eelgrasspoint.Member
	deadSince     map[string]time.Time
	gauges        map[string]*eelgrasspoint.ServerStats
	gaugeOf       map[string]uint64
	newsUntil     map[string]time.Time
	configuration *eelgrasspoint.Configuration
	router        *router.Router
	announcedAt   time.Time
	draining      bool
	bridgeOffset  int
	lifetime      lifetime
}

// Options are what a controller depends on.
type Options struct {
	Self     eelgrasspoint.Member
	Holder   *holder.Holder
	Recorder eelgrasspoint.Recorder
	Clock    eelgrasspoint.Clock
	// SetBackend passes on what the backend server announced.
	SetBackend func(*eelgrasspoint.BackendServer)
	// SetCold passes on how long the backend server said it will be cold; it is optional.
	SetCold func(time.Duration)
	// AnnouncementTTL is how long an announcement holds.
	AnnouncementTTL time.Duration
	// ZoneBack is told when the node's availability zone is in service again; it is optional.
	ZoneBack func()
	// SetBudgets passes on the budgets of a new revision and the nodes of the region.
	SetBudgets func(document *eelgrasspoint.Document, nodesInRegion int)
}

// Command changes the control state.
type Command interface{ apply(c *Controller) }

// New returns a controller that knows only its own node.
func New(options Options) *Controller {
	if options.AnnouncementTTL == 0 {
		options.AnnouncementTTL = eelgrasspoint.AnnouncementTTL
	}
	c := &Controller{
		options:       options,
		commands:      make(chan Command, 64),
		stopped:       make(chan struct{}),
		wake:          make(chan struct{}, 1),
		self:          options.Self,
		members:       make(map[string]eelgrasspoint.Member),
		deadSince:     make(map[string]time.Time),
		gauges:        make(map[string]*eelgrasspoint.ServerStats),
		gaugeOf:       make(map[string]uint64),
		newsUntil:     make(map[string]time.Time),
		configuration: &eelgrasspoint.Configuration{},
	}
	c.router = router.New(&c.configuration.Document)
	c.members[c.self.Name] = c.self
	c.publish()
	return c
}

// Run takes commands until the context ends.
func (c *Controller) Run(ctx context.Context) {
	defer close(c.stopped)
	ticker := time.NewTicker(eelgrasspoint.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-c.commands:
			command.apply(c)
			c.drainCommands()
			c.publish()
		case <-ticker.C:
			if c.tick() {
				c.publish()
			}
		}
	}
}

// Submit queues a command for the control goroutine.
func (c *Controller) Submit(command Command) {
	select {
	case c.commands <- command:
	case <-c.stopped:
	}
}

// WaitApplied blocks until all commands submitted so far are applied, and reports whether they
// are: a stopped controller applies none.
func (c *Controller) WaitApplied() bool {
	done := make(chan struct{})
	c.Submit(Barrier{Done: done})
	select {
	case <-done:
		return true
	case <-c.stopped:
		return false
	}
}

// View returns what the exchange may know.
func (c *Controller) View() *eelgrasspoint.MembershipView { return c.view.Load() }

// Configuration returns the revision in force.
func (c *Controller) Configuration() *eelgrasspoint.Configuration {
	return c.options.Holder.Load().Configuration
}

// NewsReady returns a channel that receives when there is news that should not wait for the next
// heartbeat.
func (c *Controller) NewsReady() <-chan struct{} { return c.wake }

// drainCommands takes what else has come, so that a burst is published once.
func (c *Controller) drainCommands() {
	for {
		select {
		case command := <-c.commands:
			command.apply(c)
		default:
			return
		}
	}
}

// tick expires what was not renewed and reports whether anything changed.
func (c *Controller) tick() bool {
	now := c.options.Clock()
	changed := c.expireBackend(now)
	for name, since := range c.deadSince {
		if now.Sub(since) > eelgrasspoint.DeadMemberTTL {
			delete(c.deadSince, name)
			delete(c.members, name)
			delete(c.gauges, name)
			delete(c.gaugeOf, name)
			changed = true
		}
	}
	for name, until := range c.newsUntil {
		if now.After(until) {
			delete(c.newsUntil, name)
			changed = true
		}
	}
	return changed
}

func (c *Controller) expireBackend(now time.Time) bool {
	backend := c.self.BackendServer
	if backend == nil || now.Sub(c.announcedAt) <= c.options.AnnouncementTTL {
		return false
	}
	c.record(eelgrasspoint.EventBackendLapsed, backend.Service, c.self.AvailabilityZone, backend.Address.String())
	c.setBackend(nil)
	return true
}

// setBackend makes a new version of this node's own row.
func (c *Controller) setBackend(backend *eelgrasspoint.BackendServer) {
	c.self.BackendServer = backend
	c.options.SetBackend(backend)
	c.renewSelf()
}

// renewSelf raises the node's version, which settles every claim about an older one.
func (c *Controller) renewSelf() {
	c.self.Version++
	c.members[c.self.Name] = c.self
	c.spread(c.self.Name)
}

// spread makes a member news for the next heartbeats.
func (c *Controller) spread(name string) {
	c.newsUntil[name] = c.options.Clock().Add(eelgrasspoint.GossipRounds * eelgrasspoint.HeartbeatInterval)
	c.wakeUp()
}

func (c *Controller) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// publish makes the snapshots of the present state.
func (c *Controller) publish() {
	members := c.sortedMembers()
	view := &eelgrasspoint.MembershipView{
		Self:     c.self,
		Members:  members,
		News:     c.news(),
		Digest:   assigner.Digest(members),
		Revision: c.configuration.Revision,
		Observed: c.observed(members),
	}
	c.view.Store(view)
	c.options.Holder.Publish(&eelgrasspoint.Snapshot{
		Self:          c.self,
		Configuration: c.configuration,
		Router:        c.router,
		Candidates:    c.candidates(members),
		Draining:      c.draining,
		Nodes:         alive(members),
	})
}

// observed stays as it was while the node leaves, so that its observers hear of it.
func (c *Controller) observed(members []eelgrasspoint.Member) []eelgrasspoint.Member {
	if c.self.Left {
		return c.view.Load().Observed
	}
	return assigner.New(members).HeartbeatTargets(c.self, c.bridgeOffset)
}

func (c *Controller) sortedMembers() []eelgrasspoint.Member {
	members := make([]eelgrasspoint.Member, 0, len(c.members))
	for _, m := range c.members {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b eelgrasspoint.Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

func (c *Controller) news() []eelgrasspoint.Member {
	news := make([]eelgrasspoint.Member, 0, len(c.newsUntil))
	for name := range c.newsUntil {
		if m, ok := c.members[name]; ok {
			news = append(news, m)
		}
	}
	slices.SortFunc(news, func(a, b eelgrasspoint.Member) int { return strings.Compare(a.Name, b.Name) })
	return news
}

// candidates lists, by service, the backend servers that may get new work.
func (c *Controller) candidates(members []eelgrasspoint.Member) map[string][]*eelgrasspoint.Candidate {
	out := c.zonesOut()
	candidates := make(map[string][]*eelgrasspoint.Candidate)
	for _, m := range members {
		if !takesWork(m) || out[m.AvailabilityZone] {
			continue
		}
		service := m.BackendServer.Service
		candidates[service] = append(candidates[service], &eelgrasspoint.Candidate{
			Node: m.Name, Region: m.Region, AvailabilityZone: m.AvailabilityZone,
			PeerAddress: m.PeerAddress, Incarnation: m.BackendServer.Incarnation,
			Slots: m.BackendServer.Slots, Gauge: c.gauge(m),
		})
	}
	return candidates
}

func alive(members []eelgrasspoint.Member) int {
	n := 0
	for _, m := range members {
		if m.Alive() {
			n++
		}
	}
	return n
}

func takesWork(m eelgrasspoint.Member) bool {
	return m.Alive() && m.BackendServer != nil && !m.BackendServer.Draining
}

func (c *Controller) zonesOut() map[string]bool {
	out := make(map[string]bool)
	for _, zone := range c.configuration.Document.AvailabilityZones {
		out[zone.Name] = zone.OutOfService
	}
	return out
}

// gauge keeps what was learned of a backend server until another incarnation takes its place.
func (c *Controller) gauge(m eelgrasspoint.Member) *eelgrasspoint.ServerStats {
	incarnation := m.BackendServer.Incarnation
	if c.gauges[m.Name] == nil || c.gaugeOf[m.Name] != incarnation {
		c.gauges[m.Name] = &eelgrasspoint.ServerStats{}
		c.gaugeOf[m.Name] = incarnation
	}
	return c.gauges[m.Name]
}

func (c *Controller) record(number eelgrasspoint.EventNumber, service, zone, detail string) {
	c.options.Recorder.Record(eelgrasspoint.Event{Number: number, Service: service, AvailabilityZone: zone, Detail: detail})
}
