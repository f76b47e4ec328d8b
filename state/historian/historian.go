// Package historian keeps the numbered changes of the configuration in the platform.
package historian

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protojson"

	"eelgrasspoint"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/protocol/translator"
	"eelgrasspoint/state/merger"
)

// Historian reads and writes the history. It is safe for concurrent use.
type Historian struct {
	table   eelgrasspoint.Table
	objects eelgrasspoint.ObjectStore
}

// Head is the row that every commit is conditional on.
type Head struct {
	Revision         uint64
	SnapshotRevision uint64
	version          uint64
}

// changeRow holds a change, or names the object that holds it if it is too big for a row.
type changeRow struct {
	Change json.RawMessage `json:",omitempty"`
	Object string          `json:",omitempty"`
}

// snapshotObject is the document of a revision.
type snapshotObject struct {
	Revision uint64
	Document json.RawMessage
}

// idRow says which revision a change identifier became.
type idRow struct{ Revision uint64 }

// Keys of the table service and the object store.
const (
	headKey      = "config/head"
	changePrefix = "config/change/"
	idPrefix     = "config/id/"
	snapshotKey  = "config/snapshot"
	bodyPrefix   = "config/body/"
)

// scanAbove is the number of changes above which one scan replaces single reads.
const scanAbove = 4

// deletesPerCommit bounds the writes of one transaction.
const deletesPerCommit = 64

// New returns a historian.
func New(table eelgrasspoint.Table, objects eelgrasspoint.ObjectStore) *Historian {
	return &Historian{table: table, objects: objects}
}

// Head reads the head; before the first commit it is zero.
func (h *Historian) Head(ctx context.Context) (Head, error) {
	row, err := h.table.Read(ctx, headKey)
	if notFound(err) {
		return Head{}, nil
	}
	if err != nil {
		return Head{}, err
	}
	head := Head{version: row.Version}
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return Head{}, unreadable(headKey, err)
	}
	return head, nil
}

// Find returns the revision that a change identifier became, or zero.
func (h *Historian) Find(ctx context.Context, changeID string) (uint64, error) {
	row, err := h.table.Read(ctx, idPrefix+changeID)
	if notFound(err) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var id idRow
	if err := json.Unmarshal(row.Value, &id); err != nil {
		return 0, unreadable(row.Key, err)
	}
	return id.Revision, nil
}

// Append commits the change as the one after the head. Of two commits on one head at most
// one takes effect.
func (h *Historian) Append(ctx context.Context, head Head, change eelgrasspoint.Change) error {
	row, err := h.encode(ctx, change)
	if err != nil {
		return err
	}
	next := Head{Revision: change.Revision, SnapshotRevision: head.SnapshotRevision}
	return h.table.Commit(ctx, eelgrasspoint.Transaction{
		Conditions: []eelgrasspoint.Condition{
			{Key: headKey, Version: head.version},
			{Key: idPrefix + change.ChangeID},
		},
		Writes: []eelgrasspoint.Write{
			{Key: headKey, Value: marshal(next)},
			{Key: changeKey(change.Revision), Value: row},
			{Key: idPrefix + change.ChangeID, Value: marshal(idRow{Revision: change.Revision})},
		},
	})
}

// Members returns the rows with the prefix by which nodes find each other.
func (h *Historian) Members(ctx context.Context, prefix string) ([]eelgrasspoint.Row, error) {
	return h.table.Scan(ctx, prefix)
}

// PutMember sets a node's own row, which nobody else writes.
func (h *Historian) PutMember(ctx context.Context, key string, value []byte) error {
	return h.table.Commit(ctx, eelgrasspoint.Transaction{Writes: []eelgrasspoint.Write{{Key: key, Value: value}}})
}

// DeleteRow deletes a row unless it was written since it was read.
func (h *Historian) DeleteRow(ctx context.Context, row eelgrasspoint.Row) error {
	return h.table.Commit(ctx, eelgrasspoint.Transaction{
		Conditions: []eelgrasspoint.Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []eelgrasspoint.Write{{Key: row.Key, Delete: true}},
	})
}

// DeleteMember deletes a node's row.
func (h *Historian) DeleteMember(ctx context.Context, key string) error {
	return h.table.Commit(ctx, eelgrasspoint.Transaction{Writes: []eelgrasspoint.Write{{Key: key, Delete: true}}})
}

// Load brings a configuration up to the head. It returns the changes that it applied, and
// whether the result rests on a snapshot instead of the configuration.
func (h *Historian) Load(ctx context.Context, from eelgrasspoint.Configuration, head Head) (eelgrasspoint.Configuration, []eelgrasspoint.Change, bool, error) {
	replaced := false
	if from.Revision < head.SnapshotRevision {
		snapshot, err := h.snapshot(ctx)
		if err != nil {
			return from, nil, false, err
		}
		from, replaced = snapshot, true
	}
	changes, err := h.changes(ctx, from.Revision, head.Revision)
	if err != nil {
		return from, nil, replaced, err
	}
	for _, change := range changes {
		from.Document = merger.Apply(&from.Document, &change.Put, &change.Remove)
		from.Revision = change.Revision
	}
	return from, changes, replaced, nil
}

// Compact keeps the configuration as the snapshot and deletes the changes that it holds.
func (h *Historian) Compact(ctx context.Context, head Head, configuration eelgrasspoint.Configuration) error {
	if err := h.putSnapshot(ctx, configuration); err != nil {
		return err
	}
	next := Head{Revision: head.Revision, SnapshotRevision: configuration.Revision}
	err := h.table.Commit(ctx, eelgrasspoint.Transaction{
		Conditions: []eelgrasspoint.Condition{{Key: headKey, Version: head.version}},
		Writes:     []eelgrasspoint.Write{{Key: headKey, Value: marshal(next)}},
	})
	if err != nil {
		return err
	}
	return h.deleteChanges(ctx, head.SnapshotRevision+1, configuration.Revision)
}

func (h *Historian) deleteChanges(ctx context.Context, first, last uint64) error {
	for first <= last {
		var transaction eelgrasspoint.Transaction
		for ; first <= last && len(transaction.Writes) < deletesPerCommit; first++ {
			transaction.Writes = append(transaction.Writes, eelgrasspoint.Write{Key: changeKey(first), Delete: true})
		}
		if err := h.table.Commit(ctx, transaction); err != nil {
			return err
		}
	}
	return nil
}

// changes reads the run of changes after one revision up to another.
func (h *Historian) changes(ctx context.Context, after, last uint64) ([]eelgrasspoint.Change, error) {
	if last <= after {
		return nil, nil
	}
	rows, err := h.rows(ctx, after, last)
	if err != nil {
		return nil, err
	}
	changes := make([]eelgrasspoint.Change, 0, len(rows))
	for _, row := range rows {
		change, err := h.decode(ctx, row)
		if err != nil {
			return nil, err
		}
		if change.Revision <= after || change.Revision > last {
			continue
		}
		if change.Revision != after+uint64(len(changes))+1 {
			return nil, unreadable(row.Key, errors.New("a change before it is missing"))
		}
		changes = append(changes, change)
	}
	if uint64(len(changes)) != last-after {
		return nil, unreadable(changePrefix, errors.New("the last changes are missing"))
	}
	return changes, nil
}

func (h *Historian) rows(ctx context.Context, after, last uint64) ([]eelgrasspoint.Row, error) {
	if last-after > scanAbove {
		return h.table.Scan(ctx, changePrefix)
	}
	var rows []eelgrasspoint.Row
	for revision := after + 1; revision <= last; revision++ {
		row, err := h.table.Read(ctx, changeKey(revision))
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func (h *Historian) encode(ctx context.Context, change eelgrasspoint.Change) ([]byte, error) {
	body, err := protojson.Marshal(translator.ChangeMessage(change))
	if err != nil {
		return nil, err
	}
	if len(body) <= eelgrasspoint.MaxChangeBytes {
		return marshal(changeRow{Change: body}), nil
	}
	key := fmt.Sprintf("%s%s-%d", bodyPrefix, change.ChangeID, change.Revision)
	err = h.objects.Put(ctx, key, body, 0)
	var conflict *eelgrasspoint.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		// Nothing refers to the object yet, so no change has taken effect.
		return nil, &eelgrasspoint.UnavailableError{Call: "Put", Cause: err}
	}
	return marshal(changeRow{Object: key}), nil
}

func (h *Historian) decode(ctx context.Context, row eelgrasspoint.Row) (eelgrasspoint.Change, error) {
	var stored changeRow
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return eelgrasspoint.Change{}, unreadable(row.Key, err)
	}
	if stored.Object != "" {
		object, err := h.objects.Get(ctx, stored.Object)
		if err != nil {
			return eelgrasspoint.Change{}, err
		}
		stored.Change = object.Value
	}
	var message schema.Change
	if err := protojson.Unmarshal(stored.Change, &message); err != nil {
		return eelgrasspoint.Change{}, unreadable(row.Key, err)
	}
	return translator.Change(&message), nil
}

func (h *Historian) snapshot(ctx context.Context) (eelgrasspoint.Configuration, error) {
	object, err := h.objects.Get(ctx, snapshotKey)
	if err != nil {
		return eelgrasspoint.Configuration{}, err
	}
	var stored snapshotObject
	if err := json.Unmarshal(object.Value, &stored); err != nil {
		return eelgrasspoint.Configuration{}, unreadable(snapshotKey, err)
	}
	var message schema.Document
	if err := protojson.Unmarshal(stored.Document, &message); err != nil {
		return eelgrasspoint.Configuration{}, unreadable(snapshotKey, err)
	}
	return eelgrasspoint.Configuration{Revision: stored.Revision, Document: translator.Document(&message)}, nil
}

func (h *Historian) putSnapshot(ctx context.Context, configuration eelgrasspoint.Configuration) error {
	document, err := protojson.Marshal(translator.DocumentMessage(&configuration.Document))
	if err != nil {
		return err
	}
	old, err := h.objects.Get(ctx, snapshotKey)
	if err != nil && !notFound(err) {
		return err
	}
	value := marshal(snapshotObject{Revision: configuration.Revision, Document: document})
	return h.objects.Put(ctx, snapshotKey, value, old.Version)
}

func changeKey(revision uint64) string { return fmt.Sprintf("%s%012d", changePrefix, revision) }

// marshal encodes types that always can be.
func marshal(value any) []byte {
	data, _ := json.Marshal(value)
	return data
}

func notFound(err error) bool {
	var missing *eelgrasspoint.NotFoundError
	return errors.As(err, &missing)
}

func unreadable(key string, err error) error {
	return &eelgrasspoint.UnavailableError{Call: "Read", Cause: fmt.Errorf("row %q: %w", key, err)}
}
