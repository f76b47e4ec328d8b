// Package holder publishes the snapshot that the traffic goroutines read.
package holder

import (
	"sync/atomic"
	"time"

	"eelgrasspoint"
)

// Holder is safe for concurrent use; readers never wait.
type Holder struct {
	current     atomic.Pointer[eelgrasspoint.Snapshot]
	refreshedAt atomic.Int64
}

// New returns a holder of the first snapshot.
func New(first *eelgrasspoint.Snapshot) *Holder {
	h := &Holder{}
	h.current.Store(first)
	return h
}

// Load returns the present snapshot.
func (h *Holder) Load() *eelgrasspoint.Snapshot { return h.current.Load() }

// Publish replaces the snapshot.
func (h *Holder) Publish(next *eelgrasspoint.Snapshot) { h.current.Store(next) }

// MarkRefreshed notes that the control side has just had the chance to hear of changes.
func (h *Holder) MarkRefreshed(now time.Time) { h.refreshedAt.Store(now.UnixNano()) }

// Stale reports whether the process seems to have stood still: then the snapshot may be of
// another time and nothing new may be started on it.
func (h *Holder) Stale(now time.Time) bool {
	at := h.refreshedAt.Load()
	return at != 0 && now.Sub(time.Unix(0, at)) > eelgrasspoint.MaxSnapshotAge
}
