// Package sweeper deletes rows of the table service that are no longer needed.
package sweeper

import (
	"context"

	"eelgrasspoint"
)

// Sweeper deletes rows of a table.
type Sweeper struct {
	table    eelgrasspoint.Table
	recorder eelgrasspoint.Recorder
}

// New returns a sweeper. The recorder gets an event for each row that could not be deleted.
func New(table eelgrasspoint.Table, recorder eelgrasspoint.Recorder) *Sweeper {
	return &Sweeper{table: table, recorder: recorder}
}

// Sweep deletes the rows whose keys begin with the prefix, but for those to keep. A row that was rewritten after it was read
// stays. The error is that of the read; a deletion that fails is recorded.
func (s *Sweeper) Sweep(ctx context.Context, prefix string, keep func(row eelgrasspoint.Row) bool) error {
	rows, err := s.table.Scan(ctx, prefix)
	if err != nil {
		return err
	}
	for _, row := range rows {
		if keep(row) {
			continue
		}
		if err := s.table.Commit(ctx, eelgrasspoint.DeletionOf(row)); err != nil {
			s.recorder.Record(eelgrasspoint.Event{
				Number: eelgrasspoint.EventRowKept, Detail: "deletion of row " + row.Key + " failed: " + err.Error(),
			})
		}
	}
	return nil
}
