package controller

import (
	"fmt"

	"eelgrasspoint"
	"eelgrasspoint/coordination/router"
)

// ReplaceConfiguration puts a whole configuration in force if its revision is higher than the one in force, or if it
// is the same one and this node reads more of it than the node that sent it.
type ReplaceConfiguration struct{ Configuration eelgrasspoint.Configuration }

func (r ReplaceConfiguration) apply(c *Controller) {
	if r.Configuration.Revision > c.configuration.Revision || r.readsMore(c.configuration) {
		c.setConfiguration(r.Configuration)
	}
}

// readsMore reports whether this node itself read the revision in force from the table service, but has it from
// another node, which understood it differently. An earlier version of the program may not read all of it.
func (r ReplaceConfiguration) readsMore(inForce *eelgrasspoint.Configuration) bool {
	origin := r.Configuration.Provenance.Origin
	if origin != eelgrasspoint.StoreFeed && origin != eelgrasspoint.StoreScan {
		return false
	}
	return r.Configuration.Revision > 0 && r.Configuration.Revision == inForce.Revision &&
		inForce.Provenance.Origin == eelgrasspoint.OtherNode && r.Configuration.Document.Digest() != inForce.Document.Digest()
}

// setConfiguration puts a configuration in force. The caller ensures that its revision is not below the one in
// force.
func (c *Controller) setConfiguration(configuration eelgrasspoint.Configuration) {
	previous := c.zonesOutOfService()
	c.configuration = &configuration
	c.router = router.New(&c.configuration.Document)
	c.recordRevision()
	c.recordZoneChanges(previous)
	if c.options.SetBudgets != nil {
		c.options.SetBudgets(&c.configuration.Document, c.nodesInRegion())
	}
	c.signalUpdates()
}

// recordRevision records the revision in force, and how the node got it.
func (c *Controller) recordRevision() {
	provenance := c.configuration.Provenance
	inputs := []eelgrasspoint.Input{
		{Name: "Origin", Value: provenance.Origin.String()},
		{Name: "Digest", Value: fmt.Sprintf("%016x", c.configuration.Document.Digest())},
		{Name: "TookMilliseconds", Value: provenance.Took.Milliseconds()},
	}
	if provenance.Node != "" {
		inputs = append(inputs, eelgrasspoint.Input{Name: "From", Value: provenance.Node})
	}
	if provenance.Version != 0 {
		inputs = append(inputs, eelgrasspoint.Input{Name: "Version", Value: provenance.Version})
	}
	c.options.Recorder.Record(eelgrasspoint.Event{
		Number: eelgrasspoint.EventRevisionInForce, Detail: fmt.Sprintf("revision %d", c.configuration.Revision), Inputs: inputs,
	})
}

func (c *Controller) recordZoneChanges(previous map[string]bool) {
	for _, zone := range c.configuration.Document.AvailabilityZones {
		wasOut, known := previous[zone.Name]
		switch {
		case zone.OutOfService && !wasOut:
			c.record(eelgrasspoint.EventZoneOut, "", zone.Name, "")
		case !zone.OutOfService && known && wasOut:
			c.record(eelgrasspoint.EventZoneIn, "", zone.Name, "")
			if zone.Name == c.self.AvailabilityZone && c.options.ZoneBack != nil {
				c.options.ZoneBack()
			}
		}
	}
}

func (c *Controller) nodesInRegion() int {
	n := 0
	for _, m := range c.members {
		if m.Alive() && m.Region == c.self.Region {
			n++
		}
	}
	return n
}
