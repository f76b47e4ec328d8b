package controller

import (
	"slices"
	"time"

	"eelgrasspoint"
)

// lifetime is the current lifetime of the backend server at the node. It orders the announcements,
// so that a late one, or one of an earlier lifetime, changes nothing. Announcements without an ID
// are applied in order of arrival.
type lifetime struct {
	id           string
	incarnation  uint64
	sequence     uint64
	draining     bool
	deregistered bool
	// tombstones are the latest deregistrations without an incarnation, oldest first.
	tombstones []tombstone
}

// tombstone records a deregistration without an incarnation, so that a late announcement of that
// lifetime is ignored. A node that has just started has no current lifetime to compare it with.
type tombstone struct {
	id string
	at time.Time
}

// Bounds on tombstones. Announcements arrive seconds late, not longer.
const (
	tombstoneTTL  = 30 * time.Second
	maxTombstones = 8
)

// accept applies the announcement if it is newer than the current state, and reports whether it
// was.
func (l *lifetime) accept(a *eelgrasspoint.Announcement, now time.Time) bool {
	if a.Backend == nil {
		return l.deregister(a, now)
	}
	if l.isDeregistered(a, now) {
		return false
	}
	if l.isNewer(a) {
		l.begin(a)
		return true
	}
	if !l.isCurrent(a) || l.deregistered && a.ID != "" {
		return false
	}
	if a.Sequence != 0 && a.Sequence <= l.sequence {
		return false
	}
	l.sequence = a.Sequence
	l.deregistered = false
	l.draining = a.ID != "" && (l.draining || a.Backend.Draining)
	return true
}

// isNewer reports whether the announcement begins a new lifetime.
func (l *lifetime) isNewer(a *eelgrasspoint.Announcement) bool {
	if a.Incarnation != 0 {
		return a.Incarnation > l.incarnation
	}
	return a.ID != l.id
}

// isCurrent reports whether the announcement belongs to the current lifetime.
func (l *lifetime) isCurrent(a *eelgrasspoint.Announcement) bool {
	if a.Incarnation != 0 {
		return a.Incarnation == l.incarnation && a.ID == l.id
	}
	return a.ID == l.id
}

// begin replaces the current lifetime and keeps the tombstones.
func (l *lifetime) begin(a *eelgrasspoint.Announcement) {
	incarnation := a.Incarnation
	if incarnation == 0 {
		incarnation = l.incarnation + 1
	}
	*l = lifetime{
		id: a.ID, incarnation: incarnation, sequence: a.Sequence, draining: a.ID != "" && a.Backend.Draining,
		tombstones: l.tombstones,
	}
}

// deregister applies the deregistration of the current lifetime or of an unknown one, and reports
// whether it did.
func (l *lifetime) deregister(a *eelgrasspoint.Announcement, now time.Time) bool {
	if a.Incarnation == 0 && a.ID != "" {
		l.addTombstone(a.ID, now)
		if l.id == "" {
			return true
		}
	}
	if a.Incarnation != 0 && a.Incarnation < l.incarnation {
		return false
	}
	if a.Incarnation > l.incarnation {
		*l = lifetime{id: a.ID, incarnation: a.Incarnation, tombstones: l.tombstones}
	} else if a.ID != "" && a.ID != l.id {
		return false
	}
	l.deregistered = true
	return true
}

func (l *lifetime) addTombstone(id string, now time.Time) {
	l.tombstones = slices.DeleteFunc(l.tombstones, func(t tombstone) bool { return t.id == id })
	l.tombstones = append(l.tombstones, tombstone{id: id, at: now})
	if len(l.tombstones) > maxTombstones {
		l.tombstones = l.tombstones[1:]
	}
}

// isDeregistered reports whether the announcement belongs to a lifetime that began before a
// recent deregistration with the same ID.
func (l *lifetime) isDeregistered(a *eelgrasspoint.Announcement, now time.Time) bool {
	return slices.ContainsFunc(l.tombstones, func(t tombstone) bool {
		return t.id == a.ID && a.Incarnation <= uint64(t.at.UnixMilli()) && now.Sub(t.at) < tombstoneTTL
	})
}
