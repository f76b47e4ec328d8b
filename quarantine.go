package eelgrasspoint

import (
	"slices"
	"time"
)

// CrashSuspect is a request that was in flight at a crash of a backend server.
type CrashSuspect struct {
	// Head is the hash of the request's head, see package fingerprinter.
	Head uint64
	// Fingerprint is meaningful if BodyKnown is set: the whole body had been read.
	Fingerprint uint64
	BodyKnown   bool
	// Permitted are the regions that may receive the hashes; empty means all.
	Permitted []string
}

// Quarantine says that a request crashes the backend servers that run it, so that it is refused until ExpiresAt.
type Quarantine struct {
	Fingerprint uint64
	Head        uint64
	ExpiresAt   time.Time
	// Permitted are the regions that may receive the quarantine; empty means all.
	Permitted []string
	// Stored is set if the table service is known to have a row of the quarantine.
	Stored bool
}

// PermittedIn reports whether all the regions may receive the quarantine.
func (q Quarantine) PermittedIn(regions ...string) bool {
	return len(q.Permitted) == 0 || !slices.ContainsFunc(regions, func(r string) bool { return !slices.Contains(q.Permitted, r) })
}
