package runner

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/state/publisher"
	"eelgrasspoint/transport/timer"
)

// Back-off after failed reads of the configuration, before jitter.
const (
	minSourceBackoff = 200 * time.Millisecond
	maxSourceBackoff = time.Second
)

// polledSource polls the row of the configuration that operators change through the API. Updates from
// peers normally arrive earlier. If they are lost, the next poll follows after at most 1.5 times
// PollInterval.
type polledSource struct {
	publisher *publisher.Publisher
	sleep     func(ctx context.Context, interval time.Duration)
	clock     eelgrasspoint.Clock
	// hasRead is set after the first successful read.
	hasRead bool
}

// Next implements eelgrasspoint.Source.
func (s *polledSource) Next(ctx context.Context) (eelgrasspoint.Configuration, error) {
	if s.hasRead {
		s.sleep(ctx, eelgrasspoint.PollInterval)
	}
	startedAt := s.clock()
	published, err := s.publisher.Read(ctx)
	s.hasRead = s.hasRead || err == nil
	published.Configuration.Provenance = eelgrasspoint.Provenance{Origin: eelgrasspoint.StoreScan, Took: s.clock().Sub(startedAt)}
	return published.Configuration, err
}

// Times of a node that follows the changes of the operators.
const (
	// aloneChangesWait is the longest wait for changes of a node that waits only as long as it doesn't hear of others, or has not
	// read what they have.
	aloneChangesWait = time.Second
	// selectionInterval is the mean pause between two checks of whether the node has to read changes itself.
	selectionInterval = 100 * time.Millisecond
	// askTimeout bounds the question to the selected nodes before the node reads changes itself.
	askTimeout = eelgrasspoint.HeartbeatTimeout / 2
)

// changesWait returns how long the source may wait for the next change in one call. A node can't tell a call whose
// response will never come from one without changes, so the nodes take turns to begin a new one. The node that learns of
// a change tells the others.
func (r *Runner) changesWait() time.Duration {
	view := r.controller.View()
	turn := r.untilTurn(view)
	switch {
	case r.selector.Selects(view):
		return turn
	case r.selector.Alone(view) || r.lacksEpoch(view):
		return min(turn, aloneChangesWait)
	default:
		return 0
	}
}

// untilTurn returns the time until the node's next turn among the nodes of its region.
func (r *Runner) untilTurn(view *eelgrasspoint.MembershipView) time.Duration {
	rank, nodes := 0, 0
	for _, m := range view.Members {
		if !m.Alive() || m.Region != view.Self.Region {
			continue
		}
		if m.Name < view.Self.Name {
			rank++
		}
		nodes++
	}
	return r.staggerer.Wait(r.options.Clock(), rank, nodes)
}

// awaitTurn waits until the node has to read changes itself: now, if it is selected or may miss the changes of others, else
// in its turn. Each change is a whole configuration, so that the copies for all nodes would fill a slow link.
func (r *Runner) awaitTurn(ctx context.Context) {
	if r.options.Source == nil {
		return
	}
	turnAt := r.options.Clock().Add(r.untilTurn(r.controller.View()))
	for ctx.Err() == nil && !r.readsChanges(ctx) && r.options.Clock().Before(turnAt) {
		r.sleepJittered(ctx, selectionInterval)
	}
}

// readsChanges reports whether the node has to read changes itself, out of turn. If it may miss the changes of others, it asks the
// selected nodes first.
func (r *Runner) readsChanges(ctx context.Context) bool {
	view := r.controller.View()
	if r.lacksEpoch(view) || r.selector.Selects(view) {
		return true
	}
	return r.selector.Alone(view) && !r.askSelected(ctx, view)
}

// lacksEpoch reports whether the node has read no configuration yet, or none of the epoch that is in force.
func (r *Runner) lacksEpoch(view *eelgrasspoint.MembershipView) bool {
	read := r.epoch.Load()
	return read == nil || view.Revision.Epoch > *read
}

// tellsOfChanges returns the members that this node is to tell of changes, where nodes wait for them.
func (r *Runner) tellsOfChanges(view *eelgrasspoint.MembershipView) []eelgrasspoint.Member {
	if r.options.Source == nil {
		return nil
	}
	return r.selector.Told(view)
}

// askSelected asks the selected nodes for their configuration, and reports whether one has answered.
func (r *Runner) askSelected(ctx context.Context, view *eelgrasspoint.MembershipView) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	askedAt := r.options.Clock()
	selected := r.selector.Selected(view)
	answers := make(chan bool, len(selected))
	for _, m := range selected {
		go func() { answers <- r.fetcher.Ask(ctx, m) }()
	}
	for range selected {
		if <-answers {
			r.selector.Answered(askedAt)
			return true
		}
	}
	return false
}

// followConfiguration waits for published configurations until ctx ends, and submits each one to the controller, which
// reconciles it with the one in force.
func (r *Runner) followConfiguration(ctx context.Context) {
	backoff := minSourceBackoff
	var previous eelgrasspoint.Configuration
	for ctx.Err() == nil {
		configuration, err := r.readConfiguration(ctx)
		if err != nil && !r.recordUsable(err) {
			r.recordStoreDown(ctx, err)
			r.sleepJittered(ctx, backoff)
			r.awaitTurn(ctx)
			backoff = min(2*backoff, maxSourceBackoff)
			continue
		}
		backoff = minSourceBackoff
		r.holder.MarkRead(r.options.Clock())
		r.recordStoreBack()
		if !configuration.Revision.IsZero() {
			if configuration.Revision != previous.Revision || configuration.Version != previous.Version {
				r.observeRead(&configuration.Provenance)
			}
			previous = configuration
			r.controller.Replace(configuration)
			r.followEpoch(ctx, configuration.Revision.Epoch)
		}
		r.awaitTurn(ctx)
	}
}

// readConfiguration waits for a published configuration, and measures how long the steps took.
func (r *Runner) readConfiguration(ctx context.Context) (eelgrasspoint.Configuration, error) {
	call := timer.New()
	configuration, err := r.source.Next(call.Context(ctx))
	if took, ok := call.Durations(); ok {
		provenance := &configuration.Provenance
		provenance.Read, provenance.Decode = took.Answer, took.Rest
		if provenance.Origin == eelgrasspoint.StoreScan {
			provenance.Read = took.Call
		}
	}
	return configuration, err
}

// observeRead observes how long the steps of a read took, if they are known.
func (r *Runner) observeRead(provenance *eelgrasspoint.Provenance) {
	if provenance.Read == 0 && provenance.Decode == 0 {
		return
	}
	r.meter.ObserveConfiguration(eelgrasspoint.StepRead, provenance.Read)
	r.meter.ObserveConfiguration(eelgrasspoint.StepDecode, provenance.Decode)
}

// observeApply observes the time from the submission of a configuration until it was published.
func (r *Runner) observeApply(took time.Duration) {
	r.meter.ObserveConfiguration(eelgrasspoint.StepApply, took)
}

// readAge returns the time since the configuration was last read from the table service. It reports false before the first
// read.
func (r *Runner) readAge() (time.Duration, bool) {
	at := r.holder.ReadAt()
	return r.options.Clock().Sub(at), !at.IsZero()
}

// recordUsable records what an error says of the configuration that was returned with it. It reports false for an error
// without a configuration.
func (r *Runner) recordUsable(err error) bool {
	var invalid *eelgrasspoint.InvalidError
	var unread *eelgrasspoint.UnreadError
	var unreadableEpoch *eelgrasspoint.EpochUnreadableError
	usable := false
	if errors.As(err, &unread) {
		r.record(eelgrasspoint.EventDefinitionUnread, unread.Error())
		usable = true
	}
	if errors.As(err, &invalid) {
		// The configuration may contain changes of other rows.
		r.record(eelgrasspoint.EventBadInput, "invalid configuration: "+invalid.Error())
		usable = true
	}
	if errors.As(err, &unreadableEpoch) {
		r.record(eelgrasspoint.EventEpochUnreadable, unreadableEpoch.Error())
		usable = true
	}
	return usable
}

// maxConnections returns the number of connections that a backend server of the service accepts.
func (r *Runner) maxConnections(service string) uint32 {
	if connections := r.serviceConfiguration(service).Connections; connections > 0 {
		return connections
	}
	return eelgrasspoint.DefaultConnections
}

// serviceConfiguration returns the configuration of a service.
func (r *Runner) serviceConfiguration(service string) eelgrasspoint.Service {
	return r.holder.Load().Configuration.Document.Service(service)
}

// readinessHandler returns the handler of ReadyAddress.
func (r *Runner) readinessHandler() http.Handler {
	if r.options.Readiness == nil {
		return http.NotFoundHandler()
	}
	return r.options.Readiness(r.ready)
}

// ready reports whether the node accepts requests of callers, and records a change.
func (r *Runner) ready() bool {
	ready := !r.stopping.Load() && !r.revision().IsZero()
	if r.wasReady.Swap(ready) != ready {
		r.record(eelgrasspoint.EventReadinessChanged, fmt.Sprintf("ready: %v, stopping: %v, revision %v", ready, r.stopping.Load(), r.revision()))
	}
	return ready
}
