package translator

import (
	"eelgrasspoint"
	"eelgrasspoint/protocol/schema"
)

// Revision converts the two fields of a revision in a message.
func Revision(packed uint64, large *schema.Revision) eelgrasspoint.Revision {
	if large == nil {
		return eelgrasspoint.UnpackRevision(packed)
	}
	return eelgrasspoint.Revision{Epoch: large.GetEpoch(), Version: large.GetVersion()}
}

// RevisionMessage converts a revision to the two fields of a message.
func RevisionMessage(r eelgrasspoint.Revision) (packed uint64, large *schema.Revision) {
	if packed, fits := r.Packed(); fits {
		return packed, nil
	}
	return 0, &schema.Revision{Epoch: r.Epoch, Version: r.Version}
}
