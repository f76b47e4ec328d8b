// Package storer provides an in-memory table, for a node without a table service, for the stand-in of
// the platform and for tests.
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
	// lastVersion is the highest version given to any row, so that a row that is deleted and written
	// again never has an earlier version.
	lastVersion uint64
}

var _ eelgrasspoint.Table = (*Storer)(nil)

// New returns an empty table.
func New() *Storer { return &Storer{rows: make(map[string]eelgrasspoint.Row)} }

// Read returns the row, or *eelgrasspoint.NotFoundError if it does not exist.
func (s *Storer) Read(_ context.Context, key string) (eelgrasspoint.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[key]
	if !ok {
		return eelgrasspoint.Row{}, &eelgrasspoint.NotFoundError{Key: key}
	}
	return row, nil
}

// Scan returns the rows whose keys have the prefix, sorted by key.
func (s *Storer) Scan(_ context.Context, prefix string) ([]eelgrasspoint.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []eelgrasspoint.Row
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b eelgrasspoint.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, nil
}

// Commit applies all writes atomically if every condition holds.
func (s *Storer) Commit(_ context.Context, transaction eelgrasspoint.Transaction) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, condition := range transaction.Conditions {
		if version := s.rows[condition.Key].Version; version != condition.Version {
			return &eelgrasspoint.ConflictError{Key: condition.Key, Version: version.Version}
		}
	}
	for _, write := range transaction.Writes {
		s.write(write)
	}
	return nil
}

func (s *Storer) write(write eelgrasspoint.Write) {
	if write.Delete {
		delete(s.rows, write.Key)
		return
	}
	s.lastVersion++
	s.rows[write.Key] = eelgrasspoint.Row{Key: write.Key, Version: eelgrasspoint.Revision{Version: s.lastVersion}, Value: slices.Clone(write.Value)}
}
