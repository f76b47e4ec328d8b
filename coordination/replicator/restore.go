package replicator

import (
	"context"
	"strings"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/controller"
)

// secondSourceDelay is how long a process that has just started waits for the second source of departures once it has
// the first. One of them may lack a departure: the table service was down when it was acknowledged, or gossip has
// not reached the other node.
const secondSourceDelay = 200 * time.Millisecond

// restore ends the restore once both sources of departures have answered, or one of them and secondSourceDelay has
// passed. It ends after DepartureTTL at the latest: all departures that an earlier process acknowledged are older then.
func (r *Replicator) restore(ctx context.Context) {
	rowsRead, synced := r.rowsRead, r.synced
	go r.restoreRows(ctx)
	ended := time.After(eelgrasspoint.DepartureTTL)
	var sources []string
	for len(sources) < 2 {
		select {
		case <-ctx.Done():
			return
		case <-ended:
			r.endRestore(sources)
			return
		case <-rowsRead:
			rowsRead = nil
			sources = append(sources, "table service")
		case <-synced:
			synced = nil
			sources = append(sources, "other node")
		}
		ended = time.After(secondSourceDelay)
	}
	r.endRestore(sources)
}

// restoreRows reads the rows until that succeeds or ctx ends, and learns their departures.
func (r *Replicator) restoreRows(ctx context.Context) {
	for ctx.Err() == nil {
		departures, err := r.readRows(ctx)
		if err == nil && r.options.RestoreQuarantines != nil {
			err = r.options.RestoreQuarantines(ctx)
		}
		if err == nil {
			r.options.Controller.Submit(controller.LearnDepartures{Departures: departures})
			close(r.rowsRead)
			return
		}
		pause(ctx)
	}
}

func (r *Replicator) endRestore(sources []string) {
	source := "no source"
	if len(sources) > 0 {
		source = strings.Join(sources, ", ")
	}
	r.options.Controller.Submit(controller.EndRestore{Source: source})
	r.restored.Store(true)
}

// RowsRead returns a channel that is closed once the rows of the departures are read.
func (r *Replicator) RowsRead() <-chan struct{} { return r.rowsRead }

// Synced says that the node has the departures that other nodes know: it has joined, or has synchronized its members with
// a node that has.
func (r *Replicator) Synced() { r.syncedOnce.Do(func() { close(r.synced) }) }

// Restored reports whether the restore has ended.
func (r *Replicator) Restored() bool { return r.restored.Load() }
