// Package fetcher fetches configurations from other nodes.
package fetcher

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/controller"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/protocol/translator"
	"eelgrasspoint/state/meter"
)

// Fetcher fetches configurations. Concurrent calls share the fetch from a member, and few members are asked at
// once, so that requests that arrive while the node is behind do not slow down the configuration that they
// wait for. It is safe for concurrent use.
type Fetcher struct {
	options Options

	mu sync.Mutex
	// running holds the fetches that have not ended, oldest first.
	running []*fetch
	// later is the latest call of Start that found others running, or nil.
	later *laterStart
}

// laterStart is a call of Start to be made once a running fetch has ended.
type laterStart struct {
	member  eelgrasspoint.Member
	hasNews func() bool
}

// Options are the dependencies of a fetcher.
type Options struct {
	Controller *controller.Controller
	Client     *http.Client
	Recorder   eelgrasspoint.Recorder
	Meter      *meter.Meter
	Clock      eelgrasspoint.Clock
}

// fetch is one call to a member.
type fetch struct {
	address   netip.AddrPort
	startedAt time.Time
	// done is closed once the call has ended and its configuration is in force.
	done chan struct{}
	// answered is set before that if the member has answered.
	answered bool
}

// New returns a fetcher.
func New(options Options) *Fetcher { return &Fetcher{options: options} }

// Fetch fetches the configuration of a member if it has news, unless a revision
// higher than after is in force. It waits until
// the configuration is in force, the fetch fails, or ctx ends. The fetch goes on when ctx ends, because
// later requests need the configuration, too.
func (f *Fetcher) Fetch(ctx context.Context, m eelgrasspoint.Member, after eelgrasspoint.Revision) {
	for !f.options.Controller.Configuration().Revision.After(after) {
		current, started := f.startOrJoin(m, after)
		select {
		case <-current.done:
		case <-ctx.Done():
			return
		}
		if started {
			return
		}
	}
}

// Start fetches the configuration of a member without waiting for it. If it has to join a running fetch, which may bring an
// older one, the member is asked again after that, as long as hasNews reports that it has news for this node.
func (f *Fetcher) Start(m eelgrasspoint.Member, after eelgrasspoint.Revision, hasNews func() bool) {
	if f.options.Controller.Configuration().Revision.After(after) {
		return
	}
	if _, started := f.startOrJoin(m, after); started {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.later = &laterStart{member: m, hasNews: hasNews}
}

// Ask fetches the configuration of a member if it has news, and waits until that is in force. It reports whether the
// member has answered before ctx ends.
func (f *Fetcher) Ask(ctx context.Context, m eelgrasspoint.Member) bool {
	current, _ := f.startOrJoin(m, f.options.Controller.Configuration().Revision)
	select {
	case <-current.done:
		return current.answered && current.address == m.PeerAddress
	case <-ctx.Done():
		return false
	}
}

// startLater makes the call of Start that waited for a running fetch.
func (f *Fetcher) startLater() {
	f.mu.Lock()
	later := f.later
	f.later = nil
	f.mu.Unlock()
	if later != nil && later.hasNews() {
		f.Start(later.member, f.options.Controller.Configuration().Revision, later.hasNews)
	}
}

// maxPromptFetches is the number of fetches from which another is not started, without those that have taken
// HeartbeatTimeout: their members may be gone.
const maxPromptFetches = 2

// startOrJoin returns the running fetch from the member. If there is none, it starts one, or returns the one that
// started last if there are maxPromptFetches.
func (f *Fetcher) startOrJoin(m eelgrasspoint.Member, after eelgrasspoint.Revision) (current *fetch, started bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	prompt := 0
	for _, r := range f.running {
		if r.address == m.PeerAddress {
			return r, false
		}
		if now.Sub(r.startedAt) < eelgrasspoint.HeartbeatTimeout {
			prompt++
		}
	}
	if prompt >= maxPromptFetches {
		return f.running[len(f.running)-1], false
	}
	current = &fetch{address: m.PeerAddress, startedAt: now, done: make(chan struct{})}
	f.running = append(f.running, current)
	go f.run(current, m, after)
	return current, true
}

// end removes a fetch and lets those that wait for it go on.
func (f *Fetcher) end(ended *fetch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running = slices.DeleteFunc(f.running, func(r *fetch) bool { return r == ended })
	close(ended.done)
}

func (f *Fetcher) run(current *fetch, m eelgrasspoint.Member, after eelgrasspoint.Revision) {
	defer f.startLater()
	defer f.end(current)
	ctx, cancel := context.WithTimeout(context.Background(), eelgrasspoint.ConfigurationTimeout)
	defer cancel()
	f.options.Meter.CountExchange("Configuration")
	client := schema.NewExchangeProtobufClient("http://"+m.PeerAddress.String(), f.options.Client)
	packed, large := translator.RevisionMessage(after)
	response, err := client.Configuration(ctx, &schema.ConfigurationRequest{
		AfterRevision: packed, LargeAfterRevision: large, StateDigest: f.options.Controller.Configuration().StateDigest(),
	})
	if err != nil {
		f.recordFailure(m, after, err)
		return
	}
	current.answered = true
	if response.GetConfiguration() == nil {
		return
	}
	configuration := translator.Configuration(response)
	configuration.Provenance = eelgrasspoint.Provenance{
		Origin: eelgrasspoint.OtherNode, Node: m.Name, Took: f.options.Clock().Sub(current.startedAt),
	}
	f.options.Meter.ObserveConfiguration(eelgrasspoint.StepFetch, configuration.Provenance.Took)
	f.options.Controller.Replace(configuration)
}

func (f *Fetcher) recordFailure(m eelgrasspoint.Member, after eelgrasspoint.Revision, err error) {
	f.options.Recorder.Record(eelgrasspoint.Event{
		Number: eelgrasspoint.EventConfigurationNotFetched, AvailabilityZone: m.AvailabilityZone,
		Detail: fmt.Sprintf("from %s at %v, later than revision %v: %v", m.Name, m.PeerAddress, after, err),
	})
}
