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
	// refreshedAtNanos is the time of the last MarkRefreshed in nanoseconds since the Unix epoch, or
	// zero before the first.
	refreshedAtNanos atomic.Int64
	// readAt is the time of the last MarkRead, nil before the first.
	readAt atomic.Pointer[time.Time]
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

// MarkRefreshed records that the node has just had the chance to receive changes from other nodes,
// and that all received changes have been applied to the snapshot.
func (h *Holder) MarkRefreshed(now time.Time) { h.refreshedAtNanos.Store(now.UnixNano()) }

// MarkRead records that the node has just read the configuration from the table service, whether it changed or not.
func (h *Holder) MarkRead(now time.Time) { h.readAt.Store(&now) }

// ReadAt returns the time of the last MarkRead, or the zero time before the first.
func (h *Holder) ReadAt() time.Time {
	if at := h.readAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Stale reports whether the last refresh is more than eelgrasspoint.MaxSnapshotAge ago, which
// happens if the process was paused. The snapshot may then be outdated, and no request may be
// started with it. Before the first refresh Stale returns false.
func (h *Holder) Stale(now time.Time) bool {
	refreshedAt := h.refreshedAtNanos.Load()
	return refreshedAt != 0 && now.Sub(time.Unix(0, refreshedAt)) > eelgrasspoint.MaxSnapshotAge
}
