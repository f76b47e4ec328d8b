package controller

import (
	"fmt"

	"eelgrasspoint"
	"eelgrasspoint/coordination/router"
)

// UpdateBackend applies an announcement of the backend server beside the node.
type UpdateBackend struct{ eelgrasspoint.Announcement }

func (a UpdateBackend) apply(c *Controller) {
	if !c.lifetime.accepts(&a.Announcement, c.options.Clock()) {
		c.record(eelgrasspoint.EventAnnouncementStale, "", c.self.AvailabilityZone, a.ID)
		return
	}
	if a.Backend != nil {
		backend := *a.Backend
		if a.ID != "" {
			backend.Incarnation = c.lifetime.incarnation
		}
		backend.Draining = backend.Draining || c.lifetime.leaving
		a.Backend = &backend
	}
	if a.Cold > 0 && c.options.SetCold != nil {
		c.options.SetCold(a.Cold)
	}
	old := c.self.BackendServer
	c.announcedAt = c.options.Clock()
	if c.draining && a.Backend != nil {
		drained := *a.Backend
		drained.Draining = true
		a.Backend = &drained
	}
	switch {
	case a.Backend == nil && old == nil:
		c.record(eelgrasspoint.EventBackendLeft, "", c.self.AvailabilityZone, a.ID)
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

// MergeMembers merges the member entries received from another node or the table service.
type MergeMembers struct{ Members []eelgrasspoint.Member }

func (l MergeMembers) apply(c *Controller) {
	for _, m := range l.Members {
		c.learn(m)
	}
}

func (c *Controller) learn(m eelgrasspoint.Member) {
	if m.Name == c.self.Name {
		c.defend(m)
		return
	}
	old, known := c.members[m.Name]
	if known && !m.Supersedes(old) {
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
	c.recordMember(old, known, m)
	c.spread(m.Name)
}

// defend answers a claim about this node that is not so by a newer version.
func (c *Controller) defend(claim eelgrasspoint.Member) {
	if !claim.Supersedes(c.self) {
		return
	}
	if claim.Incarnation > c.self.Incarnation {
		c.self.Incarnation = claim.Incarnation
	}
	if claim.Version > c.self.Version {
		c.self.Version = claim.Version
	}
	c.renewSelf()
}

func (c *Controller) recordMember(old eelgrasspoint.Member, known bool, m eelgrasspoint.Member) {
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

// MarkFailed marks a member, in the version that was known, as failed.
type MarkFailed struct{ Member eelgrasspoint.Member }

func (f MarkFailed) apply(c *Controller) {
	claim := f.Member
	claim.Failed = true
	c.learn(claim)
}

// RotateBridges selects the next members of the other regions as heartbeat targets.
type RotateBridges struct{}

func (RotateBridges) apply(c *Controller) { c.bridgeOffset++ }

// ReplaceConfiguration puts a whole configuration in force if its revision is higher.
type ReplaceConfiguration struct{ Configuration eelgrasspoint.Configuration }

func (r ReplaceConfiguration) apply(c *Controller) {
	if r.Configuration.Revision <= c.configuration.Revision {
		return
	}
	c.setConfiguration(r.Configuration.Revision, r.Configuration.Document)
}

// Rebroadcast queues members as news again, as for a node that lacks them.
type Rebroadcast struct{ Names []string }

func (r Rebroadcast) apply(c *Controller) {
	for _, name := range r.Names {
		if _, known := c.members[name]; known {
			c.spread(name)
		}
	}
}

// setConfiguration puts a revision in force. It is called with higher revisions only.
func (c *Controller) setConfiguration(revision uint64, document eelgrasspoint.Document) {
	before := c.zonesOut()
	c.configuration = &eelgrasspoint.Configuration{Revision: revision, Document: document}
	c.router = router.New(&c.configuration.Document)
	c.record(eelgrasspoint.EventRevisionInForce, "", "", fmt.Sprintf("revision %d", revision))
	c.recordZones(before)
	if c.options.SetBudgets != nil {
		c.options.SetBudgets(&c.configuration.Document, c.nodesInRegion())
	}
	c.wakeUp()
}

func (c *Controller) recordZones(before map[string]bool) {
	for _, zone := range c.configuration.Document.AvailabilityZones {
		was, known := before[zone.Name]
		switch {
		case zone.OutOfService && !was:
			c.record(eelgrasspoint.EventZoneOut, "", zone.Name, "")
		case !zone.OutOfService && known && was:
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

// Barrier closes Done once all commands before it are in force.
type Barrier struct{ Done chan<- struct{} }

func (b Barrier) apply(c *Controller) {
	c.publish()
	close(b.Done)
}

// Drain stops new work for the backend server beside the node.
type Drain struct{}

func (Drain) apply(c *Controller) {
	c.draining = true
	c.record(eelgrasspoint.EventDrainRequested, "", c.self.AvailabilityZone, "")
	if b := c.self.BackendServer; b != nil {
		drained := *b
		drained.Draining = true
		c.setBackend(&drained)
	}
}

// Leave says aloud that the node stops. Done is closed when the others can be told.
type Leave struct{ Done chan<- struct{} }

func (l Leave) apply(c *Controller) {
	c.draining = true
	c.self.Left = true
	c.renewSelf()
	c.publish()
	close(l.Done)
}
