// Package quarantiner finds the requests that crash the backend servers which run them.
package quarantiner

import (
	"sync"
	"time"

	"eelgrasspoint"
)

// crashesToQuarantine is the number of crashes with the request in flight that quarantine it.
const crashesToQuarantine = 2

// Quarantiner counts, by fingerprint, the crashes that a request was in flight at. A request
// seen at one crash is a suspect: a backend server runs one suspect at a time, so that the
// second crash tells it from the others. It is safe for concurrent use.
type Quarantiner struct {
	clock eelgrasspoint.Clock

	mu      sync.Mutex
	records map[uint64]*record
	// ran holds fingerprints that ran well lately, in two generations.
	ran, ranBefore map[uint64]struct{}
}

type record struct {
	crashes map[string]struct{}
	until   time.Time
}

// Status is how much a request is suspected of crashing backend servers.
type Status int

// Statuses, in ascending order of severity.
const (
	Clean Status = iota
	Suspect
	Quarantined
)

// New returns an empty quarantiner.
func New(clock eelgrasspoint.Clock) *Quarantiner {
	return &Quarantiner{clock: clock, records: make(map[uint64]*record), ran: make(map[uint64]struct{})}
}

// Status returns the status of the request with the fingerprint.
func (q *Quarantiner) Status(fingerprint uint64) Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.records[fingerprint]
	if r == nil || r.until.Before(q.clock()) {
		return Clean
	}
	if len(r.crashes) >= crashesToQuarantine {
		return Quarantined
	}
	return Suspect
}

// RecordCrash counts the crash, named by node and incarnation, against the fingerprints and
// returns those that it quarantined.
func (q *Quarantiner) RecordCrash(crash string, fingerprints []uint64) []uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire()
	var quarantined []uint64
	for _, fingerprint := range fingerprints {
		if q.ranWell(fingerprint) {
			continue
		}
		if q.count(crash, fingerprint) {
			quarantined = append(quarantined, fingerprint)
		}
	}
	return quarantined
}

// RecordSuccess clears the suspicion of a request that ran well. While that is remembered, a
// crash does not count against it: many callers may ask for the same page.
func (q *Quarantiner) RecordSuccess(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ran[fingerprint] = struct{}{}
	if len(q.ran) >= eelgrasspoint.MaxQuarantineRecords {
		q.ranBefore = q.ran
		q.ran = make(map[uint64]struct{})
	}
	if r := q.records[fingerprint]; r != nil && len(r.crashes) < crashesToQuarantine {
		delete(q.records, fingerprint)
	}
}

func (q *Quarantiner) ranWell(fingerprint uint64) bool {
	_, now := q.ran[fingerprint]
	_, before := q.ranBefore[fingerprint]
	return now || before
}

func (q *Quarantiner) count(crash string, fingerprint uint64) bool {
	r := q.records[fingerprint]
	if r == nil {
		if len(q.records) >= eelgrasspoint.MaxQuarantineRecords {
			return false
		}
		r = &record{crashes: make(map[string]struct{})}
		q.records[fingerprint] = r
	}
	before := len(r.crashes)
	r.crashes[crash] = struct{}{}
	r.until = q.clock().Add(eelgrasspoint.QuarantineTime)
	return before < crashesToQuarantine && len(r.crashes) >= crashesToQuarantine
}

func (q *Quarantiner) expire() {
	now := q.clock()
	for fingerprint, r := range q.records {
		if r.until.Before(now) {
			delete(q.records, fingerprint)
		}
	}
}
