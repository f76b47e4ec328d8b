package controller

import (
	"fmt"
	"slices"

	"eelgrasspoint"
)

// maxRecordedReads bounds the configurations that are remembered as recorded.
const maxRecordedReads = 64

// readIdentity identifies a configuration that was read.
type readIdentity struct {
	revision       eelgrasspoint.Revision
	version, state uint64
	origin         eelgrasspoint.Origin
}

func identify(c *eelgrasspoint.Configuration) readIdentity {
	return readIdentity{revision: c.Revision, version: c.Version, state: c.StateDigest(), origin: c.Provenance.Origin}
}

// comparedRead is a configuration that was compared with the one in force.
type comparedRead struct {
	readIdentity
	// routes is the first of its routes. A source that has read no new document returns the same ones.
	routes *eelgrasspoint.Route
}

func newComparedRead(c *eelgrasspoint.Configuration) comparedRead {
	compared := comparedRead{readIdentity: identify(c)}
	if routes := c.Document.Routes; len(routes) > 0 {
		compared.routes = &routes[0]
	}
	return compared
}

// recordedRead is a configuration that was recorded as not in force.
type recordedRead struct {
	readIdentity
	digest uint64
}

// unusedReads remembers configurations that were read, so that each is recorded once, and compared only if it is another
// one than before.
type unusedReads struct {
	compared comparedRead
	// recorded are the last ones, oldest first.
	recorded []recordedRead
}

// addRecorded reports whether the configuration has not been recorded yet, and remembers it.
func (u *unusedReads) addRecorded(read recordedRead) bool {
	if slices.Contains(u.recorded, read) {
		return false
	}
	first := max(0, len(u.recorded)-maxRecordedReads+1)
	u.recorded = append(slices.Clone(u.recorded[first:]), read)
	return true
}

// recordIfUnused records a configuration that was read and reconciled if the one in force still says something else.
func (c *Controller) recordIfUnused(read *eelgrasspoint.Configuration) {
	compared := newComparedRead(read)
	if compared == c.unused.compared {
		return
	}
	c.unused.compared = compared
	reason := c.whyUnused(read)
	if reason == "" {
		return
	}
	digest := read.Document.Digest()
	if c.unused.addRecorded(recordedRead{readIdentity: compared.readIdentity, digest: digest}) {
		c.recordUnused(read, digest, reason)
	}
}

// whyUnused returns why the configuration in force says something else than one that was read, or "" if it doesn't.
func (c *Controller) whyUnused(read *eelgrasspoint.Configuration) string {
	inForce := c.configuration
	sameContent := ReplaceConfiguration{Configuration: *read}.withZonesOf(inForce).Document.Digest() == c.digest
	switch {
	case sameContent && sameZones(read, inForce):
		return ""
	case sameContent:
		return "what it says of availability zones does not replace what is in force"
	case read.Version != inForce.Version && read.Version != 0 && inForce.Version != 0:
		return fmt.Sprintf("version %d does not replace version %d", read.Version, inForce.Version)
	case read.Revision != inForce.Revision:
		return "its revision does not replace the one in force"
	default:
		return "the one in force has the same numbers, but another content"
	}
}

// sameZones reports whether the availability zones of a configuration that was read are in the same state in the one in
// force.
func sameZones(read, inForce *eelgrasspoint.Configuration) bool {
	out := make(map[string]bool, len(inForce.Document.AvailabilityZones))
	for _, zone := range inForce.Document.AvailabilityZones {
		out[zone.Name] = zone.OutOfService
	}
	return !slices.ContainsFunc(read.Document.AvailabilityZones, func(z eelgrasspoint.AvailabilityZone) bool {
		return z.OutOfService != out[z.Name]
	})
}

// recordUnused records a configuration that was read, the one in force, and why it stays in force.
func (c *Controller) recordUnused(read *eelgrasspoint.Configuration, digest uint64, reason string) {
	inForce := c.configuration
	c.options.Recorder.Record(eelgrasspoint.Event{
		Number: eelgrasspoint.EventConfigurationNotInForce,
		Detail: "revision " + read.Revision.String() + ": " + reason,
		Inputs: append(read.OriginInputs(),
			eelgrasspoint.Input{Name: "Revision", Value: read.Revision.String()},
			eelgrasspoint.Input{Name: "Digest", Value: formatDigest(digest)},
			eelgrasspoint.Input{Name: "InForceRevision", Value: inForce.Revision.String()},
			eelgrasspoint.Input{Name: "InForceVersion", Value: inForce.Version},
			eelgrasspoint.Input{Name: "InForceOrigin", Value: inForce.Provenance.Origin.String()},
			eelgrasspoint.Input{Name: "InForceDigest", Value: formatDigest(c.digest)},
			eelgrasspoint.Input{Name: "InForceMilliseconds", Value: c.options.Clock().Sub(inForce.Provenance.InForceAt).Milliseconds()}),
	})
}
