package controller

import (
	"slices"
	"time"

	"eelgrasspoint"
)

// lifetime is the state of the local backend server's current lifetime, which runs from one start of it
// to the next and is identified by its ID and incarnation. Each announcement is compared with it, so
// that a late one, or one of an earlier lifetime, changes nothing.
// Announcements without ID, incarnation and sequence are applied in order of arrival.
type lifetime struct {
	id          string
	incarnation uint64
	// sequence is that of the last applied announcement, deregistrations excepted; zero means
	// unknown.
	sequence uint64
	// draining is set once a lifetime with an ID announced that it is draining; it stays set until
	// another lifetime begins.
	draining bool
	// leaving is set once an answer of a lifetime with an ID or an incarnation said that it leaves; it stays set until
	// another lifetime begins.
	leaving bool
	// deregistered is set by a deregistration of the current lifetime. Later announcements of that
	// lifetime are ignored if it has an ID or an incarnation.
	deregistered bool
	// tombstones are the latest deregistrations with an ID but without an incarnation, oldest first.
	tombstones []tombstone
}

// tombstone records a deregistration with an ID but without an incarnation, so that a late
// announcement of the deregistered lifetime is ignored. The current lifetime is not enough for that:
// a node that has just started has none.
type tombstone struct {
	id string
	at time.Time
}

// Bounds on tombstones.
const (
	// tombstoneTTL is longer than the delay of any announcement, which is a few seconds.
	tombstoneTTL = 30 * time.Second
	// maxTombstones is the number of stored tombstones, beyond which the oldest is deleted.
	maxTombstones = 8
)

// accept applies the announcement unless it is late or belongs to an earlier or deregistered
// lifetime, and reports whether it was applied.
func (l *lifetime) accept(a *eelgrasspoint.Announcement, now time.Time) bool {
	if a.Backend == nil {
		return l.deregister(a, now)
	}
	if l.hasTombstone(a, now) {
		return false
	}
	if l.beginsLifetime(a) {
		l.begin(a)
		return true
	}
	if !l.isCurrent(a) || l.deregistered && identifiesLifetime(a) {
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

// beginsLifetime reports whether the announcement begins a new lifetime: it has a higher incarnation
// or, if it has no incarnation, another ID.
func (l *lifetime) beginsLifetime(a *eelgrasspoint.Announcement) bool {
	if a.Incarnation != 0 {
		return a.Incarnation > l.incarnation
	}
	return a.ID != l.id
}

// identifiesLifetime reports whether the announcement tells its lifetime from others.
func identifiesLifetime(a *eelgrasspoint.Announcement) bool { return a.ID != "" || a.Incarnation != 0 }

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

// deregister reports whether a deregistration takes effect, and marks the current lifetime as
// deregistered if so. A deregistration of the current or a later lifetime takes effect, as does one
// without an incarnation if it or the current lifetime has no ID.
func (l *lifetime) deregister(a *eelgrasspoint.Announcement, now time.Time) bool {
	if a.Incarnation == 0 && a.ID != "" {
		l.addTombstone(a.ID, now)
		if l.id == "" {
			// The current lifetime has no ID, so it is unknown whether it is the deregistered one, and
			// it is not marked. Only the tombstone keeps out late announcements of the deregistered
			// one.
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

// hasTombstone reports whether the announcement belongs to a lifetime that began before a
// deregistration with the same ID less than tombstoneTTL ago. The incarnation of a backend server
// with an ID is its start time in Unix milliseconds; a lifetime without an incarnation is assumed to
// have begun before the deregistration.
func (l *lifetime) hasTombstone(a *eelgrasspoint.Announcement, now time.Time) bool {
	return slices.ContainsFunc(l.tombstones, func(t tombstone) bool {
		return t.id == a.ID && a.Incarnation <= uint64(t.at.UnixMilli()) && now.Sub(t.at) < tombstoneTTL
	})
}
