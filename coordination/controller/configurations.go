package controller

import (
	"fmt"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/router"
)

// ReplaceConfiguration reconciles a configuration with the one in force, and puts the result in force if it says more. A
// configuration that this node reads more of than the node that sent the one in force replaces it as well.
type ReplaceConfiguration struct{ Configuration eelgrasspoint.Configuration }

func (r ReplaceConfiguration) apply(c *Controller) {
	if r.fromTable() {
		r.Configuration.NumberingEpoch = c.numberingEpoch(&r.Configuration)
		read := r.Configuration
		c.stored.configuration = &read
	}
	r.reconcile(c)
	c.reviewStored()
	c.endEvacuations()
}

func (r ReplaceConfiguration) reconcile(c *Controller) {
	known := c.configuration
	rereads := r.readsMore(known, c.digest)
	if rereads {
		known = r.withZonesOf(known)
	}
	reconciled := known.Reconcile(&r.Configuration)
	numbered := reconciled.CompareNumbers(known) != 0
	if rereads || numbered || reconciled.Revision != known.Revision || reconciled.StateDigest() != known.StateDigest() {
		c.setConfiguration(*reconciled, r.Configuration.Provenance)
	}
	c.recordIfUnused(&r.Configuration)
}

// readsMore reports whether this node itself read the revision in force from the table service, but has it from
// another node, which understood it differently. An earlier version of the program may not read all of it. The digest is
// that of the document in force.
func (r ReplaceConfiguration) readsMore(inForce *eelgrasspoint.Configuration, digest uint64) bool {
	if !r.fromTable() {
		return false
	}
	if r.Configuration.Revision.IsZero() || r.Configuration.Revision != inForce.Revision || r.Configuration.CompareNumbers(inForce) < 0 {
		return false
	}
	reread := r.withZonesOf(inForce)
	return inForce.Provenance.Origin == eelgrasspoint.OtherNode && reread.Document.Digest() != digest
}

// fromTable reports whether this node itself read the configuration from the table service.
func (r ReplaceConfiguration) fromTable() bool {
	origin := r.Configuration.Provenance.Origin
	return origin == eelgrasspoint.StoreFeed || origin == eelgrasspoint.StoreScan
}

// withZonesOf returns the configuration with the availability zones of another one.
func (r ReplaceConfiguration) withZonesOf(other *eelgrasspoint.Configuration) *eelgrasspoint.Configuration {
	changed := r.Configuration
	changed.Document.AvailabilityZones = other.Document.AvailabilityZones
	return &changed
}

// setConfiguration puts a configuration in force. The caller ensures that its revision is not below the one in
// force. provenance is that of what changed.
func (c *Controller) setConfiguration(configuration eelgrasspoint.Configuration, provenance eelgrasspoint.Provenance) {
	previous := c.zonesOutOfService()
	provenance.InForceAt = c.options.Clock()
	configuration.Provenance = provenance
	c.configuration = &configuration
	c.digest = c.configuration.Document.Digest()
	// A configuration that is in force as it was read needs no comparison.
	c.unused.compared = newComparedRead(c.configuration)
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
	inputs := append(c.configuration.OriginInputs(), eelgrasspoint.Input{Name: "Digest", Value: formatDigest(c.digest)})
	inputs = append(inputs, stepInputs(&c.configuration.Provenance, c.options.Clock())...)
	c.options.Recorder.Record(eelgrasspoint.Event{
		Number: eelgrasspoint.EventRevisionInForce, Detail: "revision " + c.configuration.Revision.String(), Inputs: inputs,
	})
}

// stepInputs returns how long the steps took that are known.
func stepInputs(provenance *eelgrasspoint.Provenance, now time.Time) []eelgrasspoint.Input {
	inputs := []eelgrasspoint.Input{{Name: "TookMilliseconds", Value: provenance.Took.Milliseconds()}}
	if provenance.Read > 0 || provenance.Decode > 0 {
		inputs = append(inputs,
			eelgrasspoint.Input{Name: "ReadMilliseconds", Value: provenance.Read.Milliseconds()},
			eelgrasspoint.Input{Name: "DecodeMilliseconds", Value: provenance.Decode.Milliseconds()})
	}
	if !provenance.SubmittedAt.IsZero() {
		applying := now.Sub(provenance.SubmittedAt)
		inputs = append(inputs, eelgrasspoint.Input{Name: "ApplyMilliseconds", Value: applying.Milliseconds()})
	}
	return inputs
}

func formatDigest(digest uint64) string { return fmt.Sprintf("%016x", digest) }

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
