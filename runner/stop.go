package runner

import (
	"context"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/controller"
)

// The reserve of a stop is what the end of the process may take once the wait for requests in flight is over.
// It is stopReserve, or less if the stop timeout is short.
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
	reserve := min(stopReserve, settings.StopTimeout/stopReserveDivisor)
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(settings.StopTimeout-reserve))
	defer cancel()
	leaveDone := make(chan struct{})
	r.controller.Submit(controller.Leave{Done: leaveDone})
	<-leaveDone
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
