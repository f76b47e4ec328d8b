// Package reserver bounds the memory that is used for all requests of a process together.
package reserver

import (
	"net/http"
	"sync/atomic"
)

// Reserver hands out parts of a fixed number of bytes. It is safe for concurrent use.
type Reserver struct {
	limit int64
	used  atomic.Int64
}

// New returns a reserver of limit bytes.
func New(limit int64) *Reserver { return &Reserver{limit: limit} }

// Reserve reserves the bytes and reports whether that many were left. The caller releases them.
func (r *Reserver) Reserve(bytes int64) bool {
	if r.used.Add(bytes) > r.limit {
		r.used.Add(-bytes)
		return false
	}
	return true
}

// Release returns reserved bytes.
func (r *Reserver) Release(bytes int64) { r.used.Add(-bytes) }

// Used returns the number of reserved bytes.
func (r *Reserver) Used() int64 { return r.used.Load() }

// Memory of a field in the maps of a header and of its copies.
const (
	nameBytes  = 512
	valueBytes = 96
	// byteFactor is for the copies of a header.
	byteFactor = 2
)

// HeaderBytes returns the memory that a header uses, with its copies.
func HeaderBytes(header http.Header) int64 {
	bytes := 0
	for name, values := range header {
		bytes += nameBytes + len(name)*byteFactor + valueBytes*len(values)
		for _, value := range values {
			bytes += len(value) * byteFactor
		}
	}
	return int64(bytes)
}
