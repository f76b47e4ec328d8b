package runner

import (
	"context"
	"net/http"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/controller"
)

// announcementHandler returns the handler of AnnounceAddress.
func (r *Runner) announcementHandler() http.Handler {
	if r.options.Announcements == nil {
		return http.NotFoundHandler()
	}
	return r.options.Announcements(func(ctx context.Context, a eelgrasspoint.Announcement) error {
		if a.Backend != nil {
			a.Backend.Connections = r.maxConnections(a.Backend.Service)
		}
		return r.announce(ctx, a)
	}, r.recorder)
}

// announce applies an announcement and returns nil once it may be acknowledged: it is in force, and a departure is
// replicated. Otherwise it returns a *eelgrasspoint.NotReplicatedError; the departure is in force all the same.
func (r *Runner) announce(ctx context.Context, a eelgrasspoint.Announcement) error {
	r.controller.Submit(controller.ApplyAnnouncement{Announcement: a})
	r.controller.WaitApplied()
	if a.Backend != nil && !a.Backend.Draining {
		return nil
	}
	return r.replicator.Replicate(ctx)
}

// restorePollInterval is the pause before restoreFromMembers looks again for members.
const restorePollInterval = 50 * time.Millisecond

// restoreFromMembers syncs with members until the departures are restored, since join goes on only once the table
// service takes writes.
func (r *Runner) restoreFromMembers(ctx context.Context) {
	for ctx.Err() == nil && !r.replicator.Restored() {
		pause := restorePollInterval
		if r.findMembers(ctx) && r.syncToRestore(ctx) > 0 {
			pause = joinRetryInterval
		}
		r.sleepJittered(ctx, pause)
	}
}

// syncToRestore syncs with members of the region. While neither one of them that has joined nor the table service has
// answered, it also tries members of other regions. It returns the number of members that answered.
func (r *Runner) syncToRestore(ctx context.Context) int {
	synced := r.syncWithMembers(ctx)
	if r.settled.Load() || r.rowsRead() {
		return synced
	}
	return synced + r.syncWithFew(ctx, r.otherMembers(func(m eelgrasspoint.Member) bool {
		return m.Alive() && m.Region != r.settings.Region
	}))
}

// findMembers reports whether this node knows other members, after it has read their rows if the table service answers.
func (r *Runner) findMembers(ctx context.Context) bool {
	if len(r.controller.View().Members) > 1 {
		return true
	}
	return r.rowsRead() && r.scanMembers(ctx)
}

// rowsRead reports whether the table service has answered the read of the departures.
func (r *Runner) rowsRead() bool {
	select {
	case <-r.replicator.RowsRead():
		return true
	default:
		return false
	}
}

// settle says that this node has the members that other nodes know: it has joined, or has synchronized with a node that
// has.
func (r *Runner) settle() {
	r.replicator.Synced()
	r.settled.Store(true)
}
