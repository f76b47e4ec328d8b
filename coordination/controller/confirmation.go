package controller

import (
	"time"

	"eelgrasspoint"
)

// sustainedTime is how long the announcements of a lifetime go on before they are believed without a confirmation. It is
// longer than the delay of a late announcement.
const sustainedTime = 6 * time.Second

// ConfirmLifetime says that the backend server with the identifier has itself denied that it leaves. The held announcements
// are applied.
type ConfirmLifetime struct{ ID string }

func (l ConfirmLifetime) apply(c *Controller) {
	c.confirmation.confirmed = l.ID
	if c.restored {
		c.applyHeld()
	}
}

// confirmation is what is known of a lifetime that may have left before this process began, though no source has the
// departure: all processes that had it may have ended.
type confirmation struct {
	// confirmed is the identifier of the lifetime that has denied that it leaves, empty if none has.
	confirmed string
	// id, incarnation and sequence are those of the latest announcement that waits for a confirmation.
	id                    string
	incarnation, sequence uint64
	// since is the time of the first announcement of that lifetime.
	since time.Time
}

// sustained notes an announcement, and reports whether those of its lifetime have gone on for sustainedTime.
func (n *confirmation) sustained(a *eelgrasspoint.Announcement, now time.Time) bool {
	if a.ID != n.id || a.Incarnation != n.incarnation {
		n.id, n.incarnation, n.sequence, n.since = a.ID, a.Incarnation, a.Sequence, now
		return false
	}
	if a.Sequence <= n.sequence {
		return false
	}
	n.sequence = a.Sequence
	return now.Sub(n.since) >= sustainedTime
}

// needsConfirmation reports whether the announcement has to wait until its lifetime is confirmed: it is the first one that
// this process gets to know, and began before it.
func (c *Controller) needsConfirmation(a *eelgrasspoint.Announcement) bool {
	switch {
	case c.options.Confirm == nil || a.ID == "" || a.Backend == nil || a.Backend.Draining:
		return false
	case identifiesLifetime(c.lifetime.identity()) || a.ID == c.confirmation.confirmed:
		return false
	case a.Incarnation > uint64(c.startedAt.UnixMilli()):
		return false
	default:
		return !c.confirmation.sustained(a, c.options.Clock())
	}
}

// applyHeld applies the held announcements.
func (c *Controller) applyHeld() {
	held := c.held
	c.held = nil
	for _, a := range held {
		a.apply(c)
	}
}
