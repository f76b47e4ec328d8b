package historian_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrasspoint"
	"eelgrasspoint/state/historian"
	"eelgrasspoint/state/memorizer"
)

// faultyTable loses answers, drops writes and gives stale reads as the test draws them.
type faultyTable struct {
	*memorizer.Memorizer
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
		_ = f.Memorizer.Commit(ctx, transaction)
		return &eelgrasspoint.UnknownOutcomeError{Cause: errLost}
	}
	return f.Memorizer.Commit(ctx, transaction)
}

func (f *faultyTable) Read(ctx context.Context, key string) (eelgrasspoint.Row, error) {
	if f.stale != nil && f.stale.Key == key {
		row := *f.stale
		f.stale = nil
		return row, nil
	}
	return f.Memorizer.Read(ctx, key)
}

// history is the model: which identifiers became which revisions.
type history struct {
	table    *faultyTable
	h        *historian.Historian
	accepted map[string]uint64
	nodes    []eelgrasspoint.Configuration
	next     int
	oldHead  eelgrasspoint.Row
}

// TestHistory draws any interleaving of commits, lost answers, stale reads, compactions,
// catching up and restarts of three nodes: revisions have no gap, none is given twice, an
// accepted change stays and no node goes back.
func TestHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &faultyTable{Memorizer: memorizer.New()}
		m := &history{table: table, h: historian.New(table, table.Memorizer), accepted: map[string]uint64{}, nodes: make([]eelgrasspoint.Configuration, 3)}
		t.Repeat(map[string]func(*rapid.T){
			"commit":  m.commit,
			"catchUp": m.catchUp,
			"compact": m.compact,
			"restart": func(t *rapid.T) { m.nodes[m.node(t)] = eelgrasspoint.Configuration{} },
			"lose":    func(*rapid.T) { table.loseAnswer = true },
			"drop":    func(*rapid.T) { table.dropWrite = true },
			"remember": func(*rapid.T) {
				m.oldHead, _ = table.Memorizer.Read(context.Background(), "config/head")
			},
			"stale": func(*rapid.T) {
				if m.oldHead.Key != "" {
					row := m.oldHead
					table.stale = &row
				}
			},
			"": m.check,
		})
	})
}

func (m *history) node(t *rapid.T) int { return rapid.IntRange(0, 2).Draw(t, "node") }

func (m *history) commit(t *rapid.T) {
	ctx := context.Background()
	node := m.node(t)
	head, err := m.h.Head(ctx)
	if err != nil || head.Revision < m.nodes[node].Revision {
		return
	}
	configuration, _, _, err := m.h.Load(ctx, m.nodes[node], head)
	if err != nil {
		return
	}
	m.next++
	id := fmt.Sprintf("c%d", m.next)
	change := eelgrasspoint.Change{
		Revision: configuration.Revision + 1, ChangeID: id,
		Put: eelgrasspoint.Document{Services: []eelgrasspoint.Service{{Name: id}}},
	}
	if len(id)%2 == 0 {
		change.Put.Routes = []eelgrasspoint.Route{{Name: id, PathPrefix: strings.Repeat("/long", eelgrasspoint.MaxChangeBytes/5)}}
	}
	err = m.h.Append(ctx, head, change)
	var unknown *eelgrasspoint.UnknownOutcomeError
	if errors.As(err, &unknown) {
		found, findErr := m.h.Find(ctx, id)
		if findErr != nil || found == 0 {
			return
		}
		err = nil
	}
	if err == nil {
		m.accepted[id] = change.Revision
	}
}

func (m *history) catchUp(t *rapid.T) {
	ctx := context.Background()
	node := m.node(t)
	head, err := m.h.Head(ctx)
	if err != nil || head.Revision <= m.nodes[node].Revision {
		return
	}
	before := m.nodes[node].Revision
	configuration, _, _, err := m.h.Load(ctx, m.nodes[node], head)
	if err != nil {
		// A head that is older than the last compaction names changes that are gone.
		return
	}
	if configuration.Revision < before {
		t.Fatalf("node %d went from revision %d to %d", node, before, configuration.Revision)
	}
	m.nodes[node] = configuration
}

func (m *history) compact(*rapid.T) {
	ctx := context.Background()
	head, err := m.h.Head(ctx)
	if err != nil {
		return
	}
	configuration, _, _, err := m.h.Load(ctx, eelgrasspoint.Configuration{}, head)
	if err != nil || configuration.Revision != head.Revision || head.Revision == 0 {
		return
	}
	_ = m.h.Compact(ctx, head, configuration)
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
			if revision <= configuration.Revision && !defines(configuration.Document, id) {
				t.Fatalf("revision %d lacks %s of revision %d", configuration.Revision, id, revision)
			}
		}
	}
}

func defines(document eelgrasspoint.Document, service string) bool {
	for _, s := range document.Services {
		if s.Name == service {
			return true
		}
	}
	return false
}

// TestUnreadableRows shows that rows which don't parse are errors, never panics.
func TestUnreadableRows(t *testing.T) {
	ctx := t.Context()
	table := memorizer.New()
	h := historian.New(table, table)
	write := func(key, value string) {
		assert.NilError(t, table.Commit(ctx, eelgrasspoint.Transaction{Writes: []eelgrasspoint.Write{{Key: key, Value: []byte(value)}}}))
	}
	write("config/head", "{")
	_, err := h.Head(ctx)
	assert.ErrorContains(t, err, "config/head")
	write("config/head", `{"Revision": 2}`)
	write("config/change/000000000001", `{"Change": {"Revision": "x"}}`)
	write("config/change/000000000002", `[]`)
	head, err := h.Head(ctx)
	assert.NilError(t, err)
	_, _, _, err = h.Load(ctx, eelgrasspoint.Configuration{}, head)
	assert.ErrorContains(t, err, "000000000001")
}
