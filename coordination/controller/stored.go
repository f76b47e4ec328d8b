package controller

import (
	"slices"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/sequencer"
)

// storedDocument is what this node read last from the table service, and whether it waits to replace the one in force.
type storedDocument struct {
	configuration *eelgrasspoint.Configuration
	// timer ends the wait, or is nil. wait numbers the waits, and delay is that of the current one.
	timer *time.Timer
	wait  uint64
	delay time.Duration
}

// replaceDelayed puts the stored document in force unless its wait has ended before.
type replaceDelayed struct{ wait uint64 }

func (r replaceDelayed) apply(c *Controller) {
	if c.stored.timer == nil || r.wait != c.stored.wait {
		return
	}
	c.stored.timer = nil
	decision := sequencer.Decide(c.configuration, c.stored.configuration)
	if decision.Follows {
		c.useStored(decision.NumberingEpoch)
	}
}

// useStored puts the stored document in force, with the epoch in which its numbers began.
func (c *Controller) useStored(numberingEpoch uint64) {
	stored := *c.stored.configuration
	stored.NumberingEpoch = numberingEpoch
	reconciled := c.configuration.Reconcile(&stored)
	if reconciled.CompareNumbers(c.configuration) != 0 {
		c.setConfiguration(*reconciled, stored.Provenance)
	}
}

// numberingEpoch returns the epoch of the number of a document that was read from the table service: that of the one in force,
// if it follows that one at once.
func (c *Controller) numberingEpoch(read *eelgrasspoint.Configuration) uint64 {
	decision := sequencer.Decide(c.configuration, read)
	if decision.Delay > 0 {
		return 0
	}
	return decision.NumberingEpoch
}

// reviewStored decides again on the stored document, since it or the one in force has changed. Another wait of the same length
// does not begin anew: a series of changes would put it off for good.
func (c *Controller) reviewStored() {
	stored := c.stored.configuration
	if stored == nil {
		return
	}
	decision := sequencer.Decide(c.configuration, stored)
	switch {
	case !decision.Follows || decision.Delay == 0 || stored.Version == c.configuration.Version:
		c.endWait()
		if decision.Follows {
			c.useStored(decision.NumberingEpoch)
		}
	case c.stored.timer == nil || decision.Delay < c.stored.delay:
		c.endWait()
		c.beginWait(decision.Delay)
	}
}

// endEvacuations puts zones in service whose evacuation this node knows from other nodes only, if it has read all changes up to
// a later revision of the same epoch without it: its end was among changes that this node did not read one by one.
func (c *Controller) endEvacuations() {
	stored := c.stored.configuration
	if stored == nil {
		return
	}
	ended := endedEvacuations(c.configuration, stored)
	if len(ended) == 0 {
		return
	}
	read := *stored
	read.Document.AvailabilityZones = ended
	read.Revision = read.Revision.Later(read.ReadUpTo)
	c.setConfiguration(*c.configuration.Reconcile(&read), stored.Provenance)
}

// endedEvacuations returns the zones that are out of service in the configuration in force, by a change of which the table service had
// no row any more when stored was read.
func endedEvacuations(inForce, stored *eelgrasspoint.Configuration) []eelgrasspoint.AvailabilityZone {
	var ended []eelgrasspoint.AvailabilityZone
	for _, zone := range stored.Document.AvailabilityZones {
		known := slices.IndexFunc(inForce.Document.AvailabilityZones, func(z eelgrasspoint.AvailabilityZone) bool { return z.Name == zone.Name })
		if known < 0 || !inForce.Document.AvailabilityZones[known].OutOfService || slices.Contains(stored.Evacuated, zone.Name) {
			continue
		}
		changedAt := inForce.Document.AvailabilityZones[known].ChangedAt
		if changedAt.Epoch == stored.ReadUpTo.Epoch && !changedAt.After(stored.ReadUpTo) && !changedAt.IsZero() {
			zone.OutOfService, zone.ChangedAt = false, stored.ReadUpTo
			ended = append(ended, zone)
		}
	}
	return ended
}

func (c *Controller) beginWait(delay time.Duration) {
	c.stored.wait++
	c.stored.delay = delay
	command := replaceDelayed{wait: c.stored.wait}
	c.stored.timer = time.AfterFunc(delay, func() { c.Submit(command) })
}

func (c *Controller) endWait() {
	if c.stored.timer == nil {
		return
	}
	c.stored.timer.Stop()
	c.stored.timer = nil
}
