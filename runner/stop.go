package runner

import (
	"context"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/controller"
)

// The reserve of a stop is left at its end for answering the requests that are still in flight and, in its
// second half, for ending the process. It is stopReserve, or less if the stop timeout is short.
const (
	stopReserve        = 500 * time.Millisecond
	stopReserveDivisor = 6
)

// StopTimeout returns the time that a graceful stop may take. It is a reloadable setting.
func (r *Runner) StopTimeout() time.Duration { return r.latestSettings.Load().StopTimeout }

// stop publishes that the node leaves, deletes its row and keeps accepting requests until the callers
// have had time to notice that the node leaves. It then waits for the requests in flight and closes the
// servers.
func (r *Runner) stop() error {
	start := time.Now()
	r.stopping.Store(true)
	r.record(eelgrasspoint.EventNodeStopping, "")
	settings := r.latestSettings.Load()
	noticeElapsed := time.After(max(eelgrasspoint.StopNoticeTime, settings.DrainTimeout))
	end := start.Add(settings.StopTimeout)
	reserve := min(stopReserve, settings.StopTimeout/stopReserveDivisor)
	ctx, cancel := context.WithDeadline(context.Background(), end.Add(-reserve))
	defer cancel()
	last, cancelLast := context.WithDeadline(context.Background(), end.Add(-reserve/2))
	defer cancelLast()
	leaveDone := make(chan struct{})
	r.controller.Submit(controller.Leave{Done: leaveDone})
	<-leaveDone
	go r.observer.Flush(ctx)
	go r.deleteMemberRow(ctx)
	<-noticeElapsed
	err := r.servers.shutdown(ctx, last)
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
