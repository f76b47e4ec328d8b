package controller

import (
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
		c.putStored(decision.NumberingEpoch)
	}
}

// putStored puts the stored document in force with an epoch of its number.
func (c *Controller) putStored(numberingEpoch uint64) {
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
			c.putStored(decision.NumberingEpoch)
		}
	case c.stored.timer == nil || decision.Delay < c.stored.delay:
		c.endWait()
		c.beginWait(decision.Delay)
	}
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
