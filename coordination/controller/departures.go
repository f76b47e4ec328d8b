package controller

import (
	"fmt"
	"slices"

	"eelgrasspoint"
)

// LearnDepartures adds departures that an earlier process of this node recorded, as the table service or another node
// has them.
type LearnDepartures struct{ Departures []eelgrasspoint.Departure }

func (l LearnDepartures) apply(c *Controller) { c.learnDepartures(l.Departures) }

// EndRestore says that the departures that earlier processes of this node recorded are known. The held announcements
// are applied.
type EndRestore struct {
	// Source says where the departures are from.
	Source string
}

func (e EndRestore) apply(c *Controller) {
	if c.restored {
		return
	}
	c.restored = true
	c.record(eelgrasspoint.EventDeparturesRestored, "", c.self.AvailabilityZone,
		fmt.Sprintf("%s; departures: %d, held announcements: %d", e.Source, len(c.lifetime.departures), len(c.held)))
	c.applyHeld()
}

// maxHeld is the number of held announcements, beyond which the oldest is dropped.
const maxHeld = 8

// holds reports whether the announcement has to wait until the departures are restored: its lifetime may be one of them.
func (c *Controller) holds(a *eelgrasspoint.Announcement) bool {
	return !c.restored && a.Backend != nil && !a.Backend.Draining && identifiesLifetime(a)
}

// hold keeps the announcement until the event that it waits for.
func (c *Controller) hold(a ApplyAnnouncement, until string) {
	c.record(eelgrasspoint.EventAnnouncementHeld, a.Backend.Service, c.self.AvailabilityZone, fmt.Sprintf(
		"announcement of %q, incarnation %d, sequence %d waits until %s", a.ID, a.Incarnation, a.Sequence, until))
	c.held = append(c.held, a)
	c.held = c.held[max(0, len(c.held)-maxHeld):]
}

// learnDepartures adds departures to those of the backend server, which is marked as draining if its lifetime is one of
// them.
func (c *Controller) learnDepartures(departures []eelgrasspoint.Departure) {
	leaves := c.lifetime.learn(departures, c.options.Clock())
	c.setDepartures()
	if leaves {
		c.drainBackend()
	}
}

// drainBackend marks the announced backend server, if there is one, as draining.
func (c *Controller) drainBackend() {
	if c.self.BackendServer == nil || c.self.BackendServer.Draining {
		return
	}
	draining := *c.self.BackendServer
	draining.Draining = true
	c.setBackend(&draining)
}

// setDepartures puts the departures in the node's entry, which is gossiped if they are new.
func (c *Controller) setDepartures() {
	if slices.EqualFunc(c.self.Departures, c.lifetime.departures, eelgrasspoint.Departure.Equal) {
		return
	}
	c.self.Departures = c.lifetime.departures
	c.raiseVersion()
}
