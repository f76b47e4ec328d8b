package proof

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/standin/backend"
	"eelgrasspoint/standin/platform"
	"eelgrasspoint/standin/simulator"
)

// Limits that the users' pages state.
const (
	crashDetectionLimit   = 3 * time.Second
	leavePropagationLimit = time.Second
)

// withNodes runs a check over nodes in the four zones of simulator.ExampleDocument, 6 s after their start.
// The store has the faults from the beginning. The first six letters of a zone are its region.
func withNodes(t *testing.T, count int, faults platform.Faults, check func(t *testing.T, s *simulator.Simulator)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := simulator.New(simulator.Options{Shape: unlimitedNetwork, StoreRegion: "almaty"})
		defer s.Close()
		s.Platform.SetFaults(faults)
		for i := range count {
			zone := []string{"almaty-a", "almaty-b", "astana-a", "astana-b"}[i%4]
			s.AddNode(zone[:6], zone, "vitrine", 4, backend.Behavior{})
		}
		time.Sleep(6 * time.Second)
		check(t, s)
	})
}

// countAlive counts the members that are alive in the view of a node.
func countAlive(n *simulator.Node) int {
	count := 0
	for _, m := range n.Runner.View().Members {
		if m.Alive() {
			count++
		}
	}
	return count
}

// seesAlive reports whether another node is alive in the view of a node.
func seesAlive(n, other *simulator.Node) bool {
	for _, m := range n.Runner.View().Members {
		if m.Name == other.Name {
			return m.Alive()
		}
	}
	return false
}

// waitUntil waits until a condition holds, up to a limit, and returns the time that it waited.
func waitUntil(limit time.Duration, condition func() bool) time.Duration {
	began := time.Now()
	for time.Since(began) < limit && !condition() {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// onAllNodes returns a condition that holds if the given one holds at all nodes but those in except.
func onAllNodes(s *simulator.Simulator, condition func(n *simulator.Node) bool, except ...*simulator.Node) func() bool {
	return func() bool {
		for _, n := range s.Nodes {
			skip := false
			for _, other := range except {
				skip = skip || other == n
			}
			if !skip && !condition(n) {
				return false
			}
		}
		return true
	}
}

// TestMembershipDiscoversAllNodes guards against nodes that have not discovered each other 6 s after they
// started together.
func TestMembershipDiscoversAllNodes(t *testing.T) {
	withNodes(t, 12, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		for _, n := range s.Nodes {
			assert.Equal(t, countAlive(n), 12, n.Name)
		}
	})
}

// TestMembershipDetectsUnreachableHost guards against a failure detector that misses a host which drops all
// traffic without resets, or that keeps the node failed after the host is reachable again.
func TestMembershipDetectsUnreachableHost(t *testing.T) {
	withNodes(t, 12, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		lost := s.Nodes[5]
		s.Network.Blackhole(lost.Host)
		took := waitUntil(10*time.Second, onAllNodes(s, func(n *simulator.Node) bool { return n.Region != lost.Region || !seesAlive(n, lost) }, lost))
		assert.Assert(t, took <= crashDetectionLimit, "failure known in the region after %v", took)
		took += waitUntil(10*time.Second, onAllNodes(s, func(n *simulator.Node) bool { return !seesAlive(n, lost) }, lost))
		assert.Assert(t, took <= crashDetectionLimit+time.Second, "failure known at all nodes after %v", took)
		s.Network.Restore(lost.Host)
		took = waitUntil(20*time.Second, onAllNodes(s, func(n *simulator.Node) bool { return countAlive(n) == 12 }))
		assert.Assert(t, took < 20*time.Second, "alive again at all nodes after %v", took)
	})
}

// TestMembershipLeave guards against nodes that still see a node alive more than leavePropagationLimit after
// its planned stop began.
func TestMembershipLeave(t *testing.T) {
	withNodes(t, 12, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		stopped := s.Nodes[7]
		began := time.Now()
		go stopped.StopNode()
		waitUntil(10*time.Second, onAllNodes(s, func(n *simulator.Node) bool { return !seesAlive(n, stopped) }, stopped))
		assert.Assert(t, time.Since(began) <= leavePropagationLimit, "leave known at all nodes after %v", time.Since(began))
	})
}

// TestMembershipAfterLossOfRack guards against slow detection when three hosts fail at once, and against
// hosts without a network that declare all other nodes failed.
func TestMembershipAfterLossOfRack(t *testing.T) {
	withNodes(t, 16, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		rack := []*simulator.Node{s.Nodes[0], s.Nodes[4], s.Nodes[8]}
		for _, n := range rack {
			s.Network.Blackhole(n.Host)
		}
		rackFailed := func(n *simulator.Node) bool { return countAlive(n) == 13 }
		took := waitUntil(30*time.Second, onAllNodes(s, rackFailed, rack...))
		assert.Assert(t, took <= 2*crashDetectionLimit, "failures known at all nodes after %v", took)
		time.Sleep(30 * time.Second)
		// A node that reaches no other node marks none as failed; the bound allows three, the size of the rack.
		for _, n := range rack {
			assert.Assert(t, countAlive(n) >= 13, "%s, which is cut off, sees %d other nodes as failed", n.Name, 16-countAlive(n))
		}
	})
}

// TestMembershipAfterPartition guards against nodes that declare the other region failed while the regions
// are partitioned, and against views that still differ a minute after the partition healed. One
// node of each region crashes during the partition.
func TestMembershipAfterPartition(t *testing.T) {
	withNodes(t, 12, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		s.Network.Partition()
		time.Sleep(5 * time.Minute)
		s.Nodes[0].KillNode()
		s.Nodes[2].KillNode()
		time.Sleep(5 * time.Minute)
		// Nodes detect failures only in their own region, and gossip does not cross the partition, so each
		// node sees one of the two crashed nodes as alive.
		for _, n := range s.Nodes {
			if n != s.Nodes[0] && n != s.Nodes[2] {
				assert.Assert(t, countAlive(n) >= 11, "%s sees %d nodes alive", n.Name, countAlive(n))
			}
		}
		s.Network.Heal()
		took := waitUntil(time.Minute, onAllNodes(s, func(n *simulator.Node) bool { return countAlive(n) == 10 }, s.Nodes[0], s.Nodes[2]))
		assert.Assert(t, took < time.Minute, "views agree after %v", took)
	})
}

// TestMembershipRollingRestartWithoutStore guards against the loss of members or of the configuration when
// all nodes restart one after the other while the store is down. The restarted nodes discover the
// others by the Peers setting.
func TestMembershipRollingRestartWithoutStore(t *testing.T) {
	withNodes(t, 8, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		s.ApplyDocument(t.Context(), s.Nodes[0], simulator.ExampleDocument())
		time.Sleep(3 * time.Second)
		s.Platform.SetFaults(platform.Faults{Down: true})
		for i, n := range s.Nodes {
			n.StopNode()
			n.Settings.Peers = nil
			for j, other := range s.Nodes {
				if j != i {
					n.Settings.Peers = append(n.Settings.Peers, other.Settings.PeerAddress)
				}
			}
			n.StartNode()
			time.Sleep(5 * time.Second)
		}
		for _, n := range s.Nodes {
			assert.Equal(t, countAlive(n), 8, n.Name)
			assert.Equal(t, n.Runner.View().Revision.Version, uint64(1), n.Name)
		}
	})
}

// TestMembershipColdStartWithSlowStore guards against nodes that do not discover each other when they all
// start while each call to the store takes 1.5 s longer.
func TestMembershipColdStartWithSlowStore(t *testing.T) {
	withNodes(t, 12, platform.Faults{Delay: 1500 * time.Millisecond}, func(t *testing.T, s *simulator.Simulator) {
		took := waitUntil(time.Minute, onAllNodes(s, func(n *simulator.Node) bool { return countAlive(n) == 12 }))
		assert.Assert(t, took < 30*time.Second, "all nodes discovered %v after the first 6 s", took)
	})
}

// TestMembershipUnaffectedByInvalidMessages guards against messages that change the number of members that a
// node sees alive, or its revision, although they come from another cluster, have members without a valid name or address,
// or have no body.
func TestMembershipUnaffectedByInvalidMessages(t *testing.T) {
	withNodes(t, 4, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		client := s.PeerHTTPClient()
		defer client.CloseIdleConnections()
		target := s.Nodes[0]
		revision := target.Runner.View().Revision
		exchange := schema.NewExchangeProtobufClient("http://"+target.Settings.PeerAddress.String(), client)
		_, err := exchange.Converse(t.Context(), &schema.ConverseRequest{
			Cluster: "another", From: "x", Revision: 99, News: []*schema.Member{{Name: s.Nodes[1].Name, Incarnation: 1 << 62, Failed: true, PeerAddress: "10.0.0.9:1"}},
		})
		assert.Assert(t, err != nil)
		_, err = exchange.Converse(t.Context(), &schema.ConverseRequest{
			Cluster: "stage", From: "x", News: []*schema.Member{{Name: "", PeerAddress: "nowhere"}, {Name: "y", PeerAddress: "1.2.3.4:99999"}},
		})
		assert.NilError(t, err)
		response, err := client.Post("http://"+target.Settings.PeerAddress.String()+"/twirp/eelgrass.v1.Exchange/Converse", "application/protobuf", nil)
		assert.NilError(t, err)
		response.Body.Close()
		time.Sleep(3 * time.Second)
		assert.Equal(t, countAlive(target), 4)
		assert.Equal(t, target.Runner.View().Revision, revision)
	})
}

// TestStoreCallsSpreadAfterOutage guards against a burst of calls when the store is back, since all nodes
// have seen the outage and retry. It also bounds the retries during the outage.
func TestStoreCallsSpreadAfterOutage(t *testing.T) {
	withNodes(t, 24, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		time.Sleep(2 * time.Minute)
		s.Platform.SetFaults(platform.Faults{Down: true})
		time.Sleep(5 * time.Minute)
		callsBefore := s.Platform.Calls()
		time.Sleep(time.Minute)
		perSecond := float64(s.Platform.Calls()-callsBefore) / 60
		assert.Assert(t, perSecond <= 24.0/10, "%.1f calls/s while the store is down, more than one call in 10 s by each of the 24 nodes", perSecond)
		s.Platform.SetFaults(platform.Faults{})
		for range 40 {
			before := s.Platform.Calls()
			time.Sleep(time.Second)
			assert.Assert(t, s.Platform.Calls()-before <= 8, "%d calls in one second, more than 8, a third of the 24 nodes", s.Platform.Calls()-before)
		}
	})
}

// TestMembershipSimultaneousStarts guards against slow discovery when more nodes start at once than one
// gossip message has room for.
func TestMembershipSimultaneousStarts(t *testing.T) {
	const count = 80
	withNodes(t, count, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		took := waitUntil(time.Minute, onAllNodes(s, func(n *simulator.Node) bool { return countAlive(n) == count }))
		assert.Assert(t, took <= 4*time.Second, "all nodes discovered %v after the first 6 s", took)
	})
}
