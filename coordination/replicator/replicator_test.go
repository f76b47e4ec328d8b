package replicator_test

import (
	"context"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/controller"
	"eelgrasspoint/coordination/replicator"
	"eelgrasspoint/state/holder"
	"eelgrasspoint/state/storer"
)

type discardRecorder struct{}

func (discardRecorder) Record(eelgrasspoint.Event) {}

// table is a table whose writes and reads fail while it is down, and that counts its writes.
type table struct {
	*storer.Storer
	down    atomic.Bool
	commits atomic.Int32
}

func (t *table) Scan(ctx context.Context, prefix string) ([]eelgrasspoint.Row, error) {
	if t.down.Load() {
		return nil, &eelgrasspoint.UnavailableError{Call: "Scan", Cause: context.DeadlineExceeded}
	}
	return t.Storer.Scan(ctx, prefix)
}

func (t *table) Commit(ctx context.Context, transaction eelgrasspoint.Transaction) error {
	t.commits.Add(1)
	if t.down.Load() {
		<-ctx.Done()
		return &eelgrasspoint.UnavailableError{Call: "Commit", Cause: ctx.Err()}
	}
	return t.Storer.Commit(ctx, transaction)
}

// process is a controller and a replicator of one process of a node.
type process struct {
	*controller.Controller
	*replicator.Replicator
}

// start starts a process that has spread its entry to so many nodes once Replicate is called.
func start(t *testing.T, rows *table, nodes int) process {
	t.Helper()
	c := controller.New(controller.Options{
		Self:   eelgrasspoint.Member{Name: "self", PeerAddress: netip.MustParseAddrPort("10.0.0.1:1")},
		Holder: holder.New(&eelgrasspoint.Snapshot{Configuration: &eelgrasspoint.Configuration{}}), Recorder: discardRecorder{},
		Clock: time.Now, SetBackend: func(*eelgrasspoint.BackendServer) {}, Restoring: true,
	})
	r := replicator.New(replicator.Options{
		Name: "self", Controller: c, Table: rows, Recorder: discardRecorder{}, Clock: time.Now,
		Spread: func(context.Context) (int, bool) { return nodes, nodes >= 2 },
	})
	go c.Run(t.Context())
	go r.Run(t.Context())
	synctest.Wait()
	return process{c, r}
}

// leave applies a deregistration of the lifetime.
func (p process) leave(id string, incarnation uint64) {
	p.Submit(controller.ApplyAnnouncement{Announcement: eelgrasspoint.Announcement{ID: id, Incarnation: incarnation}})
	p.WaitApplied()
}

// departed returns the identifiers of the lifetimes that the process knows as left.
func (p process) departed() []string {
	p.WaitApplied()
	var ids []string
	for _, d := range p.View().Self.Departures {
		ids = append(ids, d.ID)
	}
	return ids
}

// TestDeparturesOfOneProcessReachTheNext guards against a departure that a later one replaces in the table service.
func TestDeparturesOfOneProcessReachTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := &table{Storer: storer.New()}
		first := start(t, rows, 0)
		first.leave("a", 5)
		assert.NilError(t, first.Replicate(t.Context()))
		time.Sleep(time.Second)
		first.leave("b", 7)
		assert.NilError(t, first.Replicate(t.Context()))
		assert.NilError(t, first.Replicate(t.Context()))
		assert.Equal(t, rows.commits.Load(), int32(2), "a departure was written again")
		time.Sleep(time.Second)
		assert.DeepEqual(t, start(t, rows, 0).departed(), []string{"a", "b"})
	})
}

// TestRowsAreWrittenAgain guards against a departure that is forgotten, since the table service has come back from a copy
// without its row.
func TestRowsAreWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := &table{Storer: storer.New()}
		p := start(t, rows, 0)
		p.leave("a", 5)
		assert.NilError(t, p.Replicate(t.Context()))
		stored, err := rows.Scan(t.Context(), "")
		assert.NilError(t, err)
		assert.NilError(t, rows.Storer.Commit(t.Context(), eelgrasspoint.DeletionOf(stored[0])))
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(start(t, rows, 0).departed()), 0)
		p.RewriteRows(time.Now().Add(-time.Minute))
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, start(t, rows, 0).departed(), []string{"a"})
	})
}

// TestReplicateAnswersWithinASecond guards against an acknowledgement that is too late, and against one without a copy.
func TestReplicateAnswersWithinASecond(t *testing.T) {
	cases := []struct {
		name  string
		nodes int
		kept  bool
	}{
		{"two nodes have it", 2, true},
		{"one node of several has it", 1, false},
		{"no node has it", 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows := &table{Storer: storer.New()}
				rows.down.Store(true)
				p := start(t, rows, c.nodes)
				p.leave("a", 5)
				startedAt := time.Now()
				err := p.Replicate(t.Context())
				assert.Assert(t, time.Since(startedAt) < time.Second)
				assert.Equal(t, err == nil, c.kept)

				// Once the table service answers, the row is written.
				rows.down.Store(false)
				time.Sleep(2 * eelgrasspoint.StoreTimeout)
				assert.DeepEqual(t, start(t, rows, 0).departed(), []string{"a"})
			})
		})
	}
}

// TestRestoreEndsWithoutASource guards against a server that is never used, since nobody can say whether it left.
func TestRestoreEndsWithoutASource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := &table{Storer: storer.New()}
		rows.down.Store(true)
		p := start(t, rows, 0)
		announcement := eelgrasspoint.Announcement{ID: "a", Incarnation: 5, Sequence: 1, Backend: &eelgrasspoint.BackendServer{ID: "a"}}
		p.Submit(controller.ApplyAnnouncement{Announcement: announcement})
		time.Sleep(eelgrasspoint.DepartureTTL - time.Second)
		assert.Assert(t, p.View().Self.BackendServer == nil)
		time.Sleep(2 * time.Second)
		assert.Assert(t, p.View().Self.BackendServer != nil)
	})
}

// TestRowOfALaterVersionIsRead guards against a departure that is forgotten, or whose row is deleted, since another node
// or process runs a later version of the program, which writes fields that this one doesn't know.
func TestRowOfALaterVersionIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := &table{Storer: storer.New()}
		p := start(t, rows, 0)
		p.leave("a", 5)
		assert.NilError(t, p.Replicate(t.Context()))
		stored, err := rows.Scan(t.Context(), "")
		assert.NilError(t, err)
		value := strings.Replace(string(stored[0].Value), "{", `{"FieldOfALaterVersion":{"a":[1]},`, 1)
		write := eelgrasspoint.Write{Key: stored[0].Key, Value: []byte(value)}
		assert.NilError(t, rows.Storer.Commit(t.Context(), eelgrasspoint.Transaction{Writes: []eelgrasspoint.Write{write}}))
		assert.NilError(t, p.DeleteExpiredRows(t.Context()))
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, start(t, rows, 0).departed(), []string{"a"})
	})
}

// TestOldRowsAreDeleted guards against rows that grow without end, and against the deletion of one that is in force.
func TestOldRowsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := &table{Storer: storer.New()}
		p := start(t, rows, 0)
		p.leave("old", 5)
		assert.NilError(t, p.Replicate(t.Context()))
		time.Sleep(11 * time.Minute)
		p.leave("new", 7)
		assert.NilError(t, p.Replicate(t.Context()))
		assert.NilError(t, p.DeleteExpiredRows(t.Context()))
		assert.DeepEqual(t, start(t, rows, 0).departed(), []string{"new"})
	})
}
