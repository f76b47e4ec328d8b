package controller

import (
	"fmt"

	"eelgrasspoint"
	"eelgrasspoint/coordination/router"
)

// ApplyAnnouncement applies an announcement of the local backend server. An announcement that is late
// or belongs to an earlier or departed lifetime is recorded and ignored. One that is held until the departures are
// restored has no effect until then.
type ApplyAnnouncement struct{ eelgrasspoint.Announcement }

func (a ApplyAnnouncement) apply(c *Controller) {
	if c.holds(&a.Announcement) {
		c.hold(a)
		return
	}
	accepted := c.lifetime.accept(&a.Announcement, c.options.Clock())
	c.setDepartures()
	if !accepted {
		c.record(eelgrasspoint.EventAnnouncementStale, "", c.self.AvailabilityZone, fmt.Sprintf(
			"ignored announcement or deregistration of %q, incarnation %d, sequence %d: late, or of an earlier or departed lifetime; current: %q, incarnation %d, sequence %d",
			a.ID, a.Incarnation, a.Sequence, c.lifetime.id, c.lifetime.incarnation, c.lifetime.sequence))
		return
	}
	a.applyAccepted(c)
}

// applyAccepted puts the backend server of an accepted announcement in the node's entry, or removes it.
func (a ApplyAnnouncement) applyAccepted(c *Controller) {
	if a.Backend != nil {
		backend := *a.Backend
		// Without an ID, the incarnation of the backend server's announcement is kept.
		if a.ID != "" {
			backend.Incarnation = c.lifetime.incarnation
		}
		backend.Draining = backend.Draining || c.lifetime.draining || c.lifetime.leaving
		a.Backend = &backend
	}
	if a.Cold > 0 && c.options.SetCold != nil {
		c.options.SetCold(a.Cold)
	}
	old := c.self.BackendServer
	c.announcedAt = c.options.Clock()
	if c.draining && a.Backend != nil {
		draining := *a.Backend
		draining.Draining = true
		a.Backend = &draining
	}
	switch {
	case a.Backend == nil && old == nil:
		c.record(eelgrasspoint.EventBackendLeft, "", c.self.AvailabilityZone,
			fmt.Sprintf("deregistration of %q, but no backend server was announced", a.ID))
		return
	case a.Backend == nil:
		c.record(eelgrasspoint.EventBackendLeft, old.Service, c.self.AvailabilityZone, old.Address.String())
	case old == nil || *old != *a.Backend:
		c.record(eelgrasspoint.EventBackendAnnounced, a.Backend.Service, c.self.AvailabilityZone, a.Backend.Address.String())
	default:
		return
	}
	c.setBackend(a.Backend)
}

// MarkLeaving marks the announced backend server as draining, since its answers say that it leaves. It has no effect if
// another one is announced by now. It holds for the whole lifetime, or, if that can't be identified, until the next
// announcement.
type MarkLeaving struct{ Backend eelgrasspoint.BackendServer }

func (m MarkLeaving) apply(c *Controller) {
	backend := c.self.BackendServer
	if backend == nil || backend.Incarnation != m.Backend.Incarnation || backend.Address != m.Backend.Address || backend.ID != m.Backend.ID {
		return
	}
	c.lifetime.setLeaving(c.options.Clock())
	c.setDepartures()
	c.drainBackend()
}

// MergeMembers merges member entries received from another node or the table service. An entry that
// does not supersede the stored one is ignored, as is one of an unknown member that left or failed.
// A received entry of this node is refuted if it supersedes the node's own entry.
type MergeMembers struct{ Members []eelgrasspoint.Member }

func (merge MergeMembers) apply(c *Controller) {
	for _, m := range merge.Members {
		c.mergeMember(m)
	}
}

func (c *Controller) mergeMember(m eelgrasspoint.Member) {
	if m.Name == c.self.Name {
		c.learnDepartures(m.Departures)
		c.refute(m)
		return
	}
	old, known := c.members[m.Name]
	m.Departures = eelgrasspoint.MergeDepartures(old.Departures, m.Departures)
	if known && !m.Supersedes(old) {
		old.Departures = m.Departures
		c.members[m.Name] = old
		return
	}
	if !known && !m.Alive() {
		return
	}
	c.members[m.Name] = m
	if m.Alive() {
		delete(c.deadSince, m.Name)
	} else if _, dead := c.deadSince[m.Name]; !dead {
		c.deadSince[m.Name] = c.options.Clock()
	}
	c.recordMemberEvent(old, known, m)
	c.queueUpdate(m.Name)
}

// refute makes this node's entry supersede a received entry that supersedes it, such as a false
// failure: it raises the incarnation and the version to those received, if they are higher, and the
// version by one more.
func (c *Controller) refute(received eelgrasspoint.Member) {
	if !received.Supersedes(c.self) {
		return
	}
	if received.Incarnation > c.self.Incarnation {
		c.self.Incarnation = received.Incarnation
	}
	if received.Version > c.self.Version {
		c.self.Version = received.Version
	}
	c.raiseVersion()
}

func (c *Controller) recordMemberEvent(old eelgrasspoint.Member, known bool, m eelgrasspoint.Member) {
	service := ""
	if m.BackendServer != nil {
		service = m.BackendServer.Service
	}
	switch {
	case m.Left:
		c.record(eelgrasspoint.EventMemberLeft, service, m.AvailabilityZone, m.Name)
	case m.Failed:
		c.record(eelgrasspoint.EventMemberFailed, service, m.AvailabilityZone, m.Name)
	case !known:
		c.record(eelgrasspoint.EventMemberJoined, service, m.AvailabilityZone, m.Name)
	case !old.Alive():
		c.record(eelgrasspoint.EventMemberReturned, service, m.AvailabilityZone, m.Name)
	}
}

// MarkFailed marks a member as failed at the version that the failure detector checked. It has no
// effect if a newer version of the member is already stored.
type MarkFailed struct{ Member eelgrasspoint.Member }

func (f MarkFailed) apply(c *Controller) {
	failed := f.Member
	failed.Failed = true
	c.mergeMember(failed)
}

// RotateRemoteTargets selects the next member of each other region as a heartbeat target of this node. It
// has no effect on a node that is not a bridge.
type RotateRemoteTargets struct{}

func (RotateRemoteTargets) apply(c *Controller) { c.remoteOffset++ }

// ReplaceConfiguration puts a whole configuration in force if its revision is higher than the one in force, or if it
// is the same one and this node reads more of it than the node that sent it.
type ReplaceConfiguration struct{ Configuration eelgrasspoint.Configuration }

func (r ReplaceConfiguration) apply(c *Controller) {
	if r.Configuration.Revision > c.configuration.Revision || r.readsMore(c.configuration) {
		c.setConfiguration(r.Configuration)
	}
}

// readsMore reports whether this node itself read the revision in force from the table service, but has it from
// another node, which understood it differently. An earlier version of the program may not read all of it.
func (r ReplaceConfiguration) readsMore(inForce *eelgrasspoint.Configuration) bool {
	origin := r.Configuration.Provenance.Origin
	if origin != eelgrasspoint.StoreFeed && origin != eelgrasspoint.StoreScan {
		return false
	}
	return r.Configuration.Revision > 0 && r.Configuration.Revision == inForce.Revision &&
		inForce.Provenance.Origin == eelgrasspoint.OtherNode && r.Configuration.Document.Digest() != inForce.Document.Digest()
}

// Rebroadcast gossips known members again, for example those that another node lacks.
type Rebroadcast struct{ Names []string }

func (r Rebroadcast) apply(c *Controller) {
	for _, name := range r.Names {
		if _, known := c.members[name]; known {
			c.queueUpdate(name)
		}
	}
}

// setConfiguration puts a configuration in force. The caller ensures that its revision is not below the one in
// force.
func (c *Controller) setConfiguration(configuration eelgrasspoint.Configuration) {
	previous := c.zonesOutOfService()
	c.configuration = &configuration
	c.router = router.New(&c.configuration.Document)
	c.recordRevision()
	c.recordZoneChanges(previous)
	if c.options.SetBudgets != nil {
		c.options.SetBudgets(&c.configuration.Document, c.nodesInRegion())
	}
	c.signalUpdates()
}

// recordRevision records the revision in force, and how the node got it.
func (c *Controller) recordRevision() {
	provenance := c.configuration.Provenance
	inputs := []eelgrasspoint.Input{
		{Name: "Origin", Value: provenance.Origin.String()},
		{Name: "Digest", Value: fmt.Sprintf("%016x", c.configuration.Document.Digest())},
		{Name: "TookMilliseconds", Value: provenance.Took.Milliseconds()},
	}
	if provenance.Node != "" {
		inputs = append(inputs, eelgrasspoint.Input{Name: "From", Value: provenance.Node})
	}
	if provenance.Version != 0 {
		inputs = append(inputs, eelgrasspoint.Input{Name: "Version", Value: provenance.Version})
	}
	c.options.Recorder.Record(eelgrasspoint.Event{
		Number: eelgrasspoint.EventRevisionInForce, Detail: fmt.Sprintf("revision %d", c.configuration.Revision), Inputs: inputs,
	})
}

func (c *Controller) recordZoneChanges(previous map[string]bool) {
	for _, zone := range c.configuration.Document.AvailabilityZones {
		wasOut, known := previous[zone.Name]
		switch {
		case zone.OutOfService && !wasOut:
			c.record(eelgrasspoint.EventZoneOut, "", zone.Name, "")
		case !zone.OutOfService && known && wasOut:
			c.record(eelgrasspoint.EventZoneIn, "", zone.Name, "")
			if zone.Name == c.self.AvailabilityZone && c.options.ZoneBack != nil {
				c.options.ZoneBack()
			}
		}
	}
}

func (c *Controller) nodesInRegion() int {
	n := 0
	for _, m := range c.members {
		if m.Alive() && m.Region == c.self.Region {
			n++
		}
	}
	return n
}

// Barrier closes Done once all commands submitted before it are applied and published.
type Barrier struct{ Done chan<- struct{} }

func (b Barrier) apply(c *Controller) {
	c.publish()
	close(b.Done)
}

// Drain marks the local backend server, and any announced later, as draining, so that it gets no
// new requests.
type Drain struct{}

func (Drain) apply(c *Controller) {
	c.draining = true
	c.record(eelgrasspoint.EventDrainRequested, "", c.self.AvailabilityZone, "")
	c.drainBackend()
}

// Leave marks the node as left and draining. Done is closed once the view with the updated entry is
// published, so that the entry can be gossiped.
type Leave struct{ Done chan<- struct{} }

func (leave Leave) apply(c *Controller) {
	c.draining = true
	c.self.Left = true
	c.raiseVersion()
	c.publish()
	close(leave.Done)
}
