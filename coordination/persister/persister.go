// Package persister keeps in rows of the table service which requests crash backend servers, so that the processes that
// start later know them.
package persister

import (
	"context"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"eelgrasspoint"
	"eelgrasspoint/coordination/quarantiner"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/protocol/translator"
	"eelgrasspoint/state/sweeper"
)

// Persister writes and reads the rows of quarantines.
type Persister struct {
	options Options
	// found receives a value once crashes of the backend server beside the node quarantined requests.
	found chan struct{}
	// cleared are the fingerprints whose rows are to be deleted. Only Run accesses them.
	cleared []uint64
}

// Options are the dependencies of a persister.
type Options struct {
	// Region is that of the node.
	Region      string
	Quarantiner *quarantiner.Quarantiner
	Table       eelgrasspoint.Table
	Recorder    eelgrasspoint.Recorder
	Clock       eelgrasspoint.Clock
	// Keeps reports whether the node writes the rows that are missing, also of quarantines that it learned from others.
	Keeps func() bool
}

// rowPrefix is the key prefix of the rows. A row is named by the fingerprint, so that nodes that write the same quarantine
// write the same row.
const rowPrefix = "quarantine/"

const (
	// checkInterval is the pause between two looks for quarantines without a row, and after a failed write.
	checkInterval = time.Second
	// learnDelay is how long the node that keeps the rows waits for the row of the node that found a quarantine.
	learnDelay = 2 * time.Second
	// maxRowsPerWrite is below the limit of the table service for one transaction.
	maxRowsPerWrite = 50
)

// New returns a persister.
func New(options Options) *Persister {
	return &Persister{options: options, found: make(chan struct{}, 1)}
}

// Found makes Run write the quarantines without a row at once: the node found them itself.
func (p *Persister) Found() {
	select {
	case p.found <- struct{}{}:
	default:
	}
}

// Run writes the rows that are missing until ctx ends.
func (p *Persister) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	var missingSince time.Time
	for {
		own := false
		select {
		case <-ctx.Done():
			return
		case <-p.found:
			own = true
		case <-ticker.C:
		}
		p.deleteCleared(ctx)
		missing := p.missing()
		now := p.options.Clock()
		switch {
		case len(missing) == 0:
			missingSince = time.Time{}
			continue
		case missingSince.IsZero():
			missingSince = now
		}
		if !own && (!p.options.Keeps() || now.Sub(missingSince) < learnDelay) {
			continue
		}
		if p.write(ctx, missing) != nil && own {
			p.Found()
			pause(ctx)
		}
	}
}

// deleteCleared deletes the rows of quarantines that were cleared, if the node keeps the rows. The next check tries again.
func (p *Persister) deleteCleared(ctx context.Context) {
	if !p.options.Keeps() {
		p.cleared = nil
	}
	for _, fingerprint := range p.options.Quarantiner.TakeCleared() {
		if p.options.Keeps() {
			p.cleared = append(p.cleared, fingerprint)
		}
	}
	for len(p.cleared) > 0 {
		part := p.cleared[:min(len(p.cleared), maxRowsPerWrite)]
		var writes []eelgrasspoint.Write
		for _, fingerprint := range part {
			writes = append(writes, eelgrasspoint.Write{Key: rowKey(fingerprint), Delete: true})
		}
		if p.options.Table.Commit(ctx, eelgrasspoint.Transaction{Writes: writes}) != nil {
			return
		}
		p.cleared = p.cleared[len(part):]
	}
}

// missing returns the quarantines in force that are not known to have a row.
func (p *Persister) missing() []eelgrasspoint.Quarantine {
	return slices.DeleteFunc(p.options.Quarantiner.Quarantines(), func(q eelgrasspoint.Quarantine) bool { return q.Stored })
}

// write writes the rows of the quarantines.
func (p *Persister) write(ctx context.Context, quarantines []eelgrasspoint.Quarantine) error {
	for part := range slices.Chunk(quarantines, maxRowsPerWrite) {
		var writes []eelgrasspoint.Write
		for _, q := range part {
			value, err := protojson.Marshal(translator.QuarantineRow(q))
			if err != nil {
				return err
			}
			writes = append(writes, eelgrasspoint.Write{Key: rowKey(q.Fingerprint), Value: value})
		}
		if err := p.options.Table.Commit(ctx, eelgrasspoint.Transaction{Writes: writes}); err != nil {
			return err
		}
		p.options.Quarantiner.MarkStored(part, true)
	}
	return nil
}

func rowKey(fingerprint uint64) string { return fmt.Sprintf("%s%016x", rowPrefix, fingerprint) }

// RewriteRows writes the rows of the quarantines again whose last crash is later than a time.
func (p *Persister) RewriteRows(since time.Time) {
	recent := slices.DeleteFunc(p.options.Quarantiner.Quarantines(), func(q eelgrasspoint.Quarantine) bool {
		return q.ExpiresAt.Add(-eelgrasspoint.QuarantineTime).Before(since)
	})
	p.options.Quarantiner.MarkStored(recent, false)
}

// Restore reads the rows and puts their quarantines in force. A row that can't be read, or whose key is not that of its
// fingerprint, is recorded and left out, one that is too old is left out.
func (p *Persister) Restore(ctx context.Context) error {
	rows, err := p.options.Table.Scan(ctx, rowPrefix)
	if err != nil {
		return err
	}
	var quarantines []eelgrasspoint.Quarantine
	for _, row := range rows {
		q, err := parse(row)
		if err != nil {
			p.options.Recorder.Record(eelgrasspoint.Event{
				Number: eelgrasspoint.EventBadInput, Detail: "invalid row " + row.Key + ": " + err.Error(),
			})
			continue
		}
		if q.PermittedIn(p.options.Region) {
			quarantines = append(quarantines, q)
		}
	}
	p.options.Quarantiner.Learn(quarantines)
	if known := len(p.options.Quarantiner.Quarantines()); known > 0 {
		p.options.Recorder.Record(eelgrasspoint.Event{
			Number: eelgrasspoint.EventQuarantinesRestored, Detail: fmt.Sprintf("rows: %d, requests quarantined: %d", len(rows), known),
		})
	}
	return nil
}

func parse(row eelgrasspoint.Row) (eelgrasspoint.Quarantine, error) {
	var message schema.Quarantine
	if err := translator.ParseRow(row.Value, &message); err != nil {
		return eelgrasspoint.Quarantine{}, err
	}
	if row.Key != rowKey(message.GetFingerprint()) {
		return eelgrasspoint.Quarantine{}, &eelgrasspoint.InvalidError{Mistakes: []eelgrasspoint.Mistake{{
			Path: "Fingerprint", Message: "is not that of the key",
		}}}
	}
	return translator.QuarantineFromRow(&message), nil
}

// DeleteExpiredRows deletes the rows that are no longer in force, also those that can't be read.
func (p *Persister) DeleteExpiredRows(ctx context.Context) error {
	return sweeper.New(p.options.Table, p.options.Recorder).Sweep(ctx, rowPrefix, func(row eelgrasspoint.Row) bool {
		q, err := parse(row)
		return err == nil && p.inForce(q)
	})
}

// inForce reports whether a row is to be kept. One that would be in force for longer than any quarantine was written by a node
// whose clock was wrong; it is kept no longer than the others.
func (p *Persister) inForce(q eelgrasspoint.Quarantine) bool {
	left := q.ExpiresAt.Sub(p.options.Clock())
	return left > 0 && left <= 2*eelgrasspoint.QuarantineTime
}

func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(checkInterval):
	}
}
