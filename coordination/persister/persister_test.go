package persister_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/persister"
	"eelgrasspoint/coordination/quarantiner"
	"eelgrasspoint/protocol/translator"
	"eelgrasspoint/state/storer"
)

// events counts recorded events.
type events struct{ count atomic.Int32 }

func (e *events) Record(event eelgrasspoint.Event) {
	if event.Number == eelgrasspoint.EventBadInput {
		e.count.Add(1)
	}
}

// countingTable counts the writes.
type countingTable struct {
	*storer.Storer
	commits atomic.Int32
}

func (t *countingTable) Commit(ctx context.Context, transaction eelgrasspoint.Transaction) error {
	t.commits.Add(1)
	return t.Storer.Commit(ctx, transaction)
}

// node is the part of a node that knows quarantines.
type node struct {
	*quarantiner.Quarantiner
	*persister.Persister
	events *events
}

func newNode(table eelgrasspoint.Table, keeps bool) node {
	n := node{Quarantiner: quarantiner.New(time.Now), events: &events{}}
	n.Persister = persister.New(persister.Options{
		Region: "a", Quarantiner: n.Quarantiner, Table: table, Recorder: n.events, Clock: time.Now, Keeps: func() bool { return keeps },
	})
	return n
}

// crashTwice quarantines a request.
func (n node) crashTwice(fingerprint uint64) {
	suspects := []eelgrasspoint.CrashSuspect{{Head: 1, Fingerprint: fingerprint, BodyKnown: true}}
	n.RecordCrash("x/1", suspects)
	n.RecordCrash("x/2", suspects)
}

// TestQuarantineIsWrittenOnce guards against a quarantine that no row has, and against a write for each node.
func TestQuarantineIsWrittenOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &countingTable{Storer: storer.New()}
		finder, keeper, other := newNode(table, false), newNode(table, true), newNode(table, false)
		for _, n := range []node{finder, keeper, other} {
			go n.Run(t.Context())
			n.crashTwice(7)
		}
		finder.Found()
		synctest.Wait()
		assert.Equal(t, table.commits.Load(), int32(1))
		keeper.Learn(finder.Quarantines())
		time.Sleep(time.Minute)
		assert.Equal(t, table.commits.Load(), int32(1))
		started := newNode(table, false)
		assert.NilError(t, started.Restore(t.Context()))
		assert.Equal(t, started.Status(7), quarantiner.Quarantined)
		assert.Equal(t, started.Status(8), quarantiner.Clean)
		assert.Assert(t, started.NeedsFingerprint(1))
	})
}

// TestKeeperWritesWhatNobodyWrote guards against a quarantine that is forgotten, since the node that found it has ended.
func TestKeeperWritesWhatNobodyWrote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &countingTable{Storer: storer.New()}
		keeper := newNode(table, true)
		go keeper.Run(t.Context())
		for fingerprint := range uint64(120) {
			keeper.crashTwice(fingerprint)
		}
		time.Sleep(5 * time.Second)
		assert.Equal(t, table.commits.Load(), int32(3), "120 rows in transactions of 50")
		keeper.RewriteRows(time.Now().Add(-time.Minute))
		time.Sleep(5 * time.Second)
		assert.Equal(t, table.commits.Load(), int32(6))
	})
}

// TestRowOfAClearedQuarantineIsDeleted guards against a row that refuses a request at each start, although the request has
// succeeded.
func TestRowOfAClearedQuarantineIsDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &countingTable{Storer: storer.New()}
		keeper := newNode(table, true)
		go keeper.Run(t.Context())
		keeper.crashTwice(7)
		keeper.crashTwice(8)
		time.Sleep(5 * time.Second)
		keeper.Clear([]uint64{7})
		time.Sleep(2 * time.Second)
		started := newNode(table, false)
		assert.NilError(t, started.Restore(t.Context()))
		assert.Equal(t, started.Status(7), quarantiner.Clean)
		assert.Equal(t, started.Status(8), quarantiner.Quarantined)
	})
}

// TestRowOfALaterVersionIsRead guards against a quarantine that is forgotten, or whose row is deleted, since another node
// runs a later version of the program, which writes fields that this one doesn't know.
func TestRowOfALaterVersionIsRead(t *testing.T) {
	table := storer.New()
	value, err := protojson.Marshal(translator.QuarantineRow(eelgrasspoint.Quarantine{Fingerprint: 1, ExpiresAt: time.Now().Add(time.Minute)}))
	assert.NilError(t, err)
	write := eelgrasspoint.Write{
		Key: fmt.Sprintf("quarantine/%016x", 1), Value: []byte(strings.Replace(string(value), "{", `{"FieldOfALaterVersion":[1],`, 1)),
	}
	assert.NilError(t, table.Commit(t.Context(), eelgrasspoint.Transaction{Writes: []eelgrasspoint.Write{write}}))
	n := newNode(table, false)
	assert.NilError(t, n.DeleteExpiredRows(t.Context()))
	assert.NilError(t, n.Restore(t.Context()))
	assert.Equal(t, n.Status(1), quarantiner.Quarantined)
	assert.Equal(t, n.events.count.Load(), int32(0), "invalid rows recorded")
}

// TestRowsOfOthersRefuseNobody guards against rows that refuse requests which crash nothing: unreadable ones, old ones, those
// of another fingerprint, of other regions, and of a node whose clock was wrong.
func TestRowsOfOthersRefuseNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storer.New()
		rows := map[uint64]eelgrasspoint.Quarantine{
			1: {Fingerprint: 1, ExpiresAt: time.Now().Add(-time.Second)},
			2: {Fingerprint: 20, ExpiresAt: time.Now().Add(time.Minute)},
			3: {Fingerprint: 3, ExpiresAt: time.Now().Add(time.Minute), Permitted: []string{"b"}},
			4: {Fingerprint: 4, ExpiresAt: time.Now().Add(24 * time.Hour)},
			5: {Fingerprint: 5, ExpiresAt: time.Now().Add(time.Minute), Permitted: []string{"a"}},
		}
		put := func(fingerprint uint64, value string) {
			write := eelgrasspoint.Write{Key: fmt.Sprintf("quarantine/%016x", fingerprint), Value: []byte(value)}
			assert.NilError(t, table.Commit(t.Context(), eelgrasspoint.Transaction{Writes: []eelgrasspoint.Write{write}}))
		}
		for fingerprint, q := range rows {
			value, err := protojson.Marshal(translator.QuarantineRow(q))
			assert.NilError(t, err)
			put(fingerprint, string(value))
		}
		put(6, "{")
		put(7, strings.Repeat("x", 1000))
		n := newNode(table, false)
		assert.NilError(t, n.Restore(t.Context()))
		assert.Equal(t, n.events.count.Load(), int32(3), "invalid rows recorded")
		for fingerprint := range uint64(21) {
			want := quarantiner.Clean
			if fingerprint == 4 || fingerprint == 5 {
				want = quarantiner.Quarantined
			}
			assert.Equal(t, n.Status(fingerprint), want, fingerprint)
		}
		time.Sleep(eelgrasspoint.QuarantineTime + time.Second)
		assert.Equal(t, n.Status(4), quarantiner.Clean, "a clock that was wrong makes a quarantine last longer")
		assert.NilError(t, n.DeleteExpiredRows(t.Context()))
		left, err := table.Scan(t.Context(), "quarantine/")
		assert.NilError(t, err)
		assert.Equal(t, len(left), 0)
	})
}
