package runner

import (
	"context"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/controller"
)

// stopReserveDivisor reserves 1/6 of the stop timeout for closing what is left after the graceful
// shutdown.
const stopReserveDivisor = 6

// StopTimeout returns how long a graceful stop may take according to the latest settings.
func (r *Runner) StopTimeout() time.Duration { return r.latestSettings.Load().StopTimeout }

// stop publishes that the node leaves, keeps accepting requests until callers had time to notice, waits
// for the requests in flight and closes the servers.
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
