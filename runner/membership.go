package runner

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"eelgrasspoint"
	"eelgrasspoint/coordination/controller"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/protocol/translator"
	"eelgrasspoint/state/sweeper"
)

// memberRowPrefix is the key prefix of the rows by which nodes find each other.
const memberRowPrefix = "member/"

// joinRetryInterval is the mean pause before join tries again.
const joinRetryInterval = time.Second

// join finds other nodes at the addresses in the settings and by the rows in the table service. Some of
// the nodes or the table service may be unreachable; join uses those that answer. It retries until this
// node's row is written and all rows are read, after a pause or as soon as the table service answers.
// The row is written first: of two nodes that start together, the one that writes last reads both rows.
// After MemberScanDelay join reads the rows once more, then it maintains them until ctx ends.
func (r *Runner) join(ctx context.Context) {
	storeAnswers := r.replicator.RowsRead()
	for ctx.Err() == nil {
		r.syncWithConfiguredPeers(ctx)
		written := r.writeMemberRow(ctx) == nil
		scanned := written && r.scanMembers(ctx)
		r.syncWithMembers(ctx)
		if scanned {
			r.settle()
			break
		}
		select {
		case <-ctx.Done():
		case <-storeAnswers:
			storeAnswers = nil
		case <-time.After(jittered(joinRetryInterval)):
		}
	}
	r.sleepJittered(ctx, eelgrasspoint.MemberScanDelay)
	r.scanMembers(ctx)
	r.maintainMemberRows(ctx)
}

// syncWithConfiguredPeers syncs the members and the configuration with the peers listed in the
// settings.
func (r *Runner) syncWithConfiguredPeers(ctx context.Context) {
	for _, address := range r.settings.Peers {
		if address == r.settings.AdvertisedAddress {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, eelgrasspoint.HeartbeatTimeout)
		m := eelgrasspoint.Member{PeerAddress: address}
		r.observer.SyncMembers(ctx, m)
		r.fetcher.Fetch(ctx, m, r.revision())
		cancel()
	}
}

// membersToSync is the number of members with which a joining node syncs.
const membersToSync = 2

// syncWithMembers syncs with a few members of the region: the rows may be stale, and updates that were
// gossiped before this node joined are not sent again. If none alive answers, it tries a few that left: they may still
// be stopping, and know what the others do not. It returns the number of members that answered.
func (r *Runner) syncWithMembers(ctx context.Context) int {
	inRegion := func(m eelgrasspoint.Member) bool { return m.Region == r.settings.Region }
	if synced := r.syncWithFew(ctx, r.otherMembers(func(m eelgrasspoint.Member) bool { return m.Alive() && inRegion(m) })); synced > 0 {
		return synced
	}
	left := r.otherMembers(func(m eelgrasspoint.Member) bool { return m.Left && inRegion(m) })
	return r.syncWithFew(ctx, left[:min(membersToSync, len(left))])
}

// otherMembers returns the other members that match, in random order.
func (r *Runner) otherMembers(matches func(m eelgrasspoint.Member) bool) []eelgrasspoint.Member {
	r.controller.WaitApplied()
	members := slices.DeleteFunc(slices.Clone(r.controller.View().Members), func(m eelgrasspoint.Member) bool {
		return m.Name == r.settings.Name || !matches(m)
	})
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members
}

// syncWithFew syncs with the members in order until membersToSync have answered, and returns the number of those.
func (r *Runner) syncWithFew(ctx context.Context, members []eelgrasspoint.Member) int {
	synced := 0
	for _, m := range members {
		if synced == membersToSync || ctx.Err() != nil {
			break
		}
		ctx, cancel := context.WithTimeout(ctx, eelgrasspoint.HeartbeatTimeout)
		if r.observer.SyncMembers(ctx, m) {
			synced++
		}
		cancel()
	}
	return synced
}

// scanMembers reads the member rows in the table service, merges them into this node's view of the
// members, and reports whether the rows were read. An invalid row is recorded and skipped.
func (r *Runner) scanMembers(ctx context.Context) bool {
	rows, err := r.table.Scan(ctx, memberRowPrefix)
	if err != nil {
		r.recordStoreDown(ctx, err)
		return false
	}
	var members []eelgrasspoint.Member
	for _, row := range rows {
		member, err := parseMemberRow(row.Value)
		if err != nil {
			r.record(eelgrasspoint.EventBadInput, "invalid member row "+row.Key+": "+err.Error())
			continue
		}
		members = append(members, member)
	}
	r.controller.Submit(controller.MergeMembers{Members: members})
	return true
}

func parseMemberRow(value []byte) (eelgrasspoint.Member, error) {
	var message schema.Member
	if err := translator.ParseRow(value, &message); err != nil {
		return eelgrasspoint.Member{}, err
	}
	return translator.Member(&message)
}

func (r *Runner) writeMemberRow(ctx context.Context) error {
	value, err := protojson.Marshal(translator.MemberMessage(r.controller.View().Self))
	if err != nil {
		return err
	}
	err = r.commitMemberRow(ctx, eelgrasspoint.Write{Key: r.memberRowKey(), Value: value})
	if err != nil {
		r.recordStoreDown(ctx, err)
		return err
	}
	r.memberRowAt.Store(r.options.Clock().UnixNano())
	return nil
}

// commitMemberRow writes or deletes this node's row. It sets no condition, since no other node writes
// the row while this node is alive.
func (r *Runner) commitMemberRow(ctx context.Context, write eelgrasspoint.Write) error {
	return r.table.Commit(ctx, eelgrasspoint.Transaction{Writes: []eelgrasspoint.Write{write}})
}

func (r *Runner) memberRowKey() string { return memberRowPrefix + r.settings.Name }

// maintainMemberRows rewrites this node's row about every MemberRowInterval, so that the rows of dead
// members can be recognized by their age. It also deletes the rows of dead members and of old departures.
func (r *Runner) maintainMemberRows(ctx context.Context) {
	for ctx.Err() == nil {
		r.sleepJittered(ctx, eelgrasspoint.MemberRowInterval)
		_ = r.writeMemberRow(ctx)
		r.deleteUnusedRows(ctx)
	}
}

// deleteUnusedRows deletes the rows of dead members, which left or failed, of old departures and of quarantines that have
// ended. Normally only the first member alive, in the order of names, does so. It does no harm if
// several nodes do so at once, since a row that was rewritten after it was read is kept.
func (r *Runner) deleteUnusedRows(ctx context.Context) {
	members := r.controller.View().Members
	dead := make(map[string]bool, len(members))
	firstAlive := ""
	for _, m := range members {
		dead[m.Name] = !m.Alive()
		if m.Alive() && firstAlive == "" {
			firstAlive = m.Name
		}
	}
	if firstAlive != r.settings.Name {
		return
	}
	membersErr := sweeper.New(r.table, r.recorder).Sweep(ctx, memberRowPrefix, func(row eelgrasspoint.Row) bool {
		return !dead[strings.TrimPrefix(row.Key, memberRowPrefix)]
	})
	for _, err := range []error{r.replicator.DeleteExpiredRows(ctx), r.persister.DeleteExpiredRows(ctx), membersErr} {
		if err != nil {
			r.recordStoreDown(ctx, err)
		}
	}
}

// firstInRegion reports whether this node is the first member alive of its region, in the order of names.
func (r *Runner) firstInRegion() bool {
	for _, m := range r.controller.View().Members {
		if m.Alive() && m.Region == r.settings.Region {
			return m.Name == r.settings.Name
		}
	}
	return false
}

// recordStoreDown records EventStoreDown for a failed call of the table service (the store of events and
// metrics), unless ctx has ended. Further failures are not recorded until recordStoreBack is called.
func (r *Runner) recordStoreDown(ctx context.Context, err error) {
	if ctx.Err() == nil && !r.storeIsDown.Swap(true) {
		r.record(eelgrasspoint.EventStoreDown, err.Error())
	}
}

// recordStoreBack records the first successful read of the configuration after a recorded failure.
func (r *Runner) recordStoreBack() {
	if r.storeIsDown.Swap(false) {
		r.record(eelgrasspoint.EventStoreBack, "")
	}
}

// sleepJittered waits for the jittered interval or until ctx ends.
func (r *Runner) sleepJittered(ctx context.Context, interval time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(jittered(interval)):
	}
}

// jittered returns 0.5 to 1.5 times the interval. The jitter keeps nodes that started together from making their calls at
// the same time.
func jittered(interval time.Duration) time.Duration {
	return interval/2 + time.Duration(rand.Int64N(int64(interval)))
}
