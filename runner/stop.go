package runner

import (
	"context"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/controller"
)

// stopReserve is the part of the time for a stop that is kept to close what is left.
const stopReserve = 6

// StopTimeout is how long a planned stop may take, by the newest settings.
func (r *Runner) StopTimeout() time.Duration { return r.tunable.Load().StopTimeout }

// stop says that the node leaves, goes on taking callers until they had the time to learn it,
// finishes what is in flight and closes.
func (r *Runner) stop() error {
	r.stopping.Store(true)
	r.record(eelgrasspoint.EventNodeStopping, "")
	limit := r.StopTimeout()
	ctx, cancel := context.WithTimeout(context.Background(), limit-limit/stopReserve)
	defer cancel()
	left := make(chan struct{})
	r.controller.Submit(controller.Leave{Done: left})
	<-left
	noticed := time.After(max(eelgrasspoint.StopNoticeTime, r.tunable.Load().DrainTimeout))
	go r.observer.Flush(ctx)
	go r.deleteRow(ctx)
	<-noticed
	err := r.servers.shutdown(ctx)
	r.record(eelgrasspoint.EventNodeStopped, "")
	return err
}

// deleteRow is best effort: the row of a node that is gone is removed by others later.
func (r *Runner) deleteRow(ctx context.Context) {
	if err := r.writeMember(ctx, eelgrasspoint.Write{Key: r.rowKey(), Delete: true}); err != nil {
		r.storeDown(ctx, err)
	}
}

// Abort ends the node at once, as if its process had been killed.
func (r *Runner) Abort() {
	r.abortOnce.Do(func() { close(r.aborted) })
}

// View returns what the node knows of the others at this moment.
func (r *Runner) View() *eelgrasspoint.MembershipView { return r.controller.View() }
