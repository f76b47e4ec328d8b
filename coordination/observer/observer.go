// Package observer sends heartbeats to the members that this node observes, carries news with
// them and claims the failure of those that do not answer.
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

// Observer runs beside the controller and does its talking.
type Observer struct {
	options Options

	mu       sync.Mutex
	peers    map[string]*peer
	lastBeat time.Time
	// deafRounds belongs to Run alone.
	deafRounds int
}

// Options are what an observer depends on.
type Options struct {
	Cluster    string
	Controller *controller.Controller
	Client     *http.Client
	Recorder   eelgrasspoint.Recorder
	// Witness moves the event clock past a peer's.
	Witness func(time.Time)
	Now     func() time.Time
	Meter   *meter.Meter
	Clock   eelgrasspoint.Clock
	// Refreshed is called after each round of heartbeats.
	Refreshed func(time.Time)
}

// peer is what the observer remembers of one member.
type peer struct {
	failures   int
	mismatches int
	// behind is set while the member has an older configuration: it may not know this node.
	behind   bool
	syncedAt time.Time
}

// Bounds of the repair of differing views.
const (
	mismatchesToSync = 4
	syncInterval     = 15 * time.Second
	manySyncInterval = 2 * time.Second
	flushDelay       = 40 * time.Millisecond
	witnesses        = 2
)

// New returns an observer.
func New(options Options) *Observer {
	return &Observer{options: options, peers: make(map[string]*peer), lastBeat: options.Clock()}
}

// Run sends heartbeats until the context ends.
func (o *Observer) Run(ctx context.Context) {
	ticker := time.NewTicker(eelgrasspoint.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.round(ctx)
		case <-o.options.Controller.NewsReady():
			go o.flush(ctx)
		}
	}
}

// Flush tells the observed members the present news at once and waits for them.
func (o *Observer) Flush(ctx context.Context) {
	view := o.options.Controller.View()
	var group sync.WaitGroup
	for _, m := range view.Observed {
		group.Go(func() { _ = o.converse(ctx, view, m) })
	}
	group.Wait()
}

func (o *Observer) flush(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(flushDelay):
	}
	o.Flush(ctx)
}

// round sends one heartbeat to each observed member and judges who failed.
func (o *Observer) round(ctx context.Context) {
	view := o.options.Controller.View()
	o.retryFailed(ctx, view)
	paused := o.noticePause()
	var group sync.WaitGroup
	answers := make([]bool, len(view.Observed))
	for i, m := range view.Observed {
		group.Go(func() { answers[i] = o.converse(ctx, view, m) == nil })
	}
	group.Wait()
	if ctx.Err() != nil {
		return
	}
	// The process may have stood still during the round as well.
	paused = o.noticePause() || paused
	o.refresh(paused, len(answers) == 0 || slices.Contains(answers, true))
	if paused {
		return
	}
	o.judge(ctx, view, answers)
}

// failedRetries is how many failed members all nodes together try in one round.
const failedRetries = 8

// retryFailed sends a message to a member that failed, now and then: one that starts again while
// the store is down knows nobody, and nobody observes it.
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
	share := float64(failedRetries) / float64(max(1, alive))
	for _, i := range rand.Perm(len(failed)) {
		if share <= 0 || rand.Float64() >= share {
			return
		}
		share--
		go func() { _ = o.converse(ctx, view, failed[i]) }()
	}
}

// refresh notes that the control state is of this moment. After a pause it is so only when a
// peer was heard and what it said is in force, or when nobody answers for some rounds.
func (o *Observer) refresh(paused, heard bool) {
	switch {
	case paused && !heard:
		o.deafRounds = deafRoundsAfterPause
	case heard:
		o.deafRounds = 0
	case o.deafRounds > 0:
		o.deafRounds--
	}
	if o.deafRounds > 0 {
		return
	}
	if o.options.Controller.WaitApplied() {
		o.options.Refreshed(o.options.Clock())
	}
}

// deafRoundsAfterPause is how many rounds without an answer a node waits after a pause before
// it takes itself for alone.
const deafRoundsAfterPause = 3

// noticePause reports whether this process stood still: then its peers did not fail.
func (o *Observer) noticePause() bool {
	now := o.options.Clock()
	paused := now.Sub(o.lastBeat) > 2*eelgrasspoint.HeartbeatInterval
	o.lastBeat = now
	return paused
}

// judge claims failures. A node that reaches nobody suspects itself first.
func (o *Observer) judge(ctx context.Context, view *eelgrasspoint.MembershipView, answers []bool) {
	var failed []eelgrasspoint.Member
	answered := 0
	for i, m := range view.Observed {
		switch {
		case answers[i]:
			answered++
			o.setFailures(m.Name, 0)
		default:
			o.options.Recorder.Record(eelgrasspoint.Event{
				Number: eelgrasspoint.EventPeerSilent, AvailabilityZone: m.AvailabilityZone, Detail: m.Name,
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
		o.claim(view, m)
	}
}

// claim leaves the judgment of another region's members to their own region.
func (o *Observer) claim(view *eelgrasspoint.MembershipView, m eelgrasspoint.Member) {
	o.setFailures(m.Name, 0)
	if m.Region != view.Self.Region {
		o.options.Controller.Submit(controller.RotateBridges{})
		return
	}
	o.options.Controller.Submit(controller.MarkFailed{Member: m})
}

// reachesOthers asks members that are not observed.
func (o *Observer) reachesOthers(ctx context.Context, view *eelgrasspoint.MembershipView) bool {
	asked := 0
	for _, m := range view.Members {
		if asked == witnesses {
			return false
		}
		if m.Name == view.Self.Name || !m.Alive() || contains(view.Observed, m.Name) {
			continue
		}
		asked++
		if o.converse(ctx, view, m) == nil {
			return true
		}
	}
	// Nobody else is left to ask.
	return asked == 0
}

// converse exchanges one message each way.
func (o *Observer) converse(ctx context.Context, view *eelgrasspoint.MembershipView, m eelgrasspoint.Member) error {
	ctx, cancel := context.WithTimeout(ctx, eelgrasspoint.HeartbeatTimeout)
	defer cancel()
	o.options.Meter.CountExchange("Converse")
	client := o.client(m)
	response, err := client.Converse(ctx, o.message(view, m.Name))
	if err != nil {
		o.options.Client.CloseIdleConnections()
		return err
	}
	o.options.Witness(time.Unix(0, int64(response.GetWall())))
	if members, _ := translator.Members(response.GetNews()); len(members) > 0 {
		o.options.Controller.Submit(controller.MergeMembers{Members: members})
	}
	if response.GetRevision() > view.Revision {
		o.PullConfiguration(ctx, m, view.Revision)
	}
	if o.setBehind(m.Name, response.GetRevision() < view.Revision) {
		// It can fetch what it lacks only from a node that it knows.
		_, err = client.Converse(ctx, o.message(view, m.Name))
	}
	o.compareDigest(ctx, view, m, response)
	return err
}

func (o *Observer) message(view *eelgrasspoint.MembershipView, to string) *schema.ConverseRequest {
	news := view.UpdatesAt(o.options.Now())
	if o.isBehind(to) {
		news = append([]eelgrasspoint.Member{view.Self}, news...)
	}
	return &schema.ConverseRequest{
		Cluster:  o.options.Cluster,
		From:     view.Self.Name,
		Revision: view.Revision,
		Digest:   view.Digest,
		News:     translator.MemberMessages(news),
		Wall:     uint64(o.options.Now().UnixNano()),
	}
}

// PullConfiguration fetches the configuration of a member if its revision is higher than after.
func (o *Observer) PullConfiguration(ctx context.Context, m eelgrasspoint.Member, after uint64) {
	o.options.Meter.CountExchange("Configuration")
	response, err := o.client(m).Configuration(ctx, &schema.ConfigurationRequest{AfterRevision: after})
	if err != nil || response.GetConfiguration() == nil {
		return
	}
	o.options.Controller.Submit(controller.ReplaceConfiguration{Configuration: translator.Configuration(response)})
}

// compareDigest repairs views that stay different after the news is out.
func (o *Observer) compareDigest(ctx context.Context, view *eelgrasspoint.MembershipView, m eelgrasspoint.Member, response *schema.ConverseResponse) {
	many := max(len(view.News), len(response.GetNews())) >= eelgrasspoint.MaxUpdatesPerMessage
	quiet := len(view.News) == 0 && onlySelf(response)
	switch {
	case response.GetDigest() == view.Digest:
		o.setMismatches(m.Name, 0)
	case many && o.syncDue(m.Name, 0, manySyncInterval):
		// More than heartbeats carry in time, as when all start at once.
		o.SyncMembers(ctx, m)
	case quiet && o.syncDue(m.Name, mismatchesToSync, syncInterval):
		o.SyncMembers(ctx, m)
	}
}

// onlySelf reports whether an answer has no news but the sender's own entry, which it adds while
// the views differ.
func onlySelf(response *schema.ConverseResponse) bool {
	for _, m := range response.GetNews() {
		if m.GetName() != response.GetFrom() {
			return false
		}
	}
	return true
}

// SyncMembers reconciles this node's view of the members with that of another node. It reports
// whether the other answered.
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

// newerThan names the members of own that the others lack or have in an older version.
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
