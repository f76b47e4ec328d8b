package eelgrasspoint

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// Revision orders the changes of the rows of the table service: by epoch, then by the version of the row. The versions of a
// later epoch may be lower. The zero value stands for no change.
type Revision struct {
	// Epoch counts how often the table service came back from a copy; it is zero for a table service without epochs.
	Epoch uint64
	// Version is that of the changed row.
	Version uint64
}

// Compare returns -1 if r is before other, 0 if they are the same and 1 if r is after other.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Epoch, other.Epoch), cmp.Compare(r.Version, other.Version))
}

// After reports whether r is after other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// Before reports whether r is before other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// IsZero reports whether r stands for no change.
func (r Revision) IsZero() bool { return r == Revision{} }

// Later returns the later one of two revisions.
func (r Revision) Later(other Revision) Revision {
	if other.After(r) {
		return other
	}
	return r
}

// String returns the version, after the epoch and a point if there is an epoch.
func (r Revision) String() string {
	if r.Epoch == 0 {
		return strconv.FormatUint(r.Version, 10)
	}
	return r.withEpoch()
}

func (r Revision) withEpoch() string {
	return strconv.FormatUint(r.Epoch, 10) + "." + strconv.FormatUint(r.Version, 10)
}

// MarshalJSON implements json.Marshaler: the packed number, or the text of FormatRevision if there is none.
func (r Revision) MarshalJSON() ([]byte, error) {
	if packed, fits := r.Packed(); fits {
		return strconv.AppendUint(nil, packed, 10), nil
	}
	return strconv.AppendQuote(nil, FormatRevision(r)), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *Revision) UnmarshalJSON(value []byte) error {
	parsed, err := ParseRevision(strings.Trim(string(value), `"`))
	if err != nil {
		return err
	}
	*r = parsed
	return nil
}

// Bits of a revision that is packed into one number.
const (
	packedVersionBits = 40
	maxPackedVersion  = 1<<packedVersionBits - 1
	maxPackedEpoch    = 1<<(64-packedVersionBits) - 1
)

// Packed returns the revision as the one number that earlier versions of the program exchange, in the same order. It
// reports false if the number can't hold the revision.
func (r Revision) Packed() (uint64, bool) {
	if r.Epoch > maxPackedEpoch || r.Version > maxPackedVersion {
		return 0, false
	}
	return r.Epoch<<packedVersionBits | r.Version, true
}

// UnpackRevision returns the revision of a packed number.
func UnpackRevision(packed uint64) Revision {
	return Revision{Epoch: packed >> packedVersionBits, Version: packed & maxPackedVersion}
}

// FormatRevision returns a revision as the text that ParseRevision reads: the packed number, or epoch and version if it has none.
func FormatRevision(r Revision) string {
	if packed, fits := r.Packed(); fits {
		return strconv.FormatUint(packed, 10)
	}
	return r.withEpoch()
}

// ParseRevision reads a text of FormatRevision.
func ParseRevision(text string) (Revision, error) {
	epochText, versionText, hasEpoch := strings.Cut(text, ".")
	if !hasEpoch {
		packed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return Revision{}, fmt.Errorf("revision: %w", err)
		}
		return UnpackRevision(packed), nil
	}
	epoch, err := strconv.ParseUint(epochText, 10, 64)
	if err != nil {
		return Revision{}, fmt.Errorf("epoch of the revision: %w", err)
	}
	version, err := strconv.ParseUint(versionText, 10, 64)
	if err != nil {
		return Revision{}, fmt.Errorf("version of the revision: %w", err)
	}
	return Revision{Epoch: epoch, Version: version}, nil
}
