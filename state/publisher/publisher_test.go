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

// faultyTable injects a lost response, a dropped write or a stale read into the next call.
type faultyTable struct {
	*storer.Storer
	loseAnswer bool
	dropWrite  bool
	staleRow   *eelgrasspoint.Row
}

var errLost = errors.New("connection lost")

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
	if f.staleRow != nil && f.staleRow.Key == key {
		row := *f.staleRow
		f.staleRow = nil
		return row, nil
	}
	return f.Storer.Read(ctx, key)
}

// model is the expected state in the property test: the revision of each accepted change and the
// configuration of each node.
type model struct {
	table     *faultyTable
	publisher *publisher.Publisher
	// accepted maps identifiers of changes to their revisions.
	accepted map[string]uint64
	nodes    []eelgrasspoint.Configuration
	changes  int
	// earlierRow is the row that a later stale read returns.
	earlierRow eelgrasspoint.Row
}

// TestReplaceKeepsAcceptedChanges guards against a revision that is assigned twice, an accepted
// change that is lost later, and a node that lacks an accepted change of its own revision or a lower
// one: nodes apply only higher revisions, so it would never catch up. It draws random interleavings
// of changes, lost responses, dropped writes, stale reads, catch-up and restarts of three nodes.
func TestReplaceKeepsAcceptedChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &faultyTable{Storer: storer.New()}
		m := &model{table: table, publisher: publisher.New(table), accepted: map[string]uint64{}, nodes: make([]eelgrasspoint.Configuration, 3)}
		t.Repeat(map[string]func(*rapid.T){
			"change":     m.change,
			"catchUp":    m.catchUp,
			"restart":    func(t *rapid.T) { m.nodes[m.node(t)] = eelgrasspoint.Configuration{} },
			"loseAnswer": func(*rapid.T) { table.loseAnswer = true },
			"dropWrite":  func(*rapid.T) { table.dropWrite = true },
			"readRow": func(*rapid.T) {
				m.earlierRow, _ = table.Storer.Read(context.Background(), "configuration")
			},
			"staleRead": func(*rapid.T) {
				if m.earlierRow.Key != "" {
					row := m.earlierRow
					table.staleRow = &row
				}
			},
			"": m.check,
		})
	})
}

func (m *model) node(t *rapid.T) int { return rapid.IntRange(0, 2).Draw(t, "node") }

func (m *model) change(*rapid.T) {
	ctx := context.Background()
	base, err := m.publisher.Read(ctx)
	if err != nil {
		return
	}
	m.changes++
	id := fmt.Sprintf("c%d", m.changes)
	document := base.Configuration.Document
	document.Services = append(append([]eelgrasspoint.Service{}, document.Services...), eelgrasspoint.Service{Name: id})
	err = m.publisher.Replace(ctx, base, id, &document)
	revision := base.Configuration.Revision.Version + 1
	var unknown *eelgrasspoint.UnknownOutcomeError
	if errors.As(err, &unknown) {
		published, readErr := m.publisher.Read(ctx)
		revision = published.AcceptedRevision(id)
		if readErr != nil || revision == 0 {
			return
		}
		err = nil
	}
	if err == nil {
		m.accepted[id] = revision
	}
}

func (m *model) catchUp(t *rapid.T) {
	node := m.node(t)
	published, err := m.publisher.Read(context.Background())
	if err == nil && published.Configuration.Revision.After(m.nodes[node].Revision) {
		m.nodes[node] = published.Configuration
	}
}

func (m *model) check(t *rapid.T) {
	revisions := make(map[uint64]string)
	for id, revision := range m.accepted {
		if other, taken := revisions[revision]; taken {
			t.Fatalf("revision %d is assigned to both %s and %s", revision, id, other)
		}
		revisions[revision] = id
	}
	for _, configuration := range m.nodes {
		for id, revision := range m.accepted {
			if revision <= configuration.Revision.Version && configuration.Document.Service(id).Name == "" {
				t.Fatalf("configuration of revision %d lacks change %s of revision %d", configuration.Revision.Version, id, revision)
			}
		}
	}
}

// TestReadReportsMalformedRows guards against a panic, or an empty configuration without an error,
// on a row that can't be parsed.
func TestReadReportsMalformedRows(t *testing.T) {
	for _, value := range []string{"{", `{"Revision": "x"}`, `[]`, `{"Revision": 2, "Document": 7}`, `{"Revision": 2}`} {
		table := storer.New()
		assert.NilError(t, table.Commit(t.Context(), eelgrasspoint.Transaction{
			Writes: []eelgrasspoint.Write{{Key: "configuration", Value: []byte(value)}},
		}))
		_, err := publisher.New(table).Read(t.Context())
		assert.ErrorContains(t, err, "configuration", value)
	}
}

// TestReplaceRejectsTooLargeDocument guards against writing a document above the size limit.
func TestReplaceRejectsTooLargeDocument(t *testing.T) {
	p := publisher.New(storer.New())
	document := &eelgrasspoint.Document{Regions: []eelgrasspoint.Region{{Name: strings.Repeat("r", 1<<20)}}}
	var invalid *eelgrasspoint.InvalidError
	assert.Assert(t, errors.As(p.Replace(t.Context(), publisher.Published{}, "c", document), &invalid))
	published, err := p.Read(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, published.Configuration.Revision.IsZero())
}

// TestAcceptedChangesAreBounded guards against a row that grows with every change, and against
// evicting recent change identifiers instead of the oldest.
func TestAcceptedChangesAreBounded(t *testing.T) {
	p := publisher.New(storer.New())
	for i := range 300 {
		published, err := p.Read(t.Context())
		assert.NilError(t, err)
		assert.NilError(t, p.Replace(t.Context(), published, fmt.Sprint(i), &eelgrasspoint.Document{}))
	}
	published, err := p.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, published.AcceptedRevision("299"), uint64(300))
	assert.Equal(t, published.AcceptedRevision("45"), uint64(46))
	assert.Equal(t, published.AcceptedRevision("0"), uint64(0))
	assert.Assert(t, len(published.Accepted) <= 256)
}
