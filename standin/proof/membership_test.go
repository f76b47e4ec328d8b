package proof

import (
	"bufio"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/standin/backend"
	"eelgrasspoint/standin/platform"
	"eelgrasspoint/standin/simulator"
)

// Limits stated by the users' pages.
const (
	crashLimit  = 3 * time.Second
	leaveLimit  = time.Second
	changeLimit = 3 * time.Second
)

// withCrew runs a check over nodes spread over the Workshop's four zones.
func withCrew(t *testing.T, count int, faults platform.Faults, check func(t *testing.T, s *simulator.Simulator)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := simulator.New(simulator.Options{Shape: quickNetwork, StoreRegion: "almaty"})
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

// alive counts the members that a node holds to be alive.
func alive(n *simulator.Node) int {
	count := 0
	for _, m := range n.Runner.View().Members {
		if m.Alive() {
			count++
		}
	}
	return count
}

// knows reports whether a node holds another to be alive.
func knows(n, other *simulator.Node) bool {
	for _, m := range n.Runner.View().Members {
		if m.Name == other.Name {
			return m.Alive()
		}
	}
	return false
}

// until returns how long a condition takes to hold, up to a limit.
func until(limit time.Duration, condition func() bool) time.Duration {
	began := time.Now()
	for time.Since(began) < limit && !condition() {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// everywhere reports whether a condition holds at all nodes but the given ones.
func everywhere(s *simulator.Simulator, condition func(n *simulator.Node) bool, but ...*simulator.Node) func() bool {
	return func() bool {
		for _, n := range s.Nodes {
			skip := false
			for _, other := range but {
				skip = skip || other == n
			}
			if !skip && !condition(n) {
				return false
			}
		}
		return true
	}
}

func TestMembershipMeets(t *testing.T) {
	withCrew(t, 12, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		for _, n := range s.Nodes {
			assert.Equal(t, alive(n), 12, n.Name)
		}
	})
}

func TestMembershipCrash(t *testing.T) {
	withCrew(t, 12, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		victim := s.Nodes[5]
		s.Network.Blackhole(victim.Host)
		took := until(10*time.Second, everywhere(s, func(n *simulator.Node) bool { return n.Region != victim.Region || !knows(n, victim) }, victim))
		assert.Assert(t, took <= crashLimit, "known in its region after %v", took)
		took += until(10*time.Second, everywhere(s, func(n *simulator.Node) bool { return !knows(n, victim) }, victim))
		assert.Assert(t, took <= crashLimit+time.Second, "known everywhere after %v", took)
		s.Network.Restore(victim.Host)
		took = until(20*time.Second, everywhere(s, func(n *simulator.Node) bool { return alive(n) == 12 }))
		assert.Assert(t, took < 20*time.Second, "back everywhere after %v", took)
	})
}

func TestMembershipLeave(t *testing.T) {
	withCrew(t, 12, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		leaver := s.Nodes[7]
		began := time.Now()
		go leaver.StopNode()
		until(10*time.Second, everywhere(s, func(n *simulator.Node) bool { return !knows(n, leaver) }, leaver))
		assert.Assert(t, time.Since(began) <= leaveLimit, "known everywhere after %v", time.Since(began))
	})
}

func TestMembershipRackLost(t *testing.T) {
	withCrew(t, 16, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		rack := []*simulator.Node{s.Nodes[0], s.Nodes[4], s.Nodes[8]}
		for _, n := range rack {
			s.Network.Blackhole(n.Host)
		}
		gone := func(n *simulator.Node) bool { return alive(n) == 13 }
		took := until(30*time.Second, everywhere(s, gone, rack...))
		assert.Assert(t, took <= 2*crashLimit, "known everywhere after %v", took)
		time.Sleep(30 * time.Second)
		for _, n := range rack {
			assert.Assert(t, alive(n) >= 13, "%s, cut off, took %d others for failed", n.Name, 16-alive(n))
		}
	})
}

func TestMembershipRegionsApart(t *testing.T) {
	withCrew(t, 12, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		s.Network.Partition()
		time.Sleep(5 * time.Minute)
		s.Nodes[0].KillNode()
		s.Nodes[2].KillNode()
		time.Sleep(5 * time.Minute)
		for _, n := range s.Nodes {
			if n != s.Nodes[0] && n != s.Nodes[2] {
				assert.Assert(t, alive(n) >= 11, "%s knows %d", n.Name, alive(n))
			}
		}
		s.Network.Heal()
		took := until(time.Minute, everywhere(s, func(n *simulator.Node) bool { return alive(n) == 10 }, s.Nodes[0], s.Nodes[2]))
		assert.Assert(t, took < time.Minute, "agreed after %v", took)
	})
}

func TestMembershipAllReplacedWithoutStore(t *testing.T) {
	withCrew(t, 8, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		s.Apply(t.Context(), s.Nodes[0], simulator.Workshop())
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
			assert.Equal(t, alive(n), 8, n.Name)
			assert.Equal(t, n.Runner.View().Revision, uint64(1), n.Name)
		}
	})
}

func TestMembershipColdStartWithSlowStore(t *testing.T) {
	withCrew(t, 12, platform.Faults{Delay: 1500 * time.Millisecond}, func(t *testing.T, s *simulator.Simulator) {
		took := until(time.Minute, everywhere(s, func(n *simulator.Node) bool { return alive(n) == 12 }))
		assert.Assert(t, took < 30*time.Second, "met after %v", took)
	})
}

func TestMembershipStrangers(t *testing.T) {
	withCrew(t, 4, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		client := s.PeerClient()
		defer client.CloseIdleConnections()
		target := s.Nodes[0]
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
		assert.Equal(t, alive(target), 4)
	})
}

func TestChangeInForceEverywhere(t *testing.T) {
	withCrew(t, 16, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		for change := range 5 {
			document := simulator.Workshop()
			document.Services = append(document.Services, serviceNamed(fmt.Sprintf("extra-%d", change)))
			began := time.Now()
			response := s.Apply(t.Context(), s.Nodes[change*3], document)
			assert.Equal(t, response.GetResult(), schema.ApplyResult_APPLY_RESULT_ACCEPTED, response.GetDetail())
			until(10*time.Second, everywhere(s, func(n *simulator.Node) bool { return n.Runner.View().Revision >= response.GetRevision() }))
			assert.Assert(t, time.Since(began) <= changeLimit, "revision %d after %v", response.GetRevision(), time.Since(began))
		}
	})
}

func TestChangeRaceOfOperators(t *testing.T) {
	withCrew(t, 4, platform.Faults{Delay: 200 * time.Millisecond}, func(t *testing.T, s *simulator.Simulator) {
		responses := make([]*schema.ApplyResponse, len(s.Nodes))
		done := make(chan struct{})
		for i, n := range s.Nodes {
			go func() {
				document := simulator.Workshop()
				document.Services = append(document.Services, serviceNamed(fmt.Sprintf("by-%d", i)))
				responses[i] = s.Apply(t.Context(), n, document)
				done <- struct{}{}
			}()
		}
		for range s.Nodes {
			<-done
		}
		results := map[schema.ApplyResult]int{}
		for _, r := range responses {
			results[r.GetResult()]++
			assert.Equal(t, r.GetRevision(), uint64(1), "a conflict names the revision that won")
		}
		assert.Equal(t, results[schema.ApplyResult_APPLY_RESULT_ACCEPTED], 1, "%v", results)
		assert.Equal(t, results[schema.ApplyResult_APPLY_RESULT_CONFLICT], 3, "%v", results)
	})
}

func TestChangeLostAnswer(t *testing.T) {
	for _, faults := range []platform.Faults{{LoseAnswers: 1}, {LoseAnswers: 3}, {DropWrites: 2}} {
		t.Run(fmt.Sprintf("%+v", faults), func(t *testing.T) {
			withCrew(t, 4, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
				s.Platform.SetFaults(faults)
				response := s.Apply(t.Context(), s.Nodes[0], simulator.Workshop())
				assert.Equal(t, response.GetResult(), schema.ApplyResult_APPLY_RESULT_ACCEPTED, response.GetDetail())
				assert.Equal(t, response.GetRevision(), uint64(1))
			})
		})
	}
}

// TestChangeUnknown keeps the store away after the write: the operator is told so, and the same
// identifier settles it later.
func TestChangeUnknown(t *testing.T) {
	withCrew(t, 4, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		request := &schema.ApplyRequest{ChangeId: "c1", Put: &schema.Document{Regions: []*schema.Region{{Name: "almaty"}}}}
		s.Platform.SetFaults(platform.Faults{LoseAnswers: 1, DownAfterLoss: true})
		response := s.Commit(t.Context(), s.Nodes[0], request)
		assert.Equal(t, response.GetResult(), schema.ApplyResult_APPLY_RESULT_UNKNOWN, response.GetDetail())
		s.Platform.SetFaults(platform.Faults{})
		response = s.Commit(t.Context(), s.Nodes[1], request)
		assert.Equal(t, response.GetResult(), schema.ApplyResult_APPLY_RESULT_ACCEPTED, response.GetDetail())
		assert.Equal(t, response.GetRevision(), uint64(1))
	})
}

func TestChangeRefusedWithoutStore(t *testing.T) {
	withCrew(t, 4, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		s.Platform.SetFaults(platform.Faults{Down: true})
		response := s.Apply(t.Context(), s.Nodes[0], simulator.Workshop())
		assert.Equal(t, response.GetResult(), schema.ApplyResult_APPLY_RESULT_UNAVAILABLE)
	})
}

func TestLastZoneNeedsForce(t *testing.T) {
	withCrew(t, 4, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		s.Apply(t.Context(), s.Nodes[0], simulator.Workshop())
		time.Sleep(time.Second)
		for _, zone := range []string{"almaty-a", "almaty-b", "astana-a"} {
			response := s.SetZone(t.Context(), s.Nodes[0], zone[:6], zone, true)
			assert.Equal(t, response.GetResult(), schema.ApplyResult_APPLY_RESULT_ACCEPTED, response.GetDetail())
		}
		response := s.SetZone(t.Context(), s.Nodes[0], "astana", "astana-b", true)
		assert.Equal(t, response.GetResult(), schema.ApplyResult_APPLY_RESULT_INVALID)
		response = s.SetZone(t.Context(), s.Nodes[0], "astana", "astana-b", true, "astana-b")
		assert.Equal(t, response.GetResult(), schema.ApplyResult_APPLY_RESULT_ACCEPTED, response.GetDetail())
	})
}

// TestManyChanges makes more changes than identifiers of changes are kept and starts a node anew.
func TestManyChanges(t *testing.T) {
	withCrew(t, 4, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		last := uint64(0)
		for i := range 300 {
			response := s.Commit(t.Context(), s.Nodes[i%4], &schema.ApplyRequest{Put: &schema.Document{
				Regions: []*schema.Region{{Name: fmt.Sprintf("r-%d", i%50)}},
			}})
			assert.Equal(t, response.GetResult(), schema.ApplyResult_APPLY_RESULT_ACCEPTED, response.GetDetail())
			last = response.GetRevision()
			time.Sleep(300 * time.Millisecond)
		}
		for _, n := range s.Nodes[:3] {
			n.KillNode()
		}
		newcomer := s.Nodes[0]
		newcomer.StartNode()
		time.Sleep(10 * time.Second)
		assert.Equal(t, newcomer.Runner.View().Revision, last)
		assert.Equal(t, s.Nodes[3].Runner.View().Revision, last)
	})
}

// TestStoreReturns counts the calls of each second after an outage: nodes that all noticed it
// must not arrive together.
func TestStoreReturns(t *testing.T) {
	withCrew(t, 24, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		time.Sleep(2 * time.Minute)
		s.Platform.SetFaults(platform.Faults{Down: true})
		time.Sleep(5 * time.Minute)
		down := s.Platform.Calls()
		time.Sleep(time.Minute)
		perSecond := float64(s.Platform.Calls()-down) / 60
		assert.Assert(t, perSecond <= 24.0/10, "%.1f calls/s while it is down", perSecond)
		s.Platform.SetFaults(platform.Faults{})
		for range 40 {
			before := s.Platform.Calls()
			time.Sleep(time.Second)
			assert.Assert(t, s.Platform.Calls()-before <= 8, "%d calls in a second, a third of the nodes or more", s.Platform.Calls()-before)
		}
	})
}

// TestMembershipManyAtOnce starts more nodes in one instant than a message takes news of.
func TestMembershipManyAtOnce(t *testing.T) {
	const count = 80
	withCrew(t, count, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		took := until(time.Minute, everywhere(s, func(n *simulator.Node) bool { return alive(n) == count }))
		assert.Assert(t, took <= 4*time.Second, "met after 6 s and %v", took)
	})
}

// controlBytesPerSecond is what a node may spend on control.
const controlBytesPerSecond = 3000

// TestNewsWithinBudget lets a fifth of the backend servers go and come back within 15 s, as when a
// rack fails, and counts what the nodes tell each other of it.
func TestNewsWithinBudget(t *testing.T) {
	const count, changed, lasts = 80, 16, 15 * time.Second
	withCrew(t, count, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		time.Sleep(30 * time.Second)
		before, began := exchangeBytes(t, s), time.Now()
		for _, n := range s.Nodes[:changed] {
			n.KillBackend()
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		for _, n := range s.Nodes[:changed] {
			n.StartBackend()
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Until(began.Add(lasts)))
		perNode := (exchangeBytes(t, s) - before) / lasts.Seconds() / count
		assert.Assert(t, perNode <= controlBytesPerSecond, "%.0f bytes a second and node", perNode)
	})
}

// exchangeBytes adds up what all nodes count of the exchange.
func exchangeBytes(t *testing.T, s *simulator.Simulator) float64 {
	t.Helper()
	total := 0.0
	for _, n := range s.Nodes {
		response, err := s.Client().Get(n.ControlURL() + "/metrics")
		assert.NilError(t, err)
		for lines := bufio.NewScanner(response.Body); lines.Scan(); {
			if text, found := strings.CutPrefix(lines.Text(), "eelgrass_exchange_bytes_total "); found {
				bytes, err := strconv.ParseFloat(text, 64)
				assert.NilError(t, err)
				total += bytes
			}
		}
		response.Body.Close()
	}
	return total
}
