package fetcher_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/controller"
	"eelgrasspoint/coordination/fetcher"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/state/holder"
	"eelgrasspoint/state/meter"
	"eelgrasspoint/state/recorder"
)

// member is a stand-in for another node, which answers each call for its configuration after a delay.
type member struct {
	schema.Exchange
	revision uint64
	delay    time.Duration
	calls    atomic.Int32
}

func (m *member) Configuration(ctx context.Context, _ *schema.ConfigurationRequest) (*schema.GetResponse, error) {
	m.calls.Add(1)
	select {
	case <-time.After(m.delay):
	case <-ctx.Done():
	}
	return &schema.GetResponse{Revision: m.revision, Configuration: &schema.Document{}}, nil
}

// network connects a fetcher to members in memory.
type network map[string]*member

func (n network) RoundTrip(r *http.Request) (*http.Response, error) {
	answered := make(chan *http.Response, 1)
	go func() {
		w := httptest.NewRecorder()
		schema.NewExchangeServer(n[r.URL.Host]).ServeHTTP(w, r)
		answered <- w.Result()
	}()
	select {
	case response := <-answered:
		return response, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

type fixture struct {
	fetcher    *fetcher.Fetcher
	controller *controller.Controller
}

// withFetcher runs check in virtual time with a fetcher whose node is at revision 1.
func withFetcher(t *testing.T, members network, check func(t *testing.T, f fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		r := recorder.New("self", time.Now, log)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := controller.New(controller.Options{
			Self: eelgrasspoint.Member{Name: "self"}, Recorder: r, Clock: time.Now,
			Holder:     holder.New(&eelgrasspoint.Snapshot{Configuration: &eelgrasspoint.Configuration{}}),
			SetBackend: func(*eelgrasspoint.BackendServer) {},
		})
		go c.Run(ctx)
		c.Submit(controller.ReplaceConfiguration{Configuration: eelgrasspoint.Configuration{Revision: eelgrasspoint.Revision{Version: 1}}})
		c.WaitApplied()
		check(t, fixture{controller: c, fetcher: fetcher.New(fetcher.Options{
			Controller: c, Client: &http.Client{Transport: members}, Recorder: r, Clock: time.Now,
			Meter: meter.New(meter.Source{}),
		})})
		time.Sleep(eelgrasspoint.ConfigurationTimeout)
	})
}

func at(address string) eelgrasspoint.Member {
	return eelgrasspoint.Member{Name: address, PeerAddress: netip.MustParseAddrPort(address)}
}

// TestSilentMemberHoldsUpNoOther guards against a node that waits for a member that is gone although another
// member has the configuration.
func TestSilentMemberHoldsUpNoOther(t *testing.T) {
	members := network{"10.0.0.1:1": {delay: time.Hour}, "10.0.0.2:1": {revision: 2}}
	withFetcher(t, members, func(t *testing.T, f fixture) {
		go f.fetcher.Fetch(t.Context(), at("10.0.0.1:1"), eelgrasspoint.Revision{Version: 1})
		time.Sleep(10 * time.Millisecond)
		start := time.Now()
		f.fetcher.Fetch(t.Context(), at("10.0.0.2:1"), eelgrasspoint.Revision{Version: 1})
		assert.Equal(t, f.controller.Configuration().Revision.Version, uint64(2))
		assert.Equal(t, time.Since(start), time.Duration(0))
	})
}

// TestFetchOutlivesItsCaller guards against a configuration that is thrown away, and asked for again, because the
// request that waited for it ended.
func TestFetchOutlivesItsCaller(t *testing.T) {
	members := network{"10.0.0.1:1": {revision: 2, delay: time.Second}}
	withFetcher(t, members, func(t *testing.T, f fixture) {
		var group sync.WaitGroup
		for range 20 {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), eelgrasspoint.HeartbeatTimeout)
				defer cancel()
				f.fetcher.Fetch(ctx, at("10.0.0.1:1"), eelgrasspoint.Revision{Version: 1})
			})
		}
		group.Wait()
		f.fetcher.Fetch(t.Context(), at("10.0.0.1:1"), eelgrasspoint.Revision{Version: 1})
		assert.Equal(t, f.controller.Configuration().Revision.Version, uint64(2))
		assert.Equal(t, members["10.0.0.1:1"].calls.Load(), int32(1))
	})
}

// TestFewMembersAreAskedAtOnce guards against as many copies of a large configuration on the node's link as there
// are members that have it, and against members that are gone and keep the node from asking others.
func TestFewMembersAreAskedAtOnce(t *testing.T) {
	members := network{"10.0.0.1:1": {delay: time.Hour}, "10.0.0.2:1": {delay: time.Hour}, "10.0.0.3:1": {revision: 2}}
	withFetcher(t, members, func(t *testing.T, f fixture) {
		go f.fetcher.Fetch(t.Context(), at("10.0.0.1:1"), eelgrasspoint.Revision{Version: 1})
		go f.fetcher.Fetch(t.Context(), at("10.0.0.2:1"), eelgrasspoint.Revision{Version: 1})
		time.Sleep(10 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		f.fetcher.Fetch(ctx, at("10.0.0.3:1"), eelgrasspoint.Revision{Version: 1})
		assert.Equal(t, members["10.0.0.3:1"].calls.Load(), int32(0))
		time.Sleep(eelgrasspoint.HeartbeatTimeout)
		f.fetcher.Fetch(t.Context(), at("10.0.0.3:1"), eelgrasspoint.Revision{Version: 1})
		assert.Equal(t, f.controller.Configuration().Revision.Version, uint64(2))
	})
}

// TestNewsDuringAFetchIsFetched guards against a node that stays at the configuration that a member had at the begin of a
// fetch, and does not ask for the one that the member told of during the fetch.
func TestNewsDuringAFetchIsFetched(t *testing.T) {
	const delay = 300 * time.Millisecond
	members := network{"10.0.0.1:1": {revision: 2, delay: delay}, "10.0.0.2:1": {revision: 2, delay: delay}, "10.0.0.3:1": {revision: 4}}
	withFetcher(t, members, func(t *testing.T, f fixture) {
		tells := func(revision uint64) func() bool {
			return func() bool { return f.controller.Configuration().HasNews(eelgrasspoint.Revision{Version: revision}, 0) }
		}
		f.fetcher.Start(at("10.0.0.1:1"), eelgrasspoint.Revision{Version: 1}, tells(2))
		f.fetcher.Start(at("10.0.0.2:1"), eelgrasspoint.Revision{Version: 1}, tells(2))
		time.Sleep(delay / 2)
		f.fetcher.Start(at("10.0.0.1:1"), eelgrasspoint.Revision{Version: 1}, tells(2))
		f.fetcher.Start(at("10.0.0.3:1"), eelgrasspoint.Revision{Version: 1}, tells(4))
		time.Sleep(delay)
		assert.Equal(t, f.controller.Configuration().Revision.Version, uint64(4))
		time.Sleep(delay)
		assert.Equal(t, members["10.0.0.1:1"].calls.Load()+members["10.0.0.2:1"].calls.Load(), int32(2), "members without news are asked again")
	})
}
