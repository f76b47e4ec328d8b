// Package observer is the failure detector of a node and the sending side of gossip: it sends
// heartbeats that carry member updates, and marks as failed the members of its own region that do
// not answer.
package observer

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/controller"
	"eelgrasspoint/coordination/quarantiner"
	"eelgrasspoint/coordination/tracker"
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
	// DeadClient is used for members that left or failed; it keeps no connection open.
	DeadClient *http.Client
	Recorder   eelgrasspoint.Recorder
	// Fetch fetches the configuration of a member if its revision is higher than after.
	Fetch func(ctx context.Context, m eelgrasspoint.Member, after eelgrasspoint.Revision)
	// Tell returns members to be told of each new configuration, beside the heartbeat targets.
	Tell func(view *eelgrasspoint.MembershipView) []eelgrasspoint.Member
	// Witness advances the event clock past the time of a peer's event clock.
	Witness func(time.Time)
	// Now returns the time of the event clock.
	Now   func() time.Time
	Meter *meter.Meter
	// Clock is the local clock, by which intervals are measured.
	Clock eelgrasspoint.Clock
	// Tracker remembers which updates other nodes have.
	Tracker *tracker.Tracker
	// Quarantiner holds the requests that crash backend servers.
	Quarantiner *quarantiner.Quarantiner
	// Settled is called when the members were synchronized with a node that has joined.
	Settled func()
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
	// quarantinesAt is when the quarantines were last exchanged with the member.
	quarantinesAt time.Time
	// revision and stateDigest are those of the member's configuration when it last answered.
	revision    eelgrasspoint.Revision
	stateDigest uint64
	// toldRevision and toldDigest are those of the configuration that the member was told of last.
	toldRevision eelgrasspoint.Revision
	toldDigest   uint64
}

// flushDelay is how long flushAfterDelay waits for further updates.
const flushDelay = 40 * time.Millisecond

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

// Flush sends the pending member updates at once to the heartbeat targets that lack some, and waits for the
// answers.
func (o *Observer) Flush(ctx context.Context) {
	view := o.options.Controller.View()
	var group sync.WaitGroup
	for _, m := range view.Observed {
		if o.hasNews(view, m) {
			group.Go(func() { _ = o.sendHeartbeat(ctx, view, m) })
		}
	}
	for _, m := range o.options.Tell(view) {
		if !contains(view.Observed, m.Name) && o.beginTelling(view, m.Name) {
			group.Go(func() { o.tell(ctx, view, m) })
		}
	}
	group.Wait()
}

// beginTelling reports whether the member was not told of the configuration in force yet, and notes that it is now.
func (o *Observer) beginTelling(view *eelgrasspoint.MembershipView, name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.peerState(name)
	if p.toldRevision == view.Revision && p.toldDigest == view.StateDigest {
		return false
	}
	p.toldRevision, p.toldDigest = view.Revision, view.StateDigest
	return true
}

// tell tells a member of the configuration in force, which it then fetches. If that fails, it hears of it along the rings.
func (o *Observer) tell(ctx context.Context, view *eelgrasspoint.MembershipView, m eelgrasspoint.Member) {
	ctx, cancel := context.WithTimeout(ctx, eelgrasspoint.HeartbeatTimeout)
	defer cancel()
	o.options.Meter.CountExchange("Converse")
	if response, err := o.client(m).Converse(ctx, o.request(view, m, nil)); err == nil {
		o.mergeMembers(m, response)
	}
}

// mergeMembers applies the member updates in the answer of m.
func (o *Observer) mergeMembers(m eelgrasspoint.Member, response *schema.ConverseResponse) {
	if members, _ := translator.Members(response.GetNews()); len(members) > 0 {
		o.options.Tracker.Acknowledge(m.Name, members)
		o.options.Controller.Submit(controller.MergeMembers{Members: members})
	}
}

// hasNews reports whether the member lacks an update or the configuration in force, as far as this node knows.
func (o *Observer) hasNews(view *eelgrasspoint.MembershipView, m eelgrasspoint.Member) bool {
	return o.lacksConfiguration(view, m.Name) || len(o.options.Tracker.Missing(m.Name, view.News, o.options.Clock())) > 0
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

// round sends one heartbeat to each heartbeat target and a few to dead members, marks the control
// state as fresh, and marks targets that failed. It marks no target if the process was paused.
func (o *Observer) round(ctx context.Context) {
	view := o.options.Controller.View()
	o.contactDead(ctx, view)
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

// sendHeartbeat sends a heartbeat with member updates to m and applies the answer: it merges the
// member updates, fetches a newer configuration and synchronizes members if the digests differ. A
// member that begins to lag gets a second request.
func (o *Observer) sendHeartbeat(ctx context.Context, view *eelgrasspoint.MembershipView, m eelgrasspoint.Member) error {
	ctx, cancel := context.WithTimeout(ctx, eelgrasspoint.HeartbeatTimeout)
	defer cancel()
	o.options.Meter.CountExchange("Converse")
	client := o.client(m)
	updates := o.updatesFor(view, m.Name)
	if !m.Alive() {
		// A new process of the member needs this node's entry to find others, and its own for the departures in it.
		updates = append([]eelgrasspoint.Member{view.Self, m}, updates...)
	}
	response, err := client.Converse(ctx, o.request(view, m, updates))
	if err != nil {
		return err
	}
	o.options.Tracker.Acknowledge(m.Name, updates)
	revision := translator.Revision(response.GetRevision(), response.GetLargeRevision())
	o.setRevision(m.Name, revision, response.GetStateDigest())
	o.options.Witness(time.Unix(0, int64(response.GetWall())))
	o.mergeMembers(m, response)
	if o.options.Controller.Configuration().HasNews(revision, response.GetStateDigest()) {
		o.options.Fetch(ctx, m, view.Revision)
	}
	if o.setLagging(m.Name, revision.Before(view.Revision)) {
		// The member fetches the newer configuration only from a node whose entry it has. The second
		// request carries this node's entry, because the member is now marked as lagging. Without its answer, the
		// member is not silent: it has answered the first.
		_, _ = client.Converse(ctx, o.request(view, m, o.updatesFor(view, m.Name)))
	}
	o.compareDigest(ctx, view, m, response)
	o.compareQuarantines(ctx, view, m, response)
	return nil
}

// updatesFor returns the updates that the member lacks, as far as this node knows.
func (o *Observer) updatesFor(view *eelgrasspoint.MembershipView, to string) []eelgrasspoint.Member {
	updates := o.options.Tracker.Missing(to, view.News, o.options.Clock())
	if o.isLagging(to) {
		updates = append([]eelgrasspoint.Member{view.Self}, updates...)
	}
	return updates
}

// request returns the heartbeat to a member.
func (o *Observer) request(view *eelgrasspoint.MembershipView, to eelgrasspoint.Member, updates []eelgrasspoint.Member) *schema.ConverseRequest {
	revision, large := translator.RevisionMessage(view.Revision)
	return &schema.ConverseRequest{
		Cluster:          o.options.Cluster,
		From:             view.Self.Name,
		Revision:         revision,
		LargeRevision:    large,
		StateDigest:      view.StateDigest,
		QuarantineDigest: o.options.Quarantiner.Digest(view.Self.Region, to.Region),
		Region:           view.Self.Region,
		Digest:           view.Digest,
		News:             translator.MemberMessages(updates),
		Wall:             uint64(o.options.Now().UnixNano()),
	}
}

func (o *Observer) client(m eelgrasspoint.Member) schema.Exchange {
	client := o.options.Client
	if !m.Alive() {
		client = o.options.DeadClient
	}
	return schema.NewExchangeProtobufClient("http://"+m.PeerAddress.String(), client)
}
