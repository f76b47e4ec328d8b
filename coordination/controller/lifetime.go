package controller

import (
	"slices"
	"time"

	"eelgrasspoint"
)

// lifetime orders what backend servers at one address announced, so that an announcement which
// was delayed, or belongs to an earlier lifetime, changes nothing. Announcements without an ID
// are taken as they come.
type lifetime struct {
	id          string
	incarnation uint64
	sequence    uint64
	leaving     bool
	left        bool
	// departed are those that left without a word on their start, the last ones.
	departed []departure
}

// departure is what is known of a backend server that left and did not say which lifetime it was,
// as to a node that has just started and knows none.
type departure struct {
	id string
	at time.Time
}

// Bounds of what is remembered of such departures: announcements come seconds late, not longer.
const (
	departureTTL  = 30 * time.Second
	maxDepartures = 8
)

// accepts reports whether the announcement is newer than what is known, and takes it in.
func (l *lifetime) accepts(a *eelgrasspoint.Announcement, now time.Time) bool {
	if a.Backend == nil {
		return l.leave(a, now)
	}
	if l.hasDeparted(a, now) {
		return false
	}
	if l.isNext(a) {
		l.begin(a)
		return true
	}
	if !l.isSame(a) || l.left && a.ID != "" {
		return false
	}
	if a.Sequence != 0 && a.Sequence <= l.sequence {
		return false
	}
	l.sequence = a.Sequence
	l.left = false
	l.leaving = a.ID != "" && (l.leaving || a.Backend.Draining)
	return true
}

// isNext reports whether the announcement begins another lifetime.
func (l *lifetime) isNext(a *eelgrasspoint.Announcement) bool {
	if a.Incarnation != 0 {
		return a.Incarnation > l.incarnation
	}
	return a.ID != l.id
}

func (l *lifetime) isSame(a *eelgrasspoint.Announcement) bool {
	if a.Incarnation != 0 {
		return a.Incarnation == l.incarnation && a.ID == l.id
	}
	return a.ID == l.id
}

func (l *lifetime) begin(a *eelgrasspoint.Announcement) {
	incarnation := a.Incarnation
	if incarnation == 0 {
		incarnation = l.incarnation + 1
	}
	*l = lifetime{
		id: a.ID, incarnation: incarnation, sequence: a.Sequence, leaving: a.ID != "" && a.Backend.Draining,
		departed: l.departed,
	}
}

// leave accepts the departure of the present lifetime, and of one that was not known.
func (l *lifetime) leave(a *eelgrasspoint.Announcement, now time.Time) bool {
	if a.Incarnation == 0 && a.ID != "" {
		l.depart(a.ID, now)
		if l.id == "" {
			return true
		}
	}
	if a.Incarnation != 0 && a.Incarnation < l.incarnation {
		return false
	}
	if a.Incarnation > l.incarnation {
		*l = lifetime{id: a.ID, incarnation: a.Incarnation, departed: l.departed}
	} else if a.ID != "" && a.ID != l.id {
		return false
	}
	l.left = true
	return true
}

func (l *lifetime) depart(id string, now time.Time) {
	l.departed = slices.DeleteFunc(l.departed, func(d departure) bool { return d.id == id })
	l.departed = append(l.departed, departure{id: id, at: now})
	if len(l.departed) > maxDepartures {
		l.departed = l.departed[1:]
	}
}

// hasDeparted reports whether the announcement is of a lifetime that has left already: one that
// began before the departure.
func (l *lifetime) hasDeparted(a *eelgrasspoint.Announcement, now time.Time) bool {
	return slices.ContainsFunc(l.departed, func(d departure) bool {
		return d.id == a.ID && a.Incarnation <= uint64(d.at.UnixMilli()) && now.Sub(d.at) < departureTTL
	})
}
