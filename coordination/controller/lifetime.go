package controller

import "eelgrasspoint"

// lifetime orders what backend servers at one address announced, so that an announcement which
// was delayed, or belongs to an earlier lifetime, changes nothing. Announcements without an ID
// are taken as they come.
type lifetime struct {
	id          string
	incarnation uint64
	sequence    uint64
	leaving     bool
	left        bool
}

// accepts reports whether the announcement is newer than what is known, and takes it in.
func (l *lifetime) accepts(a *eelgrasspoint.Announcement) bool {
	if a.Backend == nil {
		return l.leave(a)
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
	*l = lifetime{id: a.ID, incarnation: incarnation, sequence: a.Sequence, leaving: a.ID != "" && a.Backend.Draining}
}

// leave accepts the departure of the present lifetime, and of one that was not known.
func (l *lifetime) leave(a *eelgrasspoint.Announcement) bool {
	if a.Incarnation != 0 && a.Incarnation < l.incarnation {
		return false
	}
	if a.Incarnation > l.incarnation {
		*l = lifetime{id: a.ID, incarnation: a.Incarnation}
	} else if a.ID != "" && a.ID != l.id {
		return false
	}
	l.left = true
	return true
}
