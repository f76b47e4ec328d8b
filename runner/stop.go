package runner

import (
	"context"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/controller"
)

// stop says that the node leaves, lets the others learn it, finishes what is in flight and
// closes.
func (r *Runner) stop() error {
	r.record(eelgrasspoint.EventNodeStopping, "")
	ctx, cancel := context.WithTimeout(context.Background(), r.settings.StopTimeout)
	defer cancel()
	left := make(chan struct{})
	r.controller.Do(controller.Leave{Done: left})
	<-left
	r.observer.Flush(ctx)
	go func() { _ = r.historian.DeleteMember(ctx, memberPrefix+r.settings.Name) }()
	time.Sleep(eelgrasspoint.StopNoticeTime)
	err := r.servers.shutdown(ctx)
	r.record(eelgrasspoint.EventNodeStopped, "")
	return err
}

// Abort ends the node at once, as if its process had been killed.
func (r *Runner) Abort() {
	r.abortOnce.Do(func() { close(r.aborted) })
}

// View returns what the node knows of the others at this moment.
func (r *Runner) View() *eelgrasspoint.View { return r.controller.View() }
