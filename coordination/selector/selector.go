// Package selector selects the nodes that wait for changes at the table service. The others learn of changes from them.
package selector

import (
	"slices"
	"sync"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/assigner"
)

// minPerRegion is the number of nodes of a region that wait for changes, if it has as many.
const minPerRegion = 2

// maxTold is the number of members that a selected node tells of a change itself, so that the last of a small region don't
// wait for several others. Each of them fetches the configuration from the selected node.
const maxTold = 16

// silenceLimit is how long the node that sends heartbeats along the first ring may be silent. It leaves a second of the shortest
// time in which a change must be in force everywhere.
const silenceLimit = eelgrasspoint.HeartbeatInterval + eelgrasspoint.HeartbeatInterval/2

// Selector decides for one node. In each region, the first node of each availability zone waits for changes, or the first two
// of the region if it has one zone only. Their changes reach the others along the rings, of which the first one passes every
// node. So a node that doesn't hear of the one before it there has to ask for changes itself: then each node that doesn't
// ask has one before it that lives and either asks, too, or waits for changes. It is safe for concurrent use.
type Selector struct {
	clock eelgrasspoint.Clock

	mu sync.Mutex
	// heardAt holds by name when a node was last heard of.
	heardAt map[string]time.Time
	// askedAt is when the last question was sent that a selected node answered.
	askedAt time.Time
	// view is the one for which selected and predecessor were determined.
	view     *eelgrasspoint.MembershipView
	selected []eelgrasspoint.Member
	// predecessor is empty for a node that nobody sends heartbeats to, since it is alone in its region or has left.
	predecessor string
}

// New returns a selector.
func New(clock eelgrasspoint.Clock) *Selector {
	return &Selector{clock: clock, heardAt: make(map[string]time.Time)}
}

// Hear notes a heartbeat of the named node.
func (s *Selector) Hear(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heardAt[name] = s.clock()
}

// Answered notes that a selected node has answered a question for its configuration that was sent at a time.
func (s *Selector) Answered(askedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.askedAt = askedAt
}

// Selected returns the members of the view's region that wait for changes.
func (s *Selector) Selected(view *eelgrasspoint.MembershipView) []eelgrasspoint.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(view)
	return s.selected
}

// Selects reports whether the node of the view is among the selected ones.
func (s *Selector) Selects(view *eelgrasspoint.MembershipView) bool {
	return slices.ContainsFunc(s.Selected(view), func(m eelgrasspoint.Member) bool { return m.Name == view.Self.Name })
}

// Told returns the members that the node of the view is to tell of changes beside those along the rings: if it is selected, the
// first others of its availability zone.
func (s *Selector) Told(view *eelgrasspoint.MembershipView) []eelgrasspoint.Member {
	if !s.Selects(view) {
		return nil
	}
	var told []eelgrasspoint.Member
	for _, m := range view.Members {
		sameZone := m.Region == view.Self.Region && m.AvailabilityZone == view.Self.AvailabilityZone
		if m.Alive() && sameZone && m.Name != view.Self.Name && len(told) < maxTold {
			told = append(told, m)
		}
	}
	return told
}

// Alone reports whether the node of the view may miss the changes of others.
func (s *Selector) Alone(view *eelgrasspoint.MembershipView) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(view)
	now := s.clock()
	return now.Sub(s.heardAt[s.predecessor]) > silenceLimit && now.Sub(s.askedAt) > silenceLimit
}

// update determines the selected nodes and the predecessor in a new view, and forgets the nodes that are not alive in it.
func (s *Selector) update(view *eelgrasspoint.MembershipView) {
	if view == s.view {
		return
	}
	s.view = view
	s.predecessor = assigner.New(view.Members).Predecessor(view.Self)
	s.selected = selectFrom(view)
	heardAt := make(map[string]time.Time)
	for _, m := range view.Members {
		if at, heard := s.heardAt[m.Name]; heard && m.Alive() {
			heardAt[m.Name] = at
		}
	}
	s.heardAt = heardAt
}

// selectFrom returns the first member of each zone of the view's region, or the first ones of the region if it has one zone.
func selectFrom(view *eelgrasspoint.MembershipView) []eelgrasspoint.Member {
	var inRegion, firstOfZones []eelgrasspoint.Member
	for _, m := range view.Members {
		if !m.Alive() || m.Region != view.Self.Region {
			continue
		}
		inRegion = append(inRegion, m)
		sameZone := func(other eelgrasspoint.Member) bool { return other.AvailabilityZone == m.AvailabilityZone }
		if !slices.ContainsFunc(firstOfZones, sameZone) {
			firstOfZones = append(firstOfZones, m)
		}
	}
	if len(firstOfZones) >= minPerRegion {
		return firstOfZones
	}
	return inRegion[:min(minPerRegion, len(inRegion))]
}
