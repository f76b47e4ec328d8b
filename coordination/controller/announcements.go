package controller

import (
	"fmt"

	"eelgrasspoint"
)

// ApplyAnnouncement applies an announcement of the local backend server. An announcement that is late
// or belongs to an earlier or departed lifetime is recorded and ignored. One that is held until the departures are
// restored, or until its lifetime is confirmed, has no effect until then.
type ApplyAnnouncement struct{ eelgrasspoint.Announcement }

func (a ApplyAnnouncement) apply(c *Controller) {
	if c.holds(&a.Announcement) {
		c.hold(a, "the departures are restored")
		return
	}
	if c.needsConfirmation(&a.Announcement) {
		c.hold(a, "its lifetime, which may have left before this process began, is confirmed")
		c.options.Confirm(a.Announcement)
		return
	}
	accepted := c.lifetime.accept(&a.Announcement, c.options.Clock())
	c.setDepartures()
	if !accepted {
		c.record(eelgrasspoint.EventAnnouncementStale, "", c.self.AvailabilityZone, fmt.Sprintf(
			"ignored announcement or deregistration of %q, incarnation %d, sequence %d: late, or of an earlier or departed lifetime; current: %q, incarnation %d, sequence %d",
			a.ID, a.Incarnation, a.Sequence, c.lifetime.id, c.lifetime.incarnation, c.lifetime.sequence))
		return
	}
	a.applyAccepted(c)
}

// applyAccepted puts the backend server of an accepted announcement in the node's entry, or removes it.
func (a ApplyAnnouncement) applyAccepted(c *Controller) {
	if a.Backend != nil {
		backend := *a.Backend
		// Without an ID, the incarnation of the backend server's announcement is kept.
		if a.ID != "" {
			backend.Incarnation = c.lifetime.incarnation
		}
		backend.Draining = backend.Draining || c.lifetime.draining || c.lifetime.leaving
		a.Backend = &backend
	}
	if a.Cold > 0 && c.options.SetCold != nil {
		c.options.SetCold(a.Cold)
	}
	old := c.self.BackendServer
	c.announcedAt = c.options.Clock()
	if c.draining && a.Backend != nil {
		draining := *a.Backend
		draining.Draining = true
		a.Backend = &draining
	}
	switch {
	case a.Backend == nil && old == nil:
		c.record(eelgrasspoint.EventBackendLeft, "", c.self.AvailabilityZone,
			fmt.Sprintf("deregistration of %q, but no backend server was announced", a.ID))
		return
	case a.Backend == nil:
		c.record(eelgrasspoint.EventBackendLeft, old.Service, c.self.AvailabilityZone, old.Address.String())
	case old == nil || *old != *a.Backend:
		c.record(eelgrasspoint.EventBackendAnnounced, a.Backend.Service, c.self.AvailabilityZone, a.Backend.Address.String())
	default:
		return
	}
	c.setBackend(a.Backend)
}

// MarkLeaving marks the announced backend server as draining, since its answers say that it leaves. It has no effect if
// another one is announced by now. It holds for the whole lifetime, or, if that can't be identified, until the next
// announcement.
type MarkLeaving struct{ Backend eelgrasspoint.BackendServer }

func (m MarkLeaving) apply(c *Controller) {
	backend := c.self.BackendServer
	if backend == nil || backend.Incarnation != m.Backend.Incarnation || backend.Address != m.Backend.Address || backend.ID != m.Backend.ID {
		return
	}
	c.lifetime.setLeaving(c.options.Clock())
	c.setDepartures()
	c.drainBackend()
}

// Drain marks the local backend server, and any announced later, as draining, so that it gets no
// new requests.
type Drain struct{}

func (Drain) apply(c *Controller) {
	c.draining = true
	c.record(eelgrasspoint.EventDrainRequested, "", c.self.AvailabilityZone, "")
	c.drainBackend()
}
