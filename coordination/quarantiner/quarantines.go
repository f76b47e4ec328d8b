package quarantiner

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"eelgrasspoint"
)

// maxExchanged bounds the quarantines in one message.
const maxExchanged = 512

// Quarantines returns the quarantines in force that all the regions may receive, at most maxExchanged of them: those that
// last longest.
func (q *Quarantiner) Quarantines(regions ...string) []eelgrasspoint.Quarantine {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	var found []eelgrasspoint.Quarantine
	for fingerprint, r := range q.records {
		quarantine := r.quarantine(fingerprint)
		if r.isQuarantined() && !r.expiresAt.Before(now) && quarantine.PermittedIn(regions...) {
			found = append(found, quarantine)
		}
	}
	slices.SortFunc(found, func(a, b eelgrasspoint.Quarantine) int {
		return cmp.Or(b.ExpiresAt.Compare(a.ExpiresAt), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return found[:min(len(found), maxExchanged)]
}

// Digest returns a hash of the quarantines in force that all the regions may receive, or zero if there are none.
func (q *Quarantiner) Digest(regions ...string) uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	var digest uint64
	for fingerprint, r := range q.records {
		if r.isQuarantined() && !r.expiresAt.Before(now) && r.quarantine(fingerprint).PermittedIn(regions...) {
			digest ^= xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, fingerprint))
		}
	}
	return digest
}

// Learn puts the quarantines of other nodes, or of the rows of the table service, in force, for QuarantineTime at most. It
// adds none beyond MaxQuarantineRecords. A request that succeeded here is not quarantined: it was in flight at crashes that it
// did not cause. Their fingerprints are returned, to be cleared where the quarantines came from.
func (q *Quarantiner) Learn(quarantines []eelgrasspoint.Quarantine) (disproved []uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.removeExpired()
	now := q.clock()
	for _, learned := range quarantines {
		switch {
		case !learned.ExpiresAt.After(now):
		case q.recentlySucceeded(learned.Fingerprint):
			disproved = append(disproved, learned.Fingerprint)
		default:
			q.learn(learned, now)
		}
	}
	return disproved
}

func (q *Quarantiner) learn(learned eelgrasspoint.Quarantine, now time.Time) {
	r := q.recordOf(learned.Fingerprint)
	if r == nil {
		return
	}
	r.proved = true
	r.head, r.permitted = learned.Head, learned.Permitted
	r.stored = r.stored || learned.Stored
	if learned.ExpiresAt.After(r.expiresAt) {
		r.expiresAt = learned.ExpiresAt
	}
	if latest := now.Add(eelgrasspoint.QuarantineTime); r.expiresAt.After(latest) {
		r.expiresAt = latest
	}
	q.addHead(learned.Head)
}

// Clear ends quarantines of requests that succeeded at another node, and counts no crashes for them while the success is
// remembered.
func (q *Quarantiner) Clear(disproved []uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, fingerprint := range disproved {
		q.addSuccess(fingerprint)
		r := q.records[fingerprint]
		if r == nil {
			continue
		}
		delete(q.records, fingerprint)
		if r.stored && len(q.withRow) < eelgrasspoint.MaxQuarantineRecords {
			q.withRow = append(q.withRow, fingerprint)
		}
	}
}

// TakeCleared returns the fingerprints of the quarantines that were cleared since the last call and have a row.
func (q *Quarantiner) TakeCleared() []uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	cleared := q.withRow
	q.withRow = nil
	return cleared
}

// MarkStored notes whether the table service has rows of the quarantines.
func (q *Quarantiner) MarkStored(quarantines []eelgrasspoint.Quarantine, stored bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, quarantine := range quarantines {
		if r := q.records[quarantine.Fingerprint]; r != nil {
			r.stored = stored
		}
	}
}

// quarantine returns the record as a quarantine.
func (r *record) quarantine(fingerprint uint64) eelgrasspoint.Quarantine {
	return eelgrasspoint.Quarantine{
		Fingerprint: fingerprint, Head: r.head, ExpiresAt: r.expiresAt, Permitted: r.permitted, Stored: r.stored,
	}
}

func (r *record) isQuarantined() bool { return r.proved || len(r.crashes) >= crashesToQuarantine }
