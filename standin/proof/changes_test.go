package proof

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/standin/platform"
	"eelgrasspoint/standin/simulator"
)

// Limits on the propagation of a change that the users' pages state.
const (
	changePropagationLimit = 3 * time.Second
	// shortestChangePropagationLimit is the shortest that a deployment states.
	shortestChangePropagationLimit = 2500 * time.Millisecond
)

// TestChangeReachesAllNodesInTime guards against an accepted change that is not in force at all nodes within
// the limit.
func TestChangeReachesAllNodesInTime(t *testing.T) {
	withNodes(t, 16, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		for change := range 5 {
			document := simulator.ExampleDocument()
			document.Services = append(document.Services, serviceNamed(fmt.Sprintf("extra-%d", change)))
			began := time.Now()
			response := s.ApplyDocument(t.Context(), s.Nodes[change*3], document)
			assert.Equal(t, response.GetResult(), schema.ApplyResult_APPLY_RESULT_ACCEPTED, response.GetDetail())
			waitUntil(10*time.Second, onAllNodes(s, func(n *simulator.Node) bool { return n.Runner.View().Revision.Version >= response.GetRevision() }))
			assert.Assert(t, time.Since(began) <= changePropagationLimit, "revision %d after %v", response.GetRevision(), time.Since(began))
		}
	})
}

// TestConcurrentChangesAcceptOnlyOne guards against lost changes: when four operators apply
// configurations at once through different nodes, one is accepted and the others are conflicts.
func TestConcurrentChangesAcceptOnlyOne(t *testing.T) {
	withNodes(t, 4, platform.Faults{Delay: 200 * time.Millisecond}, func(t *testing.T, s *simulator.Simulator) {
		responses := make([]*schema.ApplyResponse, len(s.Nodes))
		done := make(chan struct{})
		for i, n := range s.Nodes {
			go func() {
				document := simulator.ExampleDocument()
				document.Services = append(document.Services, serviceNamed(fmt.Sprintf("by-%d", i)))
				responses[i] = s.ApplyDocument(t.Context(), n, document)
				done <- struct{}{}
			}()
		}
		for range s.Nodes {
			<-done
		}
		results := map[schema.ApplyResult]int{}
		for _, r := range responses {
			results[r.GetResult()]++
			assert.Equal(t, r.GetRevision(), uint64(1), "a conflict has the accepted revision")
		}
		assert.Equal(t, results[schema.ApplyResult_APPLY_RESULT_ACCEPTED], 1, "%v", results)
		assert.Equal(t, results[schema.ApplyResult_APPLY_RESULT_CONFLICT], 3, "%v", results)
	})
}

// TestChangeAcceptedDespiteLostStoreAnswer guards against a change that is applied twice or refused because
// the store's response or the write itself was lost and the node retries.
func TestChangeAcceptedDespiteLostStoreAnswer(t *testing.T) {
	for _, faults := range []platform.Faults{{LoseAnswers: 1}, {LoseAnswers: 3}, {DropWrites: 2}} {
		t.Run(fmt.Sprintf("%+v", faults), func(t *testing.T) {
			withNodes(t, 4, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
				s.Platform.SetFaults(faults)
				response := s.ApplyDocument(t.Context(), s.Nodes[0], simulator.ExampleDocument())
				assert.Equal(t, response.GetResult(), schema.ApplyResult_APPLY_RESULT_ACCEPTED, response.GetDetail())
				assert.Equal(t, response.GetRevision(), uint64(1))
			})
		})
	}
}

// TestUnknownChangeResolvedByItsID guards against a wrong result when the store goes down after the write
// and before its answer: the result is UNKNOWN, and a retry with the same ChangeId finds the change
// accepted.
func TestUnknownChangeResolvedByItsID(t *testing.T) {
	withNodes(t, 4, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		request := &schema.ApplyRequest{ChangeId: "c1", Put: &schema.Document{Regions: []*schema.Region{{Name: "almaty"}}}}
		s.Platform.SetFaults(platform.Faults{LoseAnswers: 1, DownAfterLoss: true})
		response := s.Apply(t.Context(), s.Nodes[0], request)
		assert.Equal(t, response.GetResult(), schema.ApplyResult_APPLY_RESULT_UNKNOWN, response.GetDetail())
		s.Platform.SetFaults(platform.Faults{})
		response = s.Apply(t.Context(), s.Nodes[1], request)
		assert.Equal(t, response.GetResult(), schema.ApplyResult_APPLY_RESULT_ACCEPTED, response.GetDetail())
		assert.Equal(t, response.GetRevision(), uint64(1))
	})
}

// TestChangeRefusedWithoutStore guards against a change that is accepted while the store is down.
func TestChangeRefusedWithoutStore(t *testing.T) {
	withNodes(t, 4, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		s.Platform.SetFaults(platform.Faults{Down: true})
		response := s.ApplyDocument(t.Context(), s.Nodes[0], simulator.ExampleDocument())
		assert.Equal(t, response.GetResult(), schema.ApplyResult_APPLY_RESULT_UNAVAILABLE)
	})
}

// TestLastZoneOutNeedsForce guards against an operator who takes the last zone out of service by mistake:
// without force this change is refused.
func TestLastZoneOutNeedsForce(t *testing.T) {
	withNodes(t, 4, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		s.ApplyDocument(t.Context(), s.Nodes[0], simulator.ExampleDocument())
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

// TestRestartAfterManyChanges guards against a restarted node that misses a revision after 300 changes, more
// than the 256 change identifiers that the published configuration keeps.
func TestRestartAfterManyChanges(t *testing.T) {
	withNodes(t, 4, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		last := uint64(0)
		for i := range 300 {
			response := s.Apply(t.Context(), s.Nodes[i%4], &schema.ApplyRequest{Put: &schema.Document{
				Regions: []*schema.Region{{Name: fmt.Sprintf("r-%d", i%50)}},
			}})
			assert.Equal(t, response.GetResult(), schema.ApplyResult_APPLY_RESULT_ACCEPTED, response.GetDetail())
			last = response.GetRevision()
			time.Sleep(300 * time.Millisecond)
		}
		for _, n := range s.Nodes[:3] {
			n.KillNode()
		}
		restarted := s.Nodes[0]
		restarted.StartNode()
		time.Sleep(10 * time.Second)
		assert.Equal(t, restarted.Runner.View().Revision.Version, last)
		assert.Equal(t, s.Nodes[3].Runner.View().Revision.Version, last)
	})
}
