package runner

import (
	"context"
	"fmt"
	"time"

	"eelgrasspoint"
)

const (
	// copyAge bounds how old the copy is from which the table service comes back, with the time until the nodes see that. Rows
	// that were written earlier are in it.
	copyAge = 2 * time.Minute
	// rewriteDelay is the mean pause before the rows of a node are written again, which spreads the writes of all nodes.
	rewriteDelay = time.Second
)

// followEpoch is called with the epoch of each configuration that was read. If the table service has come back from a copy
// since the last call, it records that and writes again what this node wrote last.
func (r *Runner) followEpoch(ctx context.Context, epoch uint64) {
	previous := r.epoch.Swap(&epoch)
	if previous == nil || *previous == epoch {
		return
	}
	r.meter.CountRestore()
	r.record(eelgrasspoint.EventStoreRestored, fmt.Sprintf("epoch %d, epoch %d before: what was written in the last seconds before may be gone", epoch, *previous))
	go r.rewriteRows(ctx)
}

// rewriteRows writes the rows of this node again that a copy of the table service may lack.
func (r *Runner) rewriteRows(ctx context.Context) {
	r.sleepJittered(ctx, rewriteDelay)
	since := r.options.Clock().Add(-copyAge)
	r.replicator.RewriteRows(since)
	r.persister.RewriteRows(since)
	for ctx.Err() == nil && time.Unix(0, r.memberRowAt.Load()).After(since) {
		if r.writeMemberRow(ctx) == nil {
			return
		}
		r.sleepJittered(ctx, joinRetryInterval)
	}
}
