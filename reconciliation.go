package eelgrasspoint

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Reconcile returns what two configurations say together, in any order of the two: of the documents, the newer one by
// CompareNumbers, and of each availability zone the latest change. Nodes that know different epochs of the table service agree in
// this way: neither has to know all of what the other does. If the number of one of them is unknown, the configuration with
// the higher revision is returned; of two with the same revision, that with a number, or else c.
func (c *Configuration) Reconcile(other *Configuration) *Configuration {
	if c.Version == 0 || other.Version == 0 {
		if cmp.Or(other.Revision.Compare(c.Revision), cmp.Compare(other.Version, c.Version)) > 0 {
			return other
		}
		return c
	}
	newer, older := c, other
	numbers := other.CompareNumbers(c)
	if cmp.Or(numbers, other.Revision.Compare(c.Revision)) > 0 {
		newer, older = other, c
	}
	reconciled := *newer
	reconciled.Revision = c.Revision.Later(other.Revision)
	if numbers == 0 {
		reconciled.ReadEpoch = max(c.ReadEpoch, other.ReadEpoch)
	}
	reconciled.Document.AvailabilityZones = latestZones(newer.Document.AvailabilityZones, older.Document.AvailabilityZones)
	return &reconciled
}

// CompareNumbers orders the documents of two configurations by the operators' numbers: it returns -1 if that of c is older than
// that of other, 1 if it is newer and 0 otherwise.
func (c *Configuration) CompareNumbers(other *Configuration) int {
	return cmp.Or(cmp.Compare(c.NumberingEpoch, other.NumberingEpoch), cmp.Compare(c.Version, other.Version))
}

// latestZones returns the zones of both lists, sorted by name, each as its latest change left it.
func latestZones(zones, others []AvailabilityZone) []AvailabilityZone {
	latest := slices.Clone(zones)
	for _, other := range others {
		i := slices.IndexFunc(latest, func(z AvailabilityZone) bool { return z.Name == other.Name })
		switch {
		case i < 0:
			latest = append(latest, other)
		case other.supersedes(latest[i]):
			latest[i].OutOfService, latest[i].ChangedAt = other.OutOfService, other.ChangedAt
		}
	}
	slices.SortFunc(latest, func(a, b AvailabilityZone) int { return strings.Compare(a.Name, b.Name) })
	return latest
}

// supersedes reports whether the zone has the later change. Of two at the same revision, that which takes the zone out of
// service counts.
func (z AvailabilityZone) supersedes(other AvailabilityZone) bool {
	if z.ChangedAt != other.ChangedAt {
		return z.ChangedAt.After(other.ChangedAt)
	}
	return z.OutOfService && !other.OutOfService
}

// StateDigest returns a hash of the numbers that Reconcile compares, but for the revision. Two nodes with different ones
// have something to tell each other, even if their revisions are equal. It is zero if the operators' number is unknown, and
// does not depend on what a version of the program can read of a document.
func (c *Configuration) StateDigest() uint64 {
	if c.Version == 0 {
		return 0
	}
	hash := xxhash.New()
	_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, c.Version))
	if c.NumberingEpoch != 0 {
		_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, c.NumberingEpoch))
	}
	for _, zone := range c.Document.AvailabilityZones {
		if zone.ChangedAt.IsZero() {
			continue
		}
		_, _ = hash.WriteString(zone.Name)
		state := []byte{0}
		if zone.OutOfService {
			state[0] = 1
		}
		_, _ = hash.Write(appendRevision(state, zone.ChangedAt))
	}
	return hash.Sum64()
}

// appendRevision appends a revision to the input of a hash. One that can be packed is appended as earlier versions of the
// program do, so that their hashes are the same.
func appendRevision(input []byte, r Revision) []byte {
	if packed, fits := r.Packed(); fits {
		return binary.LittleEndian.AppendUint64(input, packed)
	}
	return binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(input, r.Epoch), r.Version)
}

// HasNews reports whether a node with the revision and the digest has something that c lacks. One with a lower revision
// reconciles first, and has the same revision then. A digest of zero is that of a node that does not know the operators'
// number, or sends none, and is no news.
func (c *Configuration) HasNews(revision Revision, digest uint64) bool {
	if revision != c.Revision {
		return revision.After(c.Revision)
	}
	return digest != 0 && digest != c.StateDigest()
}
