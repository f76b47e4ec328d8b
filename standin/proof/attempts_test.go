package proof

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/standin/backend"
	"eelgrasspoint/standin/platform"
	"eelgrasspoint/standin/simulator"
)

// countRuns counts the runs of a request at all backend servers.
func countRuns(s *simulator.Simulator, id string) int {
	runs := 0
	for _, n := range s.Nodes {
		runs += n.Backend.Runs()[id]
	}
	return runs
}

// TestHedgeCountsAsAttempt guards against a hedge beyond the attempts that a route allows: a slow request
// on a route with hedging and one attempt would run twice.
func TestHedgeCountsAsAttempt(t *testing.T) {
	cases := []struct {
		name        string
		maxAttempts uint32
		runs        int
		hedge       bool
	}{
		{"one attempt", 1, 1, true},
		{"two attempts", 2, 2, true},
		{"no hedges", 2, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := simulator.New(simulator.Options{Shape: unlimitedNetwork, StoreRegion: "almaty"})
				defer s.Close()
				slow := backend.Behavior{ServiceTime: 500 * time.Millisecond}
				p := &pair{Simulator: s}
				p.entry = s.AddNode("almaty", "almaty-a", "vitrine", 4, slow)
				p.exit = s.AddNode("almaty", "almaty-b", "vitrine", 4, slow)
				time.Sleep(3 * time.Second)
				document := simulator.ExampleDocument()
				for i := range document.Routes {
					if document.Routes[i].Name == "catalogue" {
						document.Routes[i].Hedge = c.hedge
						document.Routes[i].MaxAttempts = c.maxAttempts
					}
				}
				s.ApplyDocument(t.Context(), p.entry, document)
				time.Sleep(time.Second)
				p.client = s.HTTPClient()
				defer p.client.CloseIdleConnections()
				got := p.send(p.entry, http.MethodGet, "/catalogue/1", "b", nil)
				assert.Equal(t, got.status, http.StatusOK)
				time.Sleep(time.Second)
				assert.Equal(t, countRuns(s, "b"), c.runs)
			})
		})
	}
}

// TestRestartedNodeServesWithinASecond guards against a restarted node that has a configuration but
// refuses requests, since its view lacks the other nodes' backend servers: these were announced long
// before the restart, so gossip no longer repeats their announcements.
func TestRestartedNodeServesWithinASecond(t *testing.T) {
	withNodes(t, 8, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		s.ApplyDocument(t.Context(), s.Nodes[0], simulator.ExampleDocument())
		time.Sleep(20 * time.Second)
		n := s.Nodes[3]
		n.KillBackend()
		n.KillNode()
		time.Sleep(time.Second)
		n.StartNode()
		p := &pair{Simulator: s, client: s.HTTPClient()}
		defer p.client.CloseIdleConnections()
		var got callResult
		took := waitUntil(5*time.Second, func() bool {
			got = p.send(n, http.MethodGet, "/catalogue/1", "b", nil)
			return got.status == http.StatusOK
		})
		assert.Assert(t, took < time.Second, "served after %v: %+v", took, got)
		assert.Equal(t, got.outcome, eelgrasspoint.Answered.String())
	})
}

// TestRestartWhileStoreIsDown guards against nodes that restart while the store is down and stay without
// a configuration, although other nodes still have it.
func TestRestartWhileStoreIsDown(t *testing.T) {
	withNodes(t, 12, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		s.ApplyDocument(t.Context(), s.Nodes[0], simulator.ExampleDocument())
		time.Sleep(30 * time.Second)
		s.Platform.SetFaults(platform.Faults{Down: true})
		for _, n := range s.Nodes[4:] {
			n.KillNode()
		}
		time.Sleep(2 * time.Second)
		for _, n := range s.Nodes[4:] {
			n.StartNode()
		}
		took := waitUntil(20*time.Second, onAllNodes(s, func(n *simulator.Node) bool { return n.Runner.View().Revision.Version > 0 }))
		assert.Assert(t, took < 3*time.Second, "all nodes have a configuration after %v", took)
	})
}

// TestLostAnswersDoNotQuarantine guards against the quarantine of a request whose answers were lost at
// several backend servers, while none of them crashed.
func TestLostAnswersDoNotQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := simulator.New(simulator.Options{Shape: unlimitedNetwork, StoreRegion: "almaty"})
		defer s.Close()
		p := &pair{Simulator: s}
		drop := backend.Behavior{Drop: true}
		p.entry = s.AddNode("almaty", "almaty-a", "vitrine", 4, drop)
		p.exit = s.AddNode("almaty", "almaty-b", "vitrine", 4, drop)
		time.Sleep(3 * time.Second)
		s.ApplyDocument(t.Context(), p.entry, simulator.ExampleDocument())
		time.Sleep(time.Second)
		p.client = s.HTTPClient()
		defer p.client.CloseIdleConnections()
		for range 6 {
			p.send(p.entry, http.MethodGet, "/catalogue/1", "b", nil)
		}
		for _, n := range s.Nodes {
			n.Backend.SetBehavior(backend.Behavior{})
		}
		time.Sleep(200 * time.Millisecond)
		// A request that failed recently may be refused for a while, but not as quarantined.
		for range 5 {
			got := p.send(p.entry, http.MethodGet, "/catalogue/1", "b", nil)
			assert.Assert(t, got.reason != "Quarantined", "%+v", got)
		}
	})
}

// TestEntryNodeWithStaleRoute guards against a request that runs at a service to which its route no longer
// leads: the exit node has received the change that removes the route or moves it to another
// service, the entry node has not.
func TestEntryNodeWithStaleRoute(t *testing.T) {
	cases := []struct {
		name   string
		change *schema.ApplyRequest
		status int
		reason string
	}{
		{"removed", &schema.ApplyRequest{Remove: &schema.Removal{Routes: []string{"bookings"}}}, http.StatusNotFound, "NoRoute"},
		{"moved", &schema.ApplyRequest{Put: &schema.Document{Routes: []*schema.Route{
			{Name: "bookings", PathPrefix: "/bookings", Service: "vitrine", Kind: "booking"},
		}}}, http.StatusOK, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withPair(t, backend.Behavior{}, func(t *testing.T, p *pair) {
				response := p.Apply(t.Context(), p.exit, c.change)
				assert.Equal(t, response.GetResult(), schema.ApplyResult_APPLY_RESULT_ACCEPTED, "%v", response)
				assert.Assert(t, p.entry.Runner.View().Revision.Version < response.GetRevision())
				got := p.sendBooking("b", nil)
				assert.Equal(t, got.status, c.status, "%+v", got)
				assert.Equal(t, got.reason, c.reason)
				assert.Equal(t, p.exit.Backend.Runs()["b"], 0)
			})
		})
	}
}

// TestStaleRouteWhileExitNodeFails guards against a request that ends without an answer, or only at its
// deadline: its attempt was refused as StaleRoute, and the exit node then failed before it could send its
// newer configuration.
func TestStaleRouteWhileExitNodeFails(t *testing.T) {
	// The refusal arrives at the entry node after refusedAfter; the request for the configuration leaves then.
	const refusedAfter, timeout = 7 * time.Millisecond, time.Second
	cases := []struct {
		name string
		fail func(p *pair)
	}{
		{"gone", func(p *pair) { p.exit.KillNode() }},
		{"silent", func(p *pair) { p.Network.Blackhole(p.exit.Host) }},
		{"connections stalled", func(p *pair) { p.Network.StallConnections(p.exit.Host) }},
		{"connections reset", func(p *pair) { p.Network.Reset(p.exit.Host) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withPair(t, backend.Behavior{}, func(t *testing.T, p *pair) {
				response := p.Apply(t.Context(), p.exit, &schema.ApplyRequest{Remove: &schema.Removal{Routes: []string{"bookings"}}})
				assert.Equal(t, response.GetResult(), schema.ApplyResult_APPLY_RESULT_ACCEPTED, "%v", response)
				failed := make(chan struct{})
				go func() {
					defer close(failed)
					time.Sleep(refusedAfter + time.Millisecond/2)
					c.fail(p)
				}()
				got := p.sendBooking("b", http.Header{eelgrasspoint.HeaderTimeout: {timeout.String()}})
				<-failed
				assert.Equal(t, got.status, http.StatusServiceUnavailable, "%+v", got)
				assert.Equal(t, got.reason, eelgrasspoint.StaleRoute.String())
				assert.Assert(t, got.took < timeout/2, "answered after %v", got.took)
				assert.Equal(t, p.exit.Backend.Runs()["b"], 0)
			})
		})
	}
}
