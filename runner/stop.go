package runner

import (
	"context"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/controller"
)

// stopReserveDivisor splits the stop timeout: Flush, deleteMemberRow and the shutdown of the servers must
// end within the first 5/6. The last 1/6 is left for closing the outbound connections of the node, which
// has no deadline of its own.
const stopReserveDivisor = 6

// StopTimeout returns the time that a graceful stop may take. It is a reloadable setting.
func (r *Runner) StopTimeout() time.Duration { return r.latestSettings.Load().StopTimeout }

// stop publishes that the node leaves, deletes its row and keeps accepting requests until the callers
// have had time to notice that the node leaves. It then waits for the requests in flight and closes the
// servers.
func (r *Runner) stop() error {
	r.stopping.Store(true)
	r.record(eelgrasspoint.EventNodeStopping, "")
	timeout := r.StopTimeout()
	ctx, cancel := context.WithTimeout(context.Background(), timeout-timeout/stopReserveDivisor)
	defer cancel()
	leaveDone := make(chan struct{})
	r.controller.Submit(controller.Leave{Done: leaveDone})
	<-leaveDone
	noticeElapsed := time.After(max(eelgrasspoint.StopNoticeTime, r.latestSettings.Load().DrainTimeout))
	go r.observer.Flush(ctx)
	go r.deleteMemberRow(ctx)
	<-noticeElapsed
	err := r.servers.shutdown(ctx)
	r.record(eelgrasspoint.EventNodeStopped, "")
	return err
}

// deleteMemberRow deletes this node's row. If that fails, another node deletes the row later.
func (r *Runner) deleteMemberRow(ctx context.Context) {
	if err := r.commitMemberRow(ctx, eelgrasspoint.Write{Key: r.memberRowKey(), Delete: true}); err != nil {
		r.recordStoreDown(ctx, err)
	}
}

// Abort stops the node at once, as if its process had been killed.
func (r *Runner) Abort() {
	r.abortOnce.Do(func() { close(r.aborted) })
}

// View returns the node's current view of the membership.
func (r *Runner) View() *eelgrasspoint.MembershipView { return r.controller.View() }
