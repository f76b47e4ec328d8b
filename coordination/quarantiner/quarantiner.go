// Package quarantiner detects requests that crash the backend servers that run them.
package quarantiner

import (
	"maps"
	"sync"
	"time"

	"eelgrasspoint"
)

// crashesToQuarantine is the number of crashes with a request in flight after which the request is
// quarantined.
const crashesToQuarantine = 2

// Quarantiner counts, by fingerprint, the crashes during which a request was in flight. After one
// crash a request is a suspect. The executor runs at most one suspect at a time on a backend server,
// so that a second crash identifies the request that caused both. It is safe for concurrent use.
type Quarantiner struct {
	clock eelgrasspoint.Clock

	mu      sync.Mutex
	records map[uint64]*record
	// heads holds until when the requests with a head need a fingerprint before they run, since one of them was in flight at
	// a crash.
	heads map[uint64]time.Time
	// succeeded and olderSucceeded hold the fingerprints of requests that succeeded recently. To bound
	// the memory, succeeded replaces olderSucceeded when it holds MaxQuarantineRecords of them.
	succeeded, olderSucceeded map[uint64]struct{}
	// withRow are the fingerprints of cleared quarantines whose rows are to be deleted.
	withRow []uint64
}

// record holds the crashes counted for one fingerprint.
type record struct {
	crashes   map[string]struct{}
	expiresAt time.Time
	// proved is set if another node, or a row of the table service, says that the request is quarantined.
	proved bool
	// head, permitted and stored are those of eelgrasspoint.Quarantine.
	head      uint64
	permitted []string
	stored    bool
}

// Status is the degree of suspicion that a request crashes backend servers.
type Status int

// Statuses in ascending order of suspicion.
const (
	Clean Status = iota
	Suspect
	Quarantined
)

// New returns an empty quarantiner.
func New(clock eelgrasspoint.Clock) *Quarantiner {
	return &Quarantiner{clock: clock, records: make(map[uint64]*record), heads: make(map[uint64]time.Time), succeeded: make(map[uint64]struct{})}
}

// Status returns the status of the request with the fingerprint.
func (q *Quarantiner) Status(fingerprint uint64) Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.records[fingerprint]
	if r == nil || r.expiresAt.Before(q.clock()) {
		return Clean
	}
	if r.isQuarantined() {
		return Quarantined
	}
	return Suspect
}

// NeedsFingerprint reports whether a request with the head was in flight at a crash, so that others with the head need a
// fingerprint of their whole body before they run.
func (q *Quarantiner) NeedsFingerprint(head uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	until, found := q.heads[head]
	return found && !until.Before(q.clock())
}

// RecordCrash counts a crash, identified by node and incarnation, for each of the requests that were in flight, and
// returns those that are quarantined because of it. Of a request whose body was not complete only the head is known.
func (q *Quarantiner) RecordCrash(crash string, suspects []eelgrasspoint.CrashSuspect) []eelgrasspoint.Quarantine {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.removeExpired()
	var quarantined []eelgrasspoint.Quarantine
	for _, suspect := range suspects {
		q.addHead(suspect.Head)
		if !suspect.BodyKnown || q.recentlySucceeded(suspect.Fingerprint) {
			continue
		}
		if q.countCrash(crash, suspect) {
			quarantined = append(quarantined, q.records[suspect.Fingerprint].quarantine(suspect.Fingerprint))
		}
	}
	return quarantined
}

// RecordSuccess clears the suspicion of a request that succeeded, but does not end a quarantine.
// While the success is remembered, crashes are not counted for the fingerprint: a page that many
// callers request may be in flight at crashes that it did not cause.
func (q *Quarantiner) RecordSuccess(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.addSuccess(fingerprint)
	if r := q.records[fingerprint]; r != nil && !r.isQuarantined() {
		delete(q.records, fingerprint)
	}
}

func (q *Quarantiner) addSuccess(fingerprint uint64) {
	q.succeeded[fingerprint] = struct{}{}
	if len(q.succeeded) >= eelgrasspoint.MaxQuarantineRecords {
		q.olderSucceeded = q.succeeded
		q.succeeded = make(map[uint64]struct{})
	}
}

func (q *Quarantiner) recentlySucceeded(fingerprint uint64) bool {
	_, recent := q.succeeded[fingerprint]
	_, older := q.olderSucceeded[fingerprint]
	return recent || older
}

// countCrash adds the crash to the record of the request and reports whether that quarantines it. It adds no record beyond
// MaxQuarantineRecords.
func (q *Quarantiner) countCrash(crash string, suspect eelgrasspoint.CrashSuspect) bool {
	r := q.recordOf(suspect.Fingerprint)
	if r == nil {
		return false
	}
	before := r.isQuarantined()
	r.crashes[crash] = struct{}{}
	r.expiresAt = q.clock().Add(eelgrasspoint.QuarantineTime)
	r.head, r.permitted = suspect.Head, suspect.Permitted
	return !before && r.isQuarantined()
}

// recordOf returns the record of a fingerprint, a new one if there is none, or nil if there are MaxQuarantineRecords.
func (q *Quarantiner) recordOf(fingerprint uint64) *record {
	r := q.records[fingerprint]
	if r == nil && len(q.records) < eelgrasspoint.MaxQuarantineRecords {
		r = &record{crashes: make(map[string]struct{})}
		q.records[fingerprint] = r
	}
	return r
}

// addHead makes NeedsFingerprint true for a head. It adds none beyond MaxQuarantineRecords.
func (q *Quarantiner) addHead(head uint64) {
	if _, known := q.heads[head]; known || len(q.heads) < eelgrasspoint.MaxQuarantineRecords {
		q.heads[head] = q.clock().Add(eelgrasspoint.QuarantineTime)
	}
}

func (q *Quarantiner) removeExpired() {
	now := q.clock()
	maps.DeleteFunc(q.heads, func(_ uint64, until time.Time) bool { return until.Before(now) })
	for fingerprint, r := range q.records {
		if r.expiresAt.Before(now) {
			delete(q.records, fingerprint)
		}
	}
}
