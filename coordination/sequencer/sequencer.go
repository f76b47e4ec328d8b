// Package sequencer decides whether the document that the table service holds follows the one in force although its number
// is not higher. Numbers rise, but a table service that came back from a copy lacks the latest of them, and the operators may
// go on with a lower one.
package sequencer

import (
	"time"

	"eelgrasspoint"
)

// Delays of a document with a lower number, in which the operators may write again what the copy lacks.
const (
	// writtenDelay is that of a document that they have written since. It leaves time to spread the document.
	writtenDelay = 1500 * time.Millisecond
	// foundDelay is that of a document that may be of the copy.
	foundDelay = time.Minute
)

// Decision is what to do with the document that the table service holds.
type Decision struct {
	// Follows is set if the document replaces the one in force, after Delay unless another one is read before.
	Follows bool
	Delay   time.Duration
	// NumberingEpoch is that of the document, see eelgrasspoint.Configuration.
	NumberingEpoch uint64
}

// Decide decides on the document in stored, which this node read last from the table service. Neither of the documents needs
// to have a number. A document that was read before the numbers began anew does not come back.
func Decide(inForce, stored *eelgrasspoint.Configuration) Decision {
	higher := stored.Version >= inForce.Version
	ofLaterEpoch := stored.ReadEpoch > inForce.ReadEpoch
	switch {
	case stored.ReadEpoch < inForce.NumberingEpoch:
		return Decision{}
	case higher:
		return Decision{Follows: true, NumberingEpoch: inForce.NumberingEpoch}
	case !ofLaterEpoch || stored.Version == 0:
		return Decision{}
	case stored.Written:
		return Decision{Follows: true, Delay: writtenDelay, NumberingEpoch: stored.ReadEpoch}
	default:
		return Decision{Follows: true, Delay: foundDelay, NumberingEpoch: stored.ReadEpoch}
	}
}
