package proof

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/standin/backend"
	"eelgrasspoint/standin/simulator"
)

// withVitrine runs a check over three nodes with backend servers of the service vitrine and one entry node without.
func withVitrine(t *testing.T, check func(t *testing.T, s *simulator.Simulator, servers []*simulator.Node, entry *simulator.Node)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := simulator.New(simulator.Options{Shape: unlimitedNetwork, StoreRegion: "almaty"})
		defer s.Close()
		var servers []*simulator.Node
		for _, zone := range []string{"almaty-a", "almaty-a", "almaty-b"} {
			servers = append(servers, s.AddNode("almaty", zone, "vitrine", 8, backend.Behavior{ServiceTime: 20 * time.Millisecond}))
		}
		entry := s.AddNode("almaty", "almaty-b", "bench", 4, backend.Behavior{})
		time.Sleep(3 * time.Second)
		s.ApplyDocument(t.Context(), entry, simulator.ExampleDocument())
		time.Sleep(time.Second)
		check(t, s, servers, entry)
	})
}

// sendPages sends pages to all nodes in turn, one after each interval, and returns the number of those not answered.
func sendPages(t *testing.T, s *simulator.Simulator, entries []*simulator.Node, count int, interval time.Duration) int {
	t.Helper()
	client := s.HTTPClient()
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	failed := 0
	var sent sync.WaitGroup
	for i := range count {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, entries[i%len(entries)].URL("/catalogue"), http.NoBody)
		assert.NilError(t, err)
		request.Header.Set(eelgrasspoint.HeaderRequestID, fmt.Sprint("page-", i))
		sent.Go(func() {
			response, err := client.Do(request)
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
			}
			if err != nil || response.StatusCode != http.StatusOK {
				mu.Lock()
				failed++
				mu.Unlock()
			}
		})
		time.Sleep(interval)
	}
	sent.Wait()
	return failed
}

// TestLimitHoldsForAllNodesTogether guards against a backend server that gets its limit from each of the nodes.
func TestLimitHoldsForAllNodesTogether(t *testing.T) {
	const limit, duration, interval = 6, 8 * time.Second, 10 * time.Millisecond
	withVitrine(t, func(t *testing.T, s *simulator.Simulator, servers []*simulator.Node, _ *simulator.Node) {
		limited := servers[0]
		limited.Backend.SetBehavior(backend.Behavior{ServiceTime: 20 * time.Millisecond, RateLimit: limit})
		assert.Equal(t, sendPages(t, s, s.Nodes, 100, interval), 0)
		before := len(limited.Backend.Runs())
		assert.Equal(t, sendPages(t, s, s.Nodes, int(duration/interval), interval), 0, "the other servers have room")
		got := len(limited.Backend.Runs()) - before
		assert.Assert(t, float64(got) <= 1.5*limit*duration.Seconds()+5, "%d requests in %v", got, duration)
		assert.Assert(t, float64(got) >= 0.5*limit*duration.Seconds(), "%d requests in %v: the limit allows more", got, duration)
	})
}

// TestLeavingServerGetsNoRequest guards against requests at a backend server whose answers say that it leaves, though it
// still announces itself as ready.
func TestLeavingServerGetsNoRequest(t *testing.T) {
	withVitrine(t, func(t *testing.T, s *simulator.Simulator, servers []*simulator.Node, _ *simulator.Node) {
		leaving := servers[0]
		leaving.Backend.SetBehavior(backend.Behavior{ServiceTime: 20 * time.Millisecond, Leaving: true})
		assert.Equal(t, sendPages(t, s, s.Nodes, 100, 10*time.Millisecond), 0)
		before := len(leaving.Backend.Runs())
		assert.Equal(t, sendPages(t, s, s.Nodes, 400, 10*time.Millisecond), 0)
		assert.Equal(t, len(leaving.Backend.Runs()), before)
	})
}
