package sweeper_test

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/state/storer"
	"eelgrasspoint/state/sweeper"
)

// rewritingTable rewrites a row between the read and the deletion.
type rewritingTable struct {
	*storer.Storer
	rewritten string
}

func (t *rewritingTable) Scan(ctx context.Context, prefix string) ([]eelgrasspoint.Row, error) {
	rows, err := t.Storer.Scan(ctx, prefix)
	if t.rewritten == "" {
		return rows, err
	}
	write := eelgrasspoint.Write{Key: t.rewritten, Value: []byte("new")}
	return rows, t.Commit(ctx, eelgrasspoint.Transaction{Writes: []eelgrasspoint.Write{write}})
}

// kept counts the events of rows that were not deleted.
type kept int

func (k *kept) Record(event eelgrasspoint.Event) {
	if event.Number == eelgrasspoint.EventRowKept {
		*k++
	}
}

// TestSweepKeepsWhatIsNeeded guards against the deletion of a row that is needed, has another prefix or was rewritten.
func TestSweepKeepsWhatIsNeeded(t *testing.T) {
	table := &rewritingTable{Storer: storer.New()}
	for _, key := range []string{"a/keep", "a/old", "a/rewritten", "b/old"} {
		write := eelgrasspoint.Write{Key: key, Value: []byte("v")}
		assert.NilError(t, table.Commit(t.Context(), eelgrasspoint.Transaction{Writes: []eelgrasspoint.Write{write}}))
	}
	table.rewritten = "a/rewritten"
	var events kept
	s := sweeper.New(table, &events)
	assert.NilError(t, s.Sweep(t.Context(), "a/", func(row eelgrasspoint.Row) bool { return strings.HasSuffix(row.Key, "keep") }))
	rows, err := table.Storer.Scan(t.Context(), "")
	assert.NilError(t, err)
	var keys []string
	for _, row := range rows {
		keys = append(keys, row.Key)
	}
	assert.DeepEqual(t, keys, []string{"a/keep", "a/rewritten", "b/old"})
	assert.Equal(t, events, kept(1))
}
