package proof

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/standin/backend"
	"eelgrasspoint/standin/platform"
	"eelgrasspoint/standin/simulator"
)

// A late registration is repeated every lateInterval for lateFor.
const (
	lateFor      = 8 * time.Second
	lateInterval = 20 * time.Millisecond
)

// sendLate sends late registrations of the backend server beside a node for lateFor, and bookings to that node, which
// prefers the server beside it. It returns the number of bookings that ran there.
func sendLate(p *pair, leaving *simulator.Node) int {
	ran := 0
	for i := range int(lateFor / lateInterval) {
		leaving.Register()
		id := "late" + strconv.Itoa(i)
		p.send(leaving, http.MethodPost, "/bookings", id, nil)
		ran += leaving.Backend.Runs()[id]
		time.Sleep(lateInterval)
	}
	return ran
}

// startingWith returns the nodes with the given one in front.
func startingWith(first *simulator.Node, nodes []*simulator.Node) []*simulator.Node {
	rest := slices.DeleteFunc(slices.Clone(nodes), func(n *simulator.Node) bool { return n == first })
	return append([]*simulator.Node{first}, rest...)
}

// roll stops all nodes in turn, first the given one, with the pause between two stops, and starts each again once it has ended.
// Each accepts requests for drainTime after the stop has begun.
func roll(s *simulator.Simulator, first *simulator.Node, pause time.Duration) {
	const drainTime = 2500 * time.Millisecond
	var restarts sync.WaitGroup
	for _, n := range startingWith(first, s.Nodes) {
		n.Settings.DrainTimeout = drainTime
		restarts.Go(func() {
			n.StopNode()
			n.StartNode()
		})
		time.Sleep(pause)
	}
	restarts.Wait()
}

// kill kills the processes of nodes at once, and starts the next ones half a second later.
func kill(nodes ...*simulator.Node) {
	for _, n := range nodes {
		n.KillNode()
	}
	time.Sleep(500 * time.Millisecond)
	for _, n := range nodes {
		n.StartNode()
	}
}

// TestDepartedServerStaysOutAfterRestart guards against a server that is in use again after it has left, since the
// process that acknowledged its departure has ended and a late registration reaches the next one.
func TestDepartedServerStaysOutAfterRestart(t *testing.T) {
	down := platform.Faults{Down: true}
	restoreLater := func(s *simulator.Simulator) {
		time.AfterFunc(time.Second, func() { s.Platform.SetFaults(platform.Faults{}) })
	}
	cases := []struct {
		name string
		// before is the state of the store at the deregistration.
		before platform.Faults
		end    func(s *simulator.Simulator, leaving *simulator.Node)
	}{
		{"killed", platform.Faults{}, func(_ *simulator.Simulator, n *simulator.Node) { kill(n) }},
		{"killed twice", platform.Faults{}, func(_ *simulator.Simulator, n *simulator.Node) {
			kill(n)
			kill(n)
		}},
		{"killed with all other nodes", platform.Faults{}, func(s *simulator.Simulator, _ *simulator.Node) { kill(s.Nodes...) }},
		{"killed while the store is down", platform.Faults{}, func(s *simulator.Simulator, n *simulator.Node) {
			s.Platform.SetFaults(down)
			kill(n)
		}},
		{"deregistered and killed while the store is down", down, func(_ *simulator.Simulator, n *simulator.Node) { kill(n) }},
		{"deregistered while the store is down, killed with all other nodes once it is back", down, func(s *simulator.Simulator, _ *simulator.Node) {
			s.Platform.SetFaults(platform.Faults{})
			time.Sleep(time.Second)
			kill(s.Nodes...)
		}},
		{"deregistered and killed while the store is down, cut off until the store is back", down, func(s *simulator.Simulator, n *simulator.Node) {
			for _, other := range s.Nodes {
				if other != n {
					s.Network.Blackhole(other.Host)
				}
			}
			kill(n)
			go func() {
				time.Sleep(time.Second)
				for _, other := range s.Nodes {
					s.Network.Restore(other.Host)
				}
				s.Platform.SetFaults(platform.Faults{})
			}()
		}},
		{"deregistered while the store is down, killed while it answers reads only", down, func(s *simulator.Simulator, n *simulator.Node) {
			s.Platform.SetFaults(platform.Faults{DropWrites: 1000})
			kill(n)
		}},
		{"the answer of the store is lost", platform.Faults{LoseAnswers: 1}, func(s *simulator.Simulator, _ *simulator.Node) { kill(s.Nodes...) }},
		{"deregistered while the store is down, all nodes stopped in turn", down, func(s *simulator.Simulator, n *simulator.Node) {
			roll(s, n, 5*time.Second)
			restoreLater(s)
		}},
		{"deregistered while the store is down, all nodes stopped in turn, with overlaps", down, func(s *simulator.Simulator, n *simulator.Node) {
			roll(s, n, time.Second)
			restoreLater(s)
		}},
		{"deregistered while the store is down, all nodes stopped in turn, with overlaps, then killed", down, func(s *simulator.Simulator, n *simulator.Node) {
			roll(s, n, 400*time.Millisecond)
			time.Sleep(3 * time.Second)
			kill(n)
			restoreLater(s)
		}},
		{"deregistered while the store is down, all nodes killed in turn", down, func(s *simulator.Simulator, n *simulator.Node) {
			for _, each := range startingWith(n, s.Nodes) {
				kill(each)
				time.Sleep(time.Second)
			}
			restoreLater(s)
		}},
		{"deregistered while the store is down, stopped and killed with all other nodes once it is back", down, func(s *simulator.Simulator, n *simulator.Node) {
			roll(s, n, time.Second)
			s.Platform.SetFaults(platform.Faults{})
			time.Sleep(2 * time.Second)
			kill(s.Nodes...)
		}},
		{"stopped", platform.Faults{}, func(_ *simulator.Simulator, n *simulator.Node) {
			n.StopNode()
			n.StartNode()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withBench(t, 6, func(t *testing.T, p *pair) {
				entry, leaving := p.Nodes[0], p.Nodes[1]
				p.Platform.SetFaults(c.before)
				assert.Assert(t, leaving.Deregister(), "the departure was not acknowledged")
				c.end(p.Simulator, leaving)
				assert.Equal(t, sendLate(p, leaving), 0)

				p.Platform.SetFaults(platform.Faults{})
				leaving.KillBackend()
				leaving.StartBackend()
				took := waitUntil(5*time.Second, func() bool { return isUsed(entry, leaving) })
				assert.Assert(t, took < 2*time.Second, "the next lifetime is in use after %v", took)
			})
		})
	}
}

// TestDepartureFromNodeThatHasJustStarted guards against a deregistration that is acknowledged and binds nobody, since
// the node did not know yet which backend server is beside it.
func TestDepartureFromNodeThatHasJustStarted(t *testing.T) {
	withBench(t, 6, func(t *testing.T, p *pair) {
		leaving := p.Nodes[1]
		restart := func() {
			leaving.KillNode()
			leaving.StartNode()
			time.Sleep(10 * time.Millisecond)
		}
		restart()
		assert.Assert(t, leaving.Deregister())
		assert.Equal(t, sendLate(p, leaving), 0)
		restart()
		assert.Equal(t, sendLate(p, leaving), 0)
	})
}

// TestServerWaitsForDeparturesAfterRestart guards against a server that is used before the node knows whether it left,
// and against one that stays unused once the node knows that it did not.
func TestServerWaitsForDeparturesAfterRestart(t *testing.T) {
	withBench(t, 2, func(t *testing.T, p *pair) {
		p.Platform.SetFaults(platform.Faults{Down: true})
		for _, n := range p.Nodes {
			n.KillNode()
			n.StartNode()
		}
		time.Sleep(5 * time.Second)
		for _, n := range p.Nodes {
			assert.Assert(t, n.Runner.View().Self.BackendServer == nil, "%s uses its backend server", n.Name)
		}
		p.Platform.SetFaults(platform.Faults{})
		took := waitUntil(5*time.Second, func() bool { return isUsed(p.Nodes[0], p.Nodes[1]) })
		assert.Assert(t, took < 2*time.Second, "in use after %v", took)
	})
}

// TestDepartureIsAcknowledgedOnceItIsKept guards against an acknowledgement that only the process that gave it knows.
func TestDepartureIsAcknowledgedOnceItIsKept(t *testing.T) {
	withBench(t, 1, func(t *testing.T, p *pair) {
		n := p.Nodes[0]
		p.Platform.SetFaults(platform.Faults{Down: true})
		assert.Assert(t, !n.Deregister())
		assert.Assert(t, n.Runner.View().Self.BackendServer == nil, "the departure is not in force")
		p.Platform.SetFaults(platform.Faults{})
		assert.Assert(t, n.Deregister())
	})
}

// withBench runs a check over nodes with servers of the service bench that have the configuration
// simulator.ExampleDocument.
func withBench(t *testing.T, count int, check func(t *testing.T, p *pair)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := simulator.New(simulator.Options{Shape: unlimitedNetwork, StoreRegion: "almaty"})
		defer s.Close()
		for i := range count {
			zone := []string{"almaty-a", "almaty-b", "astana-a", "astana-b"}[i%4]
			s.AddNode(zone[:6], zone, "bench", 4, backend.Behavior{})
		}
		time.Sleep(6 * time.Second)
		s.ApplyDocument(t.Context(), s.Nodes[0], simulator.ExampleDocument())
		time.Sleep(time.Second)
		p := &pair{Simulator: s, client: s.HTTPClient()}
		defer p.client.CloseIdleConnections()
		check(t, p)
	})
}

// isUsed reports whether the current incarnation of the backend server beside a node can be chosen at another node.
func isUsed(at, beside *simulator.Node) bool {
	return slices.ContainsFunc(at.Runner.View().Members, func(m eelgrasspoint.Member) bool {
		b := m.BackendServer
		return m.Name == beside.Name && m.Alive() && b != nil && !b.Draining && b.Incarnation == beside.Incarnation
	})
}

// TestServerIsUsedSoonAfterRestartWithoutStore guards against a server that nobody uses after a restart of its node,
// since the node waits for a store that doesn't answer, though other nodes know whether the server left.
func TestServerIsUsedSoonAfterRestartWithoutStore(t *testing.T) {
	cases := map[string]platform.Faults{"down": {Down: true}, "silent": {Delay: time.Minute}}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			withBench(t, 8, func(t *testing.T, p *pair) {
				time.Sleep(20 * time.Second)
				p.Platform.SetFaults(faults)
				n := p.Nodes[5]
				n.KillNode()
				time.Sleep(500 * time.Millisecond)
				n.StartNode()
				took := waitUntil(20*time.Second, func() bool { return n.Runner.View().Self.BackendServer != nil && isUsed(p.Nodes[0], n) })
				assert.Assert(t, took < time.Second, "in use after %v", took)
			})
		})
	}
}

// TestServersAreUsedAfterARollWithoutStore guards against nodes that find each other only once the store is back, after all of
// them were stopped and started again without it, so that no request is served.
func TestServersAreUsedAfterARollWithoutStore(t *testing.T) {
	withBench(t, 4, func(t *testing.T, p *pair) {
		p.Platform.SetFaults(platform.Faults{Down: true})
		roll(p.Simulator, p.Nodes[2], time.Second)
		allUsed := func() bool {
			for _, at := range p.Nodes {
				for _, beside := range p.Nodes {
					if at.Runner.View().Revision.IsZero() || !isUsed(at, beside) {
						return false
					}
				}
			}
			return true
		}
		took := waitUntil(20*time.Second, allUsed)
		assert.Assert(t, took < 3*time.Second, "all servers are in use after %v", took)
	})
}
