package controller

import (
	"slices"
	"strings"

	"eelgrasspoint"
	"eelgrasspoint/coordination/assigner"
)

// publish stores snapshots of the current state for other goroutines.
func (c *Controller) publish() {
	members := c.sortedMembers()
	view := &eelgrasspoint.MembershipView{
		Self:        c.self,
		Members:     members,
		News:        c.pendingUpdates(),
		Digest:      assigner.Digest(members),
		Revision:    c.configuration.Revision,
		StateDigest: c.configuration.StateDigest(),
		Observed:    c.heartbeatTargets(members),
	}
	c.view.Store(view)
	c.options.Holder.Publish(&eelgrasspoint.Snapshot{
		Self:          c.self,
		Configuration: c.configuration,
		Router:        c.router,
		Candidates:    c.candidates(members),
		Draining:      c.draining,
		Nodes:         countAlive(members),
	})
}

// heartbeatTargets returns the members that this node sends heartbeats to. A node that left keeps
// its last targets, so that they receive the update that it left.
func (c *Controller) heartbeatTargets(members []eelgrasspoint.Member) []eelgrasspoint.Member {
	if c.self.Left {
		return c.view.Load().Observed
	}
	return assigner.New(members).HeartbeatTargets(c.self, c.remoteOffset)
}

func (c *Controller) sortedMembers() []eelgrasspoint.Member {
	members := make([]eelgrasspoint.Member, 0, len(c.members))
	for _, m := range c.members {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b eelgrasspoint.Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// pendingUpdates returns the members that are being gossiped, sorted by name.
func (c *Controller) pendingUpdates() []eelgrasspoint.Member {
	updates := make([]eelgrasspoint.Member, 0, len(c.gossipUntil))
	for name := range c.gossipUntil {
		if m, ok := c.members[name]; ok {
			updates = append(updates, m)
		}
	}
	slices.SortFunc(updates, func(a, b eelgrasspoint.Member) int { return strings.Compare(a.Name, b.Name) })
	return updates
}

// candidates returns, by service, the backend servers that can be chosen for a request.
func (c *Controller) candidates(members []eelgrasspoint.Member) map[string][]*eelgrasspoint.Candidate {
	outOfService := c.zonesOutOfService()
	candidates := make(map[string][]*eelgrasspoint.Candidate)
	for _, m := range members {
		if !isCandidate(m) || outOfService[m.AvailabilityZone] {
			continue
		}
		service := m.BackendServer.Service
		candidates[service] = append(candidates[service], &eelgrasspoint.Candidate{
			Node: m.Name, Region: m.Region, AvailabilityZone: m.AvailabilityZone,
			PeerAddress: m.PeerAddress, Incarnation: m.BackendServer.Incarnation,
			Slots: m.BackendServer.Slots, Gauge: c.statsOf(m),
		})
	}
	return candidates
}

func countAlive(members []eelgrasspoint.Member) int {
	n := 0
	for _, m := range members {
		if m.Alive() {
			n++
		}
	}
	return n
}

func isCandidate(m eelgrasspoint.Member) bool {
	return m.Alive() && m.BackendServer != nil && !m.BackendServer.Draining
}

func (c *Controller) zonesOutOfService() map[string]bool {
	outOfService := make(map[string]bool)
	for _, zone := range c.configuration.Document.AvailabilityZones {
		outOfService[zone.Name] = zone.OutOfService
	}
	return outOfService
}

// statsOf returns the statistics of a member's backend server, which are reset when its incarnation
// changes.
func (c *Controller) statsOf(m eelgrasspoint.Member) *eelgrasspoint.ServerStats {
	incarnation := m.BackendServer.Incarnation
	if c.stats[m.Name] == nil || c.statsIncarnation[m.Name] != incarnation {
		c.stats[m.Name] = &eelgrasspoint.ServerStats{}
		c.statsIncarnation[m.Name] = incarnation
	}
	return c.stats[m.Name]
}
