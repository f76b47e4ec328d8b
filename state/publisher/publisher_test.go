package publisher_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrasspoint"
	"eelgrasspoint/state/publisher"
	"eelgrasspoint/state/storer"
)

// faultyTable loses answers, drops writes and gives stale reads as the test draws them.
type faultyTable struct {
	*storer.Storer
	loseAnswer bool
	dropWrite  bool
	stale      *eelgrasspoint.Row
}

var errLost = errors.New("lost")

func (f *faultyTable) Commit(ctx context.Context, transaction eelgrasspoint.Transaction) error {
	switch {
	case f.dropWrite:
		f.dropWrite = false
		return &eelgrasspoint.UnknownOutcomeError{Cause: errLost}
	case f.loseAnswer:
		f.loseAnswer = false
		_ = f.Storer.Commit(ctx, transaction)
		return &eelgrasspoint.UnknownOutcomeError{Cause: errLost}
	}
	return f.Storer.Commit(ctx, transaction)
}

func (f *faultyTable) Read(ctx context.Context, key string) (eelgrasspoint.Row, error) {
	if f.stale != nil && f.stale.Key == key {
		row := *f.stale
		f.stale = nil
		return row, nil
	}
	return f.Storer.Read(ctx, key)
}

// history is the model: which identifiers became which revisions.
type history struct {
	table    *faultyTable
	p        *publisher.Publisher
	accepted map[string]uint64
	nodes    []eelgrasspoint.Configuration
	next     int
	old      eelgrasspoint.Row
}

// TestHistory draws any interleaving of changes, lost answers, stale reads, catching up and
// restarts of three nodes: no revision is given twice, an accepted change stays and no node
// that takes only higher revisions lacks one.
func TestHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &faultyTable{Storer: storer.New()}
		m := &history{table: table, p: publisher.New(table), accepted: map[string]uint64{}, nodes: make([]eelgrasspoint.Configuration, 3)}
		t.Repeat(map[string]func(*rapid.T){
			"change":  m.change,
			"catchUp": m.catchUp,
			"restart": func(t *rapid.T) { m.nodes[m.node(t)] = eelgrasspoint.Configuration{} },
			"lose":    func(*rapid.T) { table.loseAnswer = true },
			"drop":    func(*rapid.T) { table.dropWrite = true },
			"remember": func(*rapid.T) {
				m.old, _ = table.Storer.Read(context.Background(), "configuration")
			},
			"stale": func(*rapid.T) {
				if m.old.Key != "" {
					row := m.old
					table.stale = &row
				}
			},
			"": m.check,
		})
	})
}

func (m *history) node(t *rapid.T) int { return rapid.IntRange(0, 2).Draw(t, "node") }

func (m *history) change(*rapid.T) {
	ctx := context.Background()
	base, err := m.p.Read(ctx)
	if err != nil {
		return
	}
	m.next++
	id := fmt.Sprintf("c%d", m.next)
	document := base.Configuration.Document
	document.Services = append(append([]eelgrasspoint.Service{}, document.Services...), eelgrasspoint.Service{Name: id})
	err = m.p.Replace(ctx, base, id, &document)
	revision := base.Configuration.Revision + 1
	var unknown *eelgrasspoint.UnknownOutcomeError
	if errors.As(err, &unknown) {
		now, readErr := m.p.Read(ctx)
		revision = now.AcceptedRevision(id)
		if readErr != nil || revision == 0 {
			return
		}
		err = nil
	}
	if err == nil {
		m.accepted[id] = revision
	}
}

func (m *history) catchUp(t *rapid.T) {
	node := m.node(t)
	now, err := m.p.Read(context.Background())
	if err == nil && now.Configuration.Revision > m.nodes[node].Revision {
		m.nodes[node] = now.Configuration
	}
}

func (m *history) check(t *rapid.T) {
	revisions := make(map[uint64]string)
	for id, revision := range m.accepted {
		if other, taken := revisions[revision]; taken {
			t.Fatalf("revision %d is both %s and %s", revision, id, other)
		}
		revisions[revision] = id
	}
	for _, configuration := range m.nodes {
		for id, revision := range m.accepted {
			if revision <= configuration.Revision && configuration.Document.Service(id).Name == "" {
				t.Fatalf("revision %d lacks %s of revision %d", configuration.Revision, id, revision)
			}
		}
	}
}

// TestUnreadableRows shows that a row which doesn't parse is an error, never a panic.
func TestUnreadableRows(t *testing.T) {
	for _, value := range []string{"{", `{"Revision": "x"}`, `[]`, `{"Revision": 2, "Document": 7}`, `{"Revision": 2}`} {
		table := storer.New()
		assert.NilError(t, table.Commit(t.Context(), eelgrasspoint.Transaction{
			Writes: []eelgrasspoint.Write{{Key: "configuration", Value: []byte(value)}},
		}))
		_, err := publisher.New(table).Read(t.Context())
		assert.ErrorContains(t, err, "configuration", value)
	}
}

// TestTooLarge shows that a document which no row takes is refused before it is written.
func TestTooLarge(t *testing.T) {
	p := publisher.New(storer.New())
	document := &eelgrasspoint.Document{Regions: []eelgrasspoint.Region{{Name: strings.Repeat("r", 1<<20)}}}
	var invalid *eelgrasspoint.InvalidError
	assert.Assert(t, errors.As(p.Replace(t.Context(), publisher.Published{}, "c", document), &invalid))
	now, err := p.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, now.Configuration.Revision, uint64(0))
}

// TestManyChanges shows that the identifiers that are kept stay bounded and the last is found.
func TestManyChanges(t *testing.T) {
	p := publisher.New(storer.New())
	for i := range 300 {
		now, err := p.Read(t.Context())
		assert.NilError(t, err)
		assert.NilError(t, p.Replace(t.Context(), now, fmt.Sprint(i), &eelgrasspoint.Document{}))
	}
	now, err := p.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, now.AcceptedRevision("299"), uint64(300))
	assert.Equal(t, now.AcceptedRevision("45"), uint64(46))
	assert.Equal(t, now.AcceptedRevision("0"), uint64(0))
	assert.Assert(t, len(now.Accepted) <= 256)
}
