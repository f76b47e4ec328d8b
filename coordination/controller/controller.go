// Package controller owns the control state of a node: the members, the configuration in force and
// the announced backend server. One goroutine changes it; all others read the immutable snapshots
// that it publishes.
package controller

import (
	"context"
	"sync/atomic"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/router"
	"eelgrasspoint/state/holder"
)

// Controller applies commands to the control state, one at a time.
type Controller struct {
	options      Options
	commands     chan Command
	stopped      chan struct{}
	view         atomic.Pointer[eelgrasspoint.MembershipView]
	updatesReady chan struct{}

	// Once Run has started, only its goroutine accesses the fields below.
	self    eelgrasspoint.Member
	members map[string]eelgrasspoint.Member
	// deadSince holds, by member name, the time at which this node first saw the member as left or
	// failed.
	deadSince map[string]time.Time
	stats     map[string]*eelgrasspoint.ServerStats
	// statsIncarnation holds, by member name, the incarnation of the backend server that the
	// statistics describe.
	statsIncarnation map[string]uint64
	// gossipUntil holds, by member name, the time until which an updated member is gossiped.
	gossipUntil   map[string]time.Time
	configuration *eelgrasspoint.Configuration
	stored        storedDocument
	// digest is that of the document in force.
	digest      uint64
	unused      unusedReads
	router      *router.Router
	announcedAt time.Time
	// draining is set by Drain and Leave and never reset. For a backend server that announced that
	// it is draining, see lifetime.
	draining bool
	// remoteOffset rotates the heartbeat targets in other regions.
	remoteOffset int
	lifetime     lifetime
	// restored is set once the departures that an earlier process of the node recorded are known, or none can be in
	// force any more.
	restored bool
	// held are the announcements that wait for restored or for a confirmation, in order of arrival.
	held         []ApplyAnnouncement
	confirmation confirmation
	startedAt    time.Time
}

// Options are the settings and dependencies of a controller.
type Options struct {
	Self     eelgrasspoint.Member
	Holder   *holder.Holder
	Recorder eelgrasspoint.Recorder
	Clock    eelgrasspoint.Clock
	// SetBackend receives the announced backend server, or nil once it is deregistered or its
	// announcement expires.
	SetBackend func(*eelgrasspoint.BackendServer)
	// SetCold receives the remaining time of the backend server's slow start; it is optional.
	SetCold func(time.Duration)
	// Restoring holds announcements until EndRestore, since an earlier process of the node may have acknowledged that
	// their lifetime leaves.
	Restoring bool
	// Confirm asks the backend server of an announcement whether it leaves, and submits ConfirmLifetime if it denies that. It
	// must not wait for the answer. Without it, no announcement waits for a confirmation.
	Confirm func(eelgrasspoint.Announcement)
	// AnnouncementTTL is how long an announcement stays valid; zero means the default.
	AnnouncementTTL time.Duration
	// ZoneBack is called when the node's availability zone is in service again; it is optional.
	ZoneBack func()
	// SetBudgets receives the document of each new revision and the number of nodes alive in the
	// region at that time. It is not called when that number changes later. It is optional.
	SetBudgets func(document *eelgrasspoint.Document, nodesInRegion int)
	// ObserveApply is called with the time that Replace took for a change; it is optional.
	ObserveApply func(took time.Duration)
}

// Command changes the control state.
type Command interface{ apply(c *Controller) }

// New returns a controller whose only member is its own node.
func New(options Options) *Controller {
	if options.AnnouncementTTL == 0 {
		options.AnnouncementTTL = eelgrasspoint.AnnouncementTTL
	}
	c := &Controller{
		options:          options,
		commands:         make(chan Command, 64),
		stopped:          make(chan struct{}),
		updatesReady:     make(chan struct{}, 1),
		self:             options.Self,
		members:          make(map[string]eelgrasspoint.Member),
		deadSince:        make(map[string]time.Time),
		stats:            make(map[string]*eelgrasspoint.ServerStats),
		statsIncarnation: make(map[string]uint64),
		gossipUntil:      make(map[string]time.Time),
		configuration:    &eelgrasspoint.Configuration{},
		restored:         !options.Restoring,
		startedAt:        options.Clock(),
	}
	c.digest = c.configuration.Document.Digest()
	c.router = router.New(&c.configuration.Document)
	c.members[c.self.Name] = c.self
	c.publish()
	return c
}

// Run applies commands and expires old entries until the context ends.
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
			c.applyQueued()
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

// WaitApplied blocks until all commands submitted so far are applied and published. It returns false
// if the controller stops before that.
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

// Replace submits a configuration and waits until it is reconciled with the one in force, and the result is published.
func (c *Controller) Replace(configuration eelgrasspoint.Configuration) {
	startedAt, previous := c.options.Clock(), c.Configuration()
	configuration.Provenance.SubmittedAt = startedAt
	c.Submit(ReplaceConfiguration{Configuration: configuration})
	applied := c.WaitApplied()
	if applied && c.Configuration() != previous && c.options.ObserveApply != nil {
		c.options.ObserveApply(c.options.Clock().Sub(startedAt))
	}
}

// View returns the last published membership view.
func (c *Controller) View() *eelgrasspoint.MembershipView { return c.view.Load() }

// Configuration returns the configuration in force.
func (c *Controller) Configuration() *eelgrasspoint.Configuration {
	return c.options.Holder.Load().Configuration
}

// UpdatesReady returns a channel that receives a value when there are member updates or a new revision
// to send before the next heartbeat.
func (c *Controller) UpdatesReady() <-chan struct{} { return c.updatesReady }

// applyQueued applies the commands that are already queued, so that a burst is published once.
func (c *Controller) applyQueued() {
	for {
		select {
		case command := <-c.commands:
			command.apply(c)
		default:
			return
		}
	}
}

// tick expires the announcement of the backend server, members that left or failed, and the gossip
// of member updates. It reports whether anything changed.
func (c *Controller) tick() bool {
	now := c.options.Clock()
	changed := c.expireBackend(now)
	for name, since := range c.deadSince {
		if now.Sub(since) > eelgrasspoint.DeadMemberTTL {
			delete(c.deadSince, name)
			delete(c.members, name)
			delete(c.stats, name)
			delete(c.statsIncarnation, name)
			changed = true
		}
	}
	for name, until := range c.gossipUntil {
		if now.After(until) {
			delete(c.gossipUntil, name)
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

// setBackend sets the backend server in this node's own entry and raises its version.
func (c *Controller) setBackend(backend *eelgrasspoint.BackendServer) {
	c.self.BackendServer = backend
	c.options.SetBackend(backend)
	c.raiseVersion()
}

// raiseVersion raises the version of the node's own entry and gossips it. The entry then supersedes
// all entries of an older version on other nodes.
func (c *Controller) raiseVersion() {
	c.self.Version++
	c.members[c.self.Name] = c.self
	c.queueUpdate(c.self.Name)
}

// queueUpdate gossips a member for the next GossipRounds heartbeat intervals.
func (c *Controller) queueUpdate(name string) {
	c.gossipUntil[name] = c.options.Clock().Add(eelgrasspoint.GossipRounds * eelgrasspoint.HeartbeatInterval)
	c.signalUpdates()
}

func (c *Controller) signalUpdates() {
	select {
	case c.updatesReady <- struct{}{}:
	default:
	}
}

func (c *Controller) record(number eelgrasspoint.EventNumber, service, zone, detail string) {
	c.options.Recorder.Record(eelgrasspoint.Event{Number: number, Service: service, AvailabilityZone: zone, Detail: detail})
}
