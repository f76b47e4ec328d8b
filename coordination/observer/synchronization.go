package observer

import (
	"context"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/assigner"
	"eelgrasspoint/coordination/controller"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/protocol/translator"
)

// Bounds on anti-entropy.
const (
	// minMismatchesToSync is the number of digest mismatches after which a node synchronizes with a
	// member while neither gossips updates.
	minMismatchesToSync = 4
	// minSyncInterval is the least time between two synchronizations with one member.
	minSyncInterval = 15 * time.Second
	// minBulkSyncInterval replaces minSyncInterval while there are at least MaxUpdatesPerMessage
	// member updates; one digest mismatch is then enough.
	minBulkSyncInterval = 2 * time.Second
)

// compareDigest synchronizes the members with those of m if the digests still differ while neither
// node gossips updates, or if they differ and there are at least MaxUpdatesPerMessage updates.
func (o *Observer) compareDigest(ctx context.Context, view *eelgrasspoint.MembershipView, m eelgrasspoint.Member, response *schema.ConverseResponse) {
	bulk := max(len(view.News), len(response.GetNews())) >= eelgrasspoint.MaxUpdatesPerMessage
	settled := len(view.News) == 0 && hasOnlySender(response)
	switch {
	case response.GetDigest() == view.Digest:
		o.setMismatches(m.Name, 0)
	case bulk && o.syncDue(m.Name, 0, minBulkSyncInterval):
		// Heartbeats cannot carry all updates in time, for example when all nodes start at once.
		o.SyncMembers(ctx, m)
	case settled && o.syncDue(m.Name, minMismatchesToSync, minSyncInterval):
		o.SyncMembers(ctx, m)
	}
}

// hasOnlySender reports whether a response carries no update but the sender's own entry, which the
// sender adds while the digests differ.
func hasOnlySender(response *schema.ConverseResponse) bool {
	for _, m := range response.GetNews() {
		if m.GetName() != response.GetFrom() {
			return false
		}
	}
	return true
}

// SyncMembers reconciles this node's members with those of another node by bucket digests. It
// reports whether the other node answered.
func (o *Observer) SyncMembers(ctx context.Context, m eelgrasspoint.Member) bool {
	o.options.Meter.CountExchange("Members")
	own := o.options.Controller.View().Members
	response, err := o.client(m).Members(ctx, &schema.MembersRequest{
		Digests: assigner.BucketDigests(own), From: o.options.Controller.View().Self.Name,
	})
	if err != nil {
		return false
	}
	// What the node lacks is sent again, also if it had it before it restarted.
	o.options.Tracker.Forget(m.Name)
	members, _ := translator.Members(response.GetMembers())
	o.options.Controller.Submit(controller.MergeMembers{Members: members})
	if response.GetSettled() {
		// A process that has just started may not let requests run before it knows which of them crash its server.
		o.exchangeQuarantines(ctx, m)
		o.options.Settled()
	}
	o.options.Controller.Submit(controller.Rebroadcast{Names: newerThan(assigner.MembersInBuckets(own, response.GetBuckets()), members)})
	return true
}

// newerThan returns the names of the members in own that are newer than in others, or alive and not
// in others.
func newerThan(own, others []eelgrasspoint.Member) []string {
	known := make(map[string]eelgrasspoint.Member, len(others))
	for _, m := range others {
		known[m.Name] = m
	}
	var names []string
	for _, m := range own {
		other, ok := known[m.Name]
		if (!ok && m.Alive()) || (ok && m.Supersedes(other)) {
			names = append(names, m.Name)
		}
	}
	return names
}
