package eelgrasspoint

import "fmt"

// Bits of a revision: the upper ones hold the epoch of the table service, the lower ones the version of a row.
const (
	versionBits = 40
	// MaxRowVersion and MaxEpoch are the highest numbers that a revision can hold.
	MaxRowVersion = 1<<versionBits - 1
	MaxEpoch      = 1<<(64-versionBits) - 1
)

// NewRevision returns the revision of a change that has a version in an epoch of the table service. All revisions of
// an epoch are above those of the epochs before it, although the versions of the rows may be lower. Epoch zero stands for
// a table service without epochs, whose revisions are the versions.
func NewRevision(epoch, version uint64) uint64 { return epoch<<versionBits | version }

// Epoch returns the epoch of the table service in which a revision was made.
func Epoch(revision uint64) uint64 { return revision >> versionBits }

// RowVersion returns the version of the row that a revision was made of.
func RowVersion(revision uint64) uint64 { return revision & MaxRowVersion }

// FormatRevision returns a revision as text: its number, followed by the epoch and the version if it has an epoch.
func FormatRevision(revision uint64) string {
	if Epoch(revision) == 0 {
		return fmt.Sprint(revision)
	}
	return fmt.Sprintf("%d (epoch %d, version %d)", revision, Epoch(revision), RowVersion(revision))
}
