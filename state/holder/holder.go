// Package holder publishes the current snapshot to the goroutines that handle requests.
package holder

import (
	"sync/atomic"
	"time"

	"eelgrasspoint"
)

// Holder holds the current snapshot. It is safe for concurrent use, and reads don't block.
type Holder struct {
	current atomic.Pointer[eelgrasspoint.Snapshot]
	// refreshedAtUnixNano is zero before the first MarkRefreshed.
	refreshedAtUnixNano atomic.Int64
}

// New returns a holder of the initial snapshot.
func New(initial *eelgrasspoint.Snapshot) *Holder {
	h := &Holder{}
	h.current.Store(initial)
	return h
}

// Load returns the current snapshot.
func (h *Holder) Load() *eelgrasspoint.Snapshot { return h.current.Load() }

// Publish replaces the snapshot.
func (h *Holder) Publish(next *eelgrasspoint.Snapshot) { h.current.Store(next) }

// MarkRefreshed records that all updates received up to now have been applied to the snapshot.
func (h *Holder) MarkRefreshed(now time.Time) { h.refreshedAtUnixNano.Store(now.UnixNano()) }

// Stale reports whether the last refresh is more than eelgrasspoint.MaxSnapshotAge ago, as after a
// pause of the process. The snapshot may then be outdated, and no request may be started with it.
func (h *Holder) Stale(now time.Time) bool {
	refreshedAt := h.refreshedAtUnixNano.Load()
	return refreshedAt != 0 && now.Sub(time.Unix(0, refreshedAt)) > eelgrasspoint.MaxSnapshotAge
}
