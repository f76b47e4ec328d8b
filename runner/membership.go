package runner

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"eelgrasspoint"
	"eelgrasspoint/coordination/controller"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/protocol/translator"
)

// memberPrefix begins the keys of the rows by which nodes find each other.
const memberPrefix = "member/"

// joinRetry bounds the pause between two tries to find other nodes.
const joinRetry = time.Second

// join looks for other nodes at the addresses in the settings and in the table service, in
// any combination that happens to be up, until its row is written and the others' are read.
// It writes first: of two nodes that start together, the one that writes last reads both rows.
func (r *Runner) join(ctx context.Context) {
	for ctx.Err() == nil {
		r.askPeers(ctx)
		written := r.writeRow(ctx) == nil
		scanned := written && r.scanMembers(ctx)
		r.askMembers(ctx)
		if scanned {
			break
		}
		r.sleep(ctx, joinRetry)
	}
	r.sleep(ctx, eelgrasspoint.MemberScanDelay)
	r.scanMembers(ctx)
	r.keepRow(ctx)
}

// askPeers syncs with the nodes of the settings.
func (r *Runner) askPeers(ctx context.Context) {
	for _, address := range r.settings.Peers {
		if address == r.settings.AdvertisedAddress {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, eelgrasspoint.HeartbeatTimeout)
		m := eelgrasspoint.Member{PeerAddress: address}
		r.observer.SyncMembers(ctx, m)
		r.observer.PullConfiguration(ctx, m, r.revision())
		cancel()
	}
}

// membersAsked is how many members a node that joins asks for all that they know.
const membersAsked = 2

// askMembers syncs with a few members: the rows may be old, and news of what happened before
// does not come again.
func (r *Runner) askMembers(ctx context.Context) {
	r.controller.WaitApplied()
	view := r.controller.View()
	asked := 0
	for _, i := range rand.Perm(len(view.Members)) {
		m := view.Members[i]
		if asked == membersAsked || ctx.Err() != nil {
			return
		}
		if m.Name == r.settings.Name || !m.Alive() || m.Region != view.Self.Region {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, eelgrasspoint.HeartbeatTimeout)
		if r.observer.SyncMembers(ctx, m) {
			asked++
		}
		cancel()
	}
}

// scanMembers learns the rows that other nodes wrote. A row that does not parse is left out.
func (r *Runner) scanMembers(ctx context.Context) bool {
	rows, err := r.table.Scan(ctx, memberPrefix)
	if err != nil {
		r.storeDown(ctx, err)
		return false
	}
	var members []eelgrasspoint.Member
	for _, row := range rows {
		member, err := parseRow(row.Value)
		if err != nil {
			r.record(eelgrasspoint.EventBadInput, "row "+row.Key+": "+err.Error())
			continue
		}
		members = append(members, member)
	}
	r.controller.Submit(controller.MergeMembers{Members: members})
	return true
}

func parseRow(value []byte) (eelgrasspoint.Member, error) {
	var message schema.Member
	if err := protojson.Unmarshal(value, &message); err != nil {
		return eelgrasspoint.Member{}, err
	}
	return translator.Member(&message)
}

func (r *Runner) writeRow(ctx context.Context) error {
	value, err := protojson.Marshal(translator.MemberMessage(r.controller.View().Self))
	if err != nil {
		return err
	}
	err = r.writeMember(ctx, eelgrasspoint.Write{Key: r.rowKey(), Value: value})
	if err != nil {
		r.storeDown(ctx, err)
	}
	return err
}

// writeMember changes the node's own row, which nobody else writes while the node lives.
func (r *Runner) writeMember(ctx context.Context, write eelgrasspoint.Write) error {
	return r.table.Commit(ctx, eelgrasspoint.Transaction{Writes: []eelgrasspoint.Write{write}})
}

func (r *Runner) rowKey() string { return memberPrefix + r.settings.Name }

// keepRow renews the node's row at long intervals, so that rows of nodes that are gone can
// be told by their age.
func (r *Runner) keepRow(ctx context.Context) {
	for ctx.Err() == nil {
		r.sleep(ctx, eelgrasspoint.MemberRowInterval)
		_ = r.writeRow(ctx)
		r.sweep(ctx)
	}
}

// sweep deletes the rows of nodes that are gone. The first node of all does it, as a rule; more
// do no harm, since a row that was written since stays.
func (r *Runner) sweep(ctx context.Context) {
	members := r.controller.View().Members
	gone := make(map[string]bool, len(members))
	first := ""
	for _, m := range members {
		gone[m.Name] = !m.Alive()
		if m.Alive() && first == "" {
			first = m.Name
		}
	}
	if first != r.settings.Name {
		return
	}
	rows, err := r.table.Scan(ctx, memberPrefix)
	if err != nil {
		r.storeDown(ctx, err)
		return
	}
	for _, row := range rows {
		if !gone[strings.TrimPrefix(row.Key, memberPrefix)] {
			continue
		}
		err := r.table.Commit(ctx, eelgrasspoint.Transaction{
			Conditions: []eelgrasspoint.Condition{{Key: row.Key, Version: row.Version}},
			Writes:     []eelgrasspoint.Write{{Key: row.Key, Delete: true}},
		})
		if err != nil {
			r.record(eelgrasspoint.EventRowKept, row.Key+": "+err.Error())
		}
	}
}

func (r *Runner) storeDown(ctx context.Context, err error) {
	if ctx.Err() == nil && !r.storeIsDown.Swap(true) {
		r.record(eelgrasspoint.EventStoreDown, err.Error())
	}
}

func (r *Runner) storeBack() {
	if r.storeIsDown.Swap(false) {
		r.record(eelgrasspoint.EventStoreBack, "")
	}
}

// pull fetches the configuration from a peer that has a newer one.
func (r *Runner) pull(m eelgrasspoint.Member, after uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), eelgrasspoint.HeartbeatTimeout)
	defer cancel()
	r.observer.PullConfiguration(ctx, m, after)
}

// sleep waits between half and one and a half times the interval, so that nodes which
// started together do not call together.
func (r *Runner) sleep(ctx context.Context, interval time.Duration) {
	jittered := interval/2 + time.Duration(rand.Int64N(int64(interval)))
	select {
	case <-ctx.Done():
	case <-time.After(jittered):
	}
}
