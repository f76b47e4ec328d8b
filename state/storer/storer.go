// Package storer is an in-memory table, for a node that runs without a platform.
package storer

import (
	"context"
	"slices"
	"strings"
	"sync"

	"eelgrasspoint"
)

// Storer is an in-memory table. It is safe for concurrent use.
type Storer struct {
	mu   sync.Mutex
	rows map[string]eelgrasspoint.Row
	next uint64
}

var _ eelgrasspoint.Table = (*Storer)(nil)

// New returns an empty table.
func New() *Storer { return &Storer{rows: make(map[string]eelgrasspoint.Row)} }

// Read returns a row.
func (m *Storer) Read(_ context.Context, key string) (eelgrasspoint.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.rows[key]
	if !ok {
		return eelgrasspoint.Row{}, &eelgrasspoint.NotFoundError{Key: key}
	}
	return row, nil
}

// Scan returns the rows with the prefix, sorted by key.
func (m *Storer) Scan(_ context.Context, prefix string) ([]eelgrasspoint.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []eelgrasspoint.Row
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b eelgrasspoint.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, nil
}

// Commit makes the writes if all conditions hold.
func (m *Storer) Commit(_ context.Context, transaction eelgrasspoint.Transaction) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, condition := range transaction.Conditions {
		if version := m.rows[condition.Key].Version; version != condition.Version {
			return &eelgrasspoint.ConflictError{Key: condition.Key, Version: version}
		}
	}
	for _, write := range transaction.Writes {
		m.write(write)
	}
	return nil
}

func (m *Storer) write(write eelgrasspoint.Write) {
	if write.Delete {
		delete(m.rows, write.Key)
		return
	}
	m.next++
	m.rows[write.Key] = eelgrasspoint.Row{Key: write.Key, Version: m.next, Value: slices.Clone(write.Value)}
}
