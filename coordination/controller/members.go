package controller

import "eelgrasspoint"

// MergeMembers merges member entries received from another node or the table service. An entry that
// does not supersede the stored one is ignored, as is one of an unknown member that left or failed. A process that has not
// found out yet what others know keeps these, since the member may be back before it finds others.
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
	if !known && !m.Alive() && c.restored {
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

// Rebroadcast gossips known members again, for example those that another node lacks.
type Rebroadcast struct{ Names []string }

func (r Rebroadcast) apply(c *Controller) {
	for _, name := range r.Names {
		if _, known := c.members[name]; known {
			c.queueUpdate(name)
		}
	}
}
