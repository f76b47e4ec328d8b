// Package observer is the failure detector of a node and the sending side of gossip: it sends
// heartbeats that carry member updates, and marks as failed the members of its own region that do
// not answer.
package observer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/assigner"
	"eelgrasspoint/coordination/controller"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/protocol/translator"
	"eelgrasspoint/state/meter"
)

// Observer sends heartbeats and gossip for a controller.
type Observer struct {
	options Options

	// mu guards peers, whose keys are member names.
	mu    sync.Mutex
	peers map[string]*peerState

	// Only the goroutine of Run accesses the fields below.
	lastPauseCheck time.Time
	// staleRounds is the number of further rounds without an answer until the control state counts
	// as fresh; zero means that it is fresh.
	staleRounds int
}

// Options are the settings and dependencies of an observer.
type Options struct {
	Cluster    string
	Controller *controller.Controller
	Client     *http.Client
	Recorder   eelgrasspoint.Recorder
	// Fetch fetches the configuration of a member if its revision is higher than after.
	Fetch func(ctx context.Context, m eelgrasspoint.Member, after uint64)
	// Witness advances the event clock past the time of a peer's event clock.
	Witness func(time.Time)
	// Now returns the time of the event clock.
	Now   func() time.Time
	Meter *meter.Meter
	// Clock is the local clock, by which intervals are measured.
	Clock eelgrasspoint.Clock
	// Refreshed is called with the local time after each round of heartbeats if the control state is
	// fresh.
	Refreshed func(time.Time)
}

// peerState is the state of failure detection and anti-entropy for one member.
type peerState struct {
	// failures counts the rounds in a row in which the member did not answer, since its failure was
	// last reported.
	failures int
	// mismatches counts the calls of syncDue since the last digest match or synchronization.
	mismatches int
	// lagging is set while the member has an older configuration. It may lack the entry of this
	// node, so messages to it carry that entry.
	lagging  bool
	syncedAt time.Time
}

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

// flushDelay is how long flushAfterDelay waits for further updates.
const flushDelay = 40 * time.Millisecond

// maxIsolationProbes is the highest number of members that a node probes to find out whether it is
// isolated.
const maxIsolationProbes = 2

// New returns an observer.
func New(options Options) *Observer {
	return &Observer{options: options, peers: make(map[string]*peerState), lastPauseCheck: options.Clock()}
}

// Run sends heartbeats, in each interval and soon after the controller signals member updates or a
// new revision, until the context ends.
func (o *Observer) Run(ctx context.Context) {
	ticker := time.NewTicker(eelgrasspoint.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.round(ctx)
		case <-o.options.Controller.UpdatesReady():
			go o.flushAfterDelay(ctx)
		}
	}
}

// Flush sends the pending member updates to the heartbeat targets at once and waits for the
// answers.
func (o *Observer) Flush(ctx context.Context) {
	view := o.options.Controller.View()
	var group sync.WaitGroup
	for _, m := range view.Observed {
		group.Go(func() { _ = o.sendHeartbeat(ctx, view, m) })
	}
	group.Wait()
}

// flushAfterDelay waits for further updates, then calls Flush.
func (o *Observer) flushAfterDelay(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(flushDelay):
	}
	o.Flush(ctx)
}

// round sends one heartbeat to each heartbeat target and a few to failed members, marks the control
// state as fresh, and marks targets that failed. It marks no target if the process was paused.
func (o *Observer) round(ctx context.Context) {
	view := o.options.Controller.View()
	o.retryFailed(ctx, view)
	paused := o.detectPause()
	var group sync.WaitGroup
	answers := make([]bool, len(view.Observed))
	for i, m := range view.Observed {
		group.Go(func() { answers[i] = o.sendHeartbeat(ctx, view, m) == nil })
	}
	group.Wait()
	if ctx.Err() != nil {
		return
	}
	// The process may also have been paused during the round.
	paused = o.detectPause() || paused
	// A node without heartbeat targets has no answer to wait for.
	o.markFresh(paused, len(answers) == 0 || slices.Contains(answers, true))
	if paused {
		return
	}
	o.detectFailures(ctx, view, answers)
}

// failedRetriesPerRound is the mean number of failed members that all nodes together contact in one
// round.
const failedRetriesPerRound = 8

// retryFailed sends heartbeats to a few failed members, chosen at random in each round. A node that
// restarts while the store is down has no member entries but its own, and as a failed member it is
// no heartbeat target of other nodes, so these heartbeats let it rejoin.
func (o *Observer) retryFailed(ctx context.Context, view *eelgrasspoint.MembershipView) {
	var failed []eelgrasspoint.Member
	alive := 0
	for _, m := range view.Members {
		switch {
		case m.Alive():
			alive++
		case !m.Left:
			failed = append(failed, m)
		}
	}
	// expected is the mean number of failed members that this node contacts: its integer part is
	// certain, its fractional part is the probability of one more.
	expected := float64(failedRetriesPerRound) / float64(max(1, alive))
	for _, i := range rand.Perm(len(failed)) {
		if expected <= 0 || rand.Float64() >= expected {
			return
		}
		expected--
		go func() { _ = o.sendHeartbeat(ctx, view, failed[i]) }()
	}
}

// markFresh marks the control state as fresh once the commands submitted so far are applied. After a
// pause of the process, it does so only once a member has answered, or after staleRoundsAfterPause
// further rounds without an answer. A node without heartbeat targets counts as answered.
func (o *Observer) markFresh(paused, answered bool) {
	switch {
	case paused && !answered:
		o.staleRounds = staleRoundsAfterPause
	case answered:
		o.staleRounds = 0
	case o.staleRounds > 0:
		o.staleRounds--
	}
	if o.staleRounds > 0 {
		return
	}
	if o.options.Controller.WaitApplied() {
		o.options.Refreshed(o.options.Clock())
	}
}

// staleRoundsAfterPause is the number of further rounds without an answer after which a node that
// was paused assumes that no other node is alive, and its control state counts as fresh.
const staleRoundsAfterPause = 3

// detectPause reports whether this process was paused: more than two heartbeat intervals have
// passed since the last check. Missing answers then do not mean that members failed.
func (o *Observer) detectPause() bool {
	now := o.options.Clock()
	paused := now.Sub(o.lastPauseCheck) > 2*eelgrasspoint.HeartbeatInterval
	o.lastPauseCheck = now
	return paused
}

// detectFailures marks heartbeat targets that failed to answer HeartbeatFailures times in a row. A
// node that reaches no other member marks none and records that it may be isolated.
func (o *Observer) detectFailures(ctx context.Context, view *eelgrasspoint.MembershipView, answers []bool) {
	var failed []eelgrasspoint.Member
	answered := 0
	for i, m := range view.Observed {
		switch {
		case answers[i]:
			answered++
			o.setFailures(m.Name, 0)
		default:
			o.options.Recorder.Record(eelgrasspoint.Event{
				Number: eelgrasspoint.EventPeerSilent, AvailabilityZone: m.AvailabilityZone,
				Detail: m.Name + " did not answer a heartbeat",
			})
			if o.addFailure(m.Name) >= eelgrasspoint.HeartbeatFailures {
				failed = append(failed, m)
			}
		}
	}
	if len(failed) == 0 {
		return
	}
	if answered == 0 && !o.reachesOthers(ctx, view) {
		o.options.Recorder.Record(eelgrasspoint.Event{
			Number: eelgrasspoint.EventIsolationSuspected, AvailabilityZone: view.Self.AvailabilityZone,
		})
		return
	}
	for _, m := range failed {
		o.reportFailure(view, m)
	}
}

// reportFailure marks a member of this region as failed. For a member of another region, which only
// nodes of that region mark, it switches to other heartbeat targets there.
func (o *Observer) reportFailure(view *eelgrasspoint.MembershipView, m eelgrasspoint.Member) {
	o.setFailures(m.Name, 0)
	if m.Region != view.Self.Region {
		o.options.Controller.Submit(controller.RotateRemoteTargets{})
		return
	}
	o.options.Controller.Submit(controller.MarkFailed{Member: m})
}

// reachesOthers probes up to maxIsolationProbes alive members that are not heartbeat targets. It
// reports whether one answers or there is none to probe.
func (o *Observer) reachesOthers(ctx context.Context, view *eelgrasspoint.MembershipView) bool {
	probed := 0
	for _, m := range view.Members {
		if probed == maxIsolationProbes {
			return false
		}
		if m.Name == view.Self.Name || !m.Alive() || contains(view.Observed, m.Name) {
			continue
		}
		probed++
		if o.sendHeartbeat(ctx, view, m) == nil {
			return true
		}
	}
	// Without another member to probe, the node does not count as isolated.
	return probed == 0
}

// sendHeartbeat sends a heartbeat with member updates to m and applies the answer: it merges the
// member updates, fetches a newer configuration and synchronizes members if the digests differ. A
// member that begins to lag gets a second request.
func (o *Observer) sendHeartbeat(ctx context.Context, view *eelgrasspoint.MembershipView, m eelgrasspoint.Member) error {
	ctx, cancel := context.WithTimeout(ctx, eelgrasspoint.HeartbeatTimeout)
	defer cancel()
	o.options.Meter.CountExchange("Converse")
	client := o.client(m)
	response, err := client.Converse(ctx, o.request(view, m.Name))
	if err != nil {
		// The connection may be dead, so the next heartbeat must use a new one. The idle connections to
		// other members are closed too, since http.Client can't close those to one host.
		o.options.Client.CloseIdleConnections()
		return err
	}
	o.options.Witness(time.Unix(0, int64(response.GetWall())))
	if members, _ := translator.Members(response.GetNews()); len(members) > 0 {
		o.options.Controller.Submit(controller.MergeMembers{Members: members})
	}
	if response.GetRevision() > view.Revision {
		o.options.Fetch(ctx, m, view.Revision)
	}
	if o.setLagging(m.Name, response.GetRevision() < view.Revision) {
		// The member fetches the newer configuration only from a node whose entry it has. The second
		// request carries this node's entry, because the member is now marked as lagging.
		_, err = client.Converse(ctx, o.request(view, m.Name))
	}
	o.compareDigest(ctx, view, m, response)
	return err
}

func (o *Observer) request(view *eelgrasspoint.MembershipView, to string) *schema.ConverseRequest {
	updates := view.UpdatesAt(o.options.Now())
	if o.isLagging(to) {
		updates = append([]eelgrasspoint.Member{view.Self}, updates...)
	}
	return &schema.ConverseRequest{
		Cluster:  o.options.Cluster,
		From:     view.Self.Name,
		Revision: view.Revision,
		Digest:   view.Digest,
		News:     translator.MemberMessages(updates),
		Wall:     uint64(o.options.Now().UnixNano()),
	}
}

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
	response, err := o.client(m).Members(ctx, &schema.MembersRequest{Digests: assigner.BucketDigests(own)})
	if err != nil {
		return false
	}
	members, _ := translator.Members(response.GetMembers())
	o.options.Controller.Submit(controller.MergeMembers{Members: members})
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

func (o *Observer) client(m eelgrasspoint.Member) schema.Exchange {
	return schema.NewExchangeProtobufClient("http://"+m.PeerAddress.String(), o.options.Client)
}

func contains(members []eelgrasspoint.Member, name string) bool {
	for _, m := range members {
		if m.Name == name {
			return true
		}
	}
	return false
}
