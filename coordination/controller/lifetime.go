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
	// counted is set if the incarnation was not announced, but counted by this process.
	counted bool
	// sequence is that of the last applied announcement, deregistrations excepted; zero means
	// unknown.
	sequence uint64
	// draining is set once a lifetime with an ID announced that it is draining; it stays set until
	// another lifetime begins.
	draining bool
	// leaving is set once an answer of a lifetime with an ID or an incarnation said that it leaves, or once an earlier
	// process of the node is known to have recorded it; it stays set until another lifetime begins.
	leaving bool
	// deregistered is set by a deregistration of the current lifetime. Later announcements of that
	// lifetime are ignored if it has an ID or an incarnation.
	deregistered bool
	// departures are the lifetimes that left, also those that an earlier process of the node knew, oldest first.
	departures []eelgrasspoint.Departure
}

// accept applies the announcement unless it is late or belongs to an earlier or departed lifetime, and reports
// whether it was applied.
func (l *lifetime) accept(a *eelgrasspoint.Announcement, now time.Time) bool {
	if a.Backend == nil {
		return l.deregister(a, now)
	}
	if l.beginsLifetime(a) {
		return l.begin(a, now)
	}
	if !l.isCurrent(a) || l.deregistered && identifiesLifetime(a) {
		return false
	}
	if l.isLate(a) {
		return false
	}
	l.sequence = a.Sequence
	l.deregistered = false
	l.setDraining(a, now)
	return true
}

// isLate reports whether an announcement of the current lifetime has a lower sequence than the last one. Zero is unknown
// without an incarnation, and the lowest sequence with one.
func (l *lifetime) isLate(a *eelgrasspoint.Announcement) bool {
	if a.Sequence == 0 && a.Incarnation == 0 {
		return false
	}
	return l.sequence != 0 && a.Sequence <= l.sequence
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

// begin replaces the current lifetime and reports true, unless the announced lifetime has left.
func (l *lifetime) begin(a *eelgrasspoint.Announcement, now time.Time) bool {
	if l.hasLeft(a, now) {
		return false
	}
	incarnation := a.Incarnation
	if incarnation == 0 {
		incarnation = l.incarnation + 1
	}
	*l = lifetime{
		id: a.ID, incarnation: incarnation, counted: a.Incarnation == 0, sequence: a.Sequence, departures: l.departures,
	}
	l.setDraining(a, now)
	return true
}

// setDraining applies the state in an announcement of the current lifetime.
func (l *lifetime) setDraining(a *eelgrasspoint.Announcement, now time.Time) {
	wasDraining := l.draining
	l.draining = a.ID != "" && (l.draining || a.Backend.Draining)
	if l.draining && !wasDraining {
		l.depart(now)
	}
}

// setLeaving records that an answer of the current lifetime said that it leaves.
func (l *lifetime) setLeaving(now time.Time) {
	l.leaving = identifiesLifetime(l.identity())
	l.depart(now)
}

// deregister reports whether a deregistration takes effect, and marks the current lifetime as
// deregistered if so. A deregistration of the current or a later lifetime takes effect, as does one
// without an incarnation if it or the current lifetime has no ID.
func (l *lifetime) deregister(a *eelgrasspoint.Announcement, now time.Time) bool {
	if identifiesLifetime(a) {
		l.addDeparture(eelgrasspoint.Departure{ID: a.ID, Incarnation: a.Incarnation, At: now})
	}
	if a.Incarnation == 0 && a.ID != "" && l.id == "" {
		// The current lifetime has no ID, so it is unknown whether it is the deregistered one, and it is
		// not marked. Only the departure keeps out late announcements of the deregistered one.
		return true
	}
	if a.Incarnation != 0 && a.Incarnation < l.incarnation {
		return false
	}
	if a.Incarnation > l.incarnation {
		*l = lifetime{id: a.ID, incarnation: a.Incarnation, departures: l.departures}
	} else if a.ID != "" && a.ID != l.id {
		return false
	}
	l.deregistered = true
	l.depart(now)
	return true
}

// identity returns what announcements of the current lifetime say of it.
func (l *lifetime) identity() *eelgrasspoint.Announcement {
	if l.counted {
		return &eelgrasspoint.Announcement{ID: l.id}
	}
	return &eelgrasspoint.Announcement{ID: l.id, Incarnation: l.incarnation}
}

// depart records that the current lifetime leaves, if it can be told from others.
func (l *lifetime) depart(now time.Time) {
	if current := l.identity(); identifiesLifetime(current) {
		l.addDeparture(eelgrasspoint.Departure{ID: current.ID, Incarnation: current.Incarnation, At: now})
	}
}

func (l *lifetime) addDeparture(d eelgrasspoint.Departure) {
	l.departures = eelgrasspoint.MergeDepartures(l.departures, []eelgrasspoint.Departure{d})
}

// learn adds departures that an earlier process of the node recorded. It reports whether they show that the current
// lifetime leaves, which is then marked as leaving.
func (l *lifetime) learn(departures []eelgrasspoint.Departure, now time.Time) bool {
	current := l.identity()
	known := !identifiesLifetime(current) || l.hasLeft(current, now)
	l.departures = eelgrasspoint.MergeDepartures(l.departures, departures)
	if known || !l.hasLeft(current, now) {
		return false
	}
	l.leaving = true
	return true
}

// hasLeft reports whether the announcement belongs to a lifetime that left.
func (l *lifetime) hasLeft(a *eelgrasspoint.Announcement, now time.Time) bool {
	return slices.ContainsFunc(l.departures, func(d eelgrasspoint.Departure) bool { return d.Covers(a, now) })
}
