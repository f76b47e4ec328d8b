// Package fetcher fetches configurations from other nodes.
package fetcher

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/controller"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/protocol/translator"
	"eelgrasspoint/state/meter"
)

// Fetcher fetches configurations. Concurrent calls share one fetch, so that requests that arrive while the
// node is behind do not slow down the configuration that they wait for. It is safe for concurrent use.
type Fetcher struct {
	options Options

	mu sync.Mutex
	// latest is the fetch that started last, or nil.
	latest *fetch
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
}

// New returns a fetcher.
func New(options Options) *Fetcher { return &Fetcher{options: options} }

// Fetch fetches the configuration of a member, unless a revision higher than after is in force. It waits until
// the configuration is in force, the fetch fails, or ctx ends. The fetch goes on when ctx ends, because
// later requests need the configuration, too.
func (f *Fetcher) Fetch(ctx context.Context, m eelgrasspoint.Member, after uint64) {
	for f.options.Controller.Configuration().Revision <= after {
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

// Start fetches the configuration of a member without waiting for it.
func (f *Fetcher) Start(m eelgrasspoint.Member, after uint64) {
	if f.options.Controller.Configuration().Revision <= after {
		f.startOrJoin(m, after)
	}
}

// startOrJoin returns the latest fetch, or starts another if it has ended, or if it is from another member
// and has taken HeartbeatTimeout: that member may be gone.
func (f *Fetcher) startOrJoin(m eelgrasspoint.Member, after uint64) (current *fetch, started bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	if f.latest != nil && !f.latest.ended() && !f.latest.overdue(m, now) {
		return f.latest, false
	}
	f.latest = &fetch{address: m.PeerAddress, startedAt: now, done: make(chan struct{})}
	go f.run(f.latest, m, after)
	return f.latest, true
}

func (f *fetch) ended() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}

// overdue reports whether a fetch from m should not wait for this one.
func (f *fetch) overdue(m eelgrasspoint.Member, now time.Time) bool {
	return f.address != m.PeerAddress && now.Sub(f.startedAt) >= eelgrasspoint.HeartbeatTimeout
}

func (f *Fetcher) run(current *fetch, m eelgrasspoint.Member, after uint64) {
	defer close(current.done)
	ctx, cancel := context.WithTimeout(context.Background(), eelgrasspoint.ConfigurationTimeout)
	defer cancel()
	f.options.Meter.CountExchange("Configuration")
	client := schema.NewExchangeProtobufClient("http://"+m.PeerAddress.String(), f.options.Client)
	response, err := client.Configuration(ctx, &schema.ConfigurationRequest{AfterRevision: after})
	if err != nil {
		f.recordFailure(m, after, err)
		return
	}
	if response.GetConfiguration() == nil {
		return
	}
	f.options.Controller.Submit(controller.ReplaceConfiguration{Configuration: translator.Configuration(response)})
	f.options.Controller.WaitApplied()
}

func (f *Fetcher) recordFailure(m eelgrasspoint.Member, after uint64, err error) {
	f.options.Recorder.Record(eelgrasspoint.Event{
		Number: eelgrasspoint.EventConfigurationNotFetched, AvailabilityZone: m.AvailabilityZone,
		Detail: fmt.Sprintf("from %s at %v, later than revision %d: %v", m.Name, m.PeerAddress, after, err),
	})
}
