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

// runsOf counts the runs of a request on all backend servers.
func runsOf(s *simulator.Simulator, id string) int {
	runs := 0
	for _, n := range s.Nodes {
		runs += n.Backend.Runs()[id]
	}
	return runs
}

// TestHedgeWithinAttempts shows that a hedge counts as one of the attempts that a route allows.
func TestHedgeWithinAttempts(t *testing.T) {
	cases := []struct {
		name  string
		most  uint32
		runs  int
		hedge bool
	}{
		{"one attempt", 1, 1, true},
		{"two attempts", 2, 2, true},
		{"no hedges", 2, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := simulator.New(simulator.Options{Shape: quickNetwork, StoreRegion: "almaty"})
				defer s.Close()
				slow := backend.Behavior{ServiceTime: 500 * time.Millisecond}
				p := &pair{Simulator: s}
				p.entry = s.AddNode("almaty", "almaty-a", "vitrine", 4, slow)
				p.exit = s.AddNode("almaty", "almaty-b", "vitrine", 4, slow)
				time.Sleep(3 * time.Second)
				document := simulator.Workshop()
				for i := range document.Routes {
					if document.Routes[i].Name == "catalogue" {
						document.Routes[i].Hedge = c.hedge
						document.Routes[i].MaxAttempts = c.most
					}
				}
				s.Apply(t.Context(), p.entry, document)
				time.Sleep(time.Second)
				p.client = s.Client()
				defer p.client.CloseIdleConnections()
				e := p.send(p.entry, http.MethodGet, "/catalogue/1", "b", nil)
				assert.Equal(t, e.status, http.StatusOK)
				time.Sleep(time.Second)
				assert.Equal(t, runsOf(s, "b"), c.runs)
			})
		})
	}
}

// TestStartsKnowingTheServers shows that a node which starts again serves through the others as
// soon as it has a configuration, though what they announced is no longer news.
func TestStartsKnowingTheServers(t *testing.T) {
	withCrew(t, 8, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		s.Apply(t.Context(), s.Nodes[0], simulator.Workshop())
		time.Sleep(20 * time.Second)
		n := s.Nodes[3]
		n.KillBackend()
		n.KillNode()
		time.Sleep(time.Second)
		n.StartNode()
		p := &pair{Simulator: s, client: s.Client()}
		defer p.client.CloseIdleConnections()
		var e end
		took := until(5*time.Second, func() bool {
			e = p.send(n, http.MethodGet, "/catalogue/1", "b", nil)
			return e.status == http.StatusOK
		})
		assert.Assert(t, took < time.Second, "served after %v: %+v", took, e)
		assert.Equal(t, e.outcome, eelgrasspoint.Answered.String())
	})
}

// TestStartWhileTheStoreIsDown shows that nodes which start again while the store is down get the
// configuration from those that still have it.
func TestStartWhileTheStoreIsDown(t *testing.T) {
	withCrew(t, 12, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		s.Apply(t.Context(), s.Nodes[0], simulator.Workshop())
		time.Sleep(30 * time.Second)
		s.Platform.SetFaults(platform.Faults{Down: true})
		for _, n := range s.Nodes[4:] {
			n.KillNode()
		}
		time.Sleep(2 * time.Second)
		for _, n := range s.Nodes[4:] {
			n.StartNode()
		}
		took := until(20*time.Second, everywhere(s, func(n *simulator.Node) bool { return n.Runner.View().Revision > 0 }))
		assert.Assert(t, took < 3*time.Second, "all have a configuration after %v", took)
	})
}

// TestLostAnswersAreNoCrash shows that a request whose answers were lost at several backend
// servers, while none of them crashed, is not taken for the cause of crashes.
func TestLostAnswersAreNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := simulator.New(simulator.Options{Shape: quickNetwork, StoreRegion: "almaty"})
		defer s.Close()
		p := &pair{Simulator: s}
		drop := backend.Behavior{Drop: true}
		p.entry = s.AddNode("almaty", "almaty-a", "vitrine", 4, drop)
		p.exit = s.AddNode("almaty", "almaty-b", "vitrine", 4, drop)
		time.Sleep(3 * time.Second)
		s.Apply(t.Context(), p.entry, simulator.Workshop())
		time.Sleep(time.Second)
		p.client = s.Client()
		defer p.client.CloseIdleConnections()
		for range 6 {
			p.send(p.entry, http.MethodGet, "/catalogue/1", "b", nil)
		}
		for _, n := range s.Nodes {
			n.Backend.SetBehavior(backend.Behavior{})
		}
		time.Sleep(200 * time.Millisecond)
		// What failed lately is held back for a while, but nothing is quarantined.
		for range 5 {
			e := p.send(p.entry, http.MethodGet, "/catalogue/1", "b", nil)
			assert.Assert(t, e.reason != "Quarantined", "%+v", e)
		}
	})
}

// TestRouteGoneMeanwhile sends a request through a node that has not heard yet that its route was
// removed, or leads elsewhere, to one that has.
func TestRouteGoneMeanwhile(t *testing.T) {
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
				response := p.Commit(t.Context(), p.exit, c.change)
				assert.Equal(t, response.GetResult(), schema.ApplyResult_APPLY_RESULT_ACCEPTED, "%v", response)
				assert.Assert(t, p.entry.Runner.View().Revision < response.GetRevision())
				e := p.book("b", nil)
				assert.Equal(t, e.status, c.status, "%+v", e)
				assert.Equal(t, e.reason, c.reason)
				assert.Equal(t, p.exit.Backend.Runs()["b"], 0)
			})
		})
	}
}
