package proof

import (
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/standin/backend"
	"eelgrasspoint/standin/platform"
	"eelgrasspoint/standin/simulator"
)

// stallNodes stalls the open connections between nodes for good.
func stallNodes(s *simulator.Simulator) {
	var hosts []netip.Addr
	for _, n := range s.Nodes {
		hosts = append(hosts, n.Host)
	}
	s.Network.StallConnectionsAmong(hosts)
}

// TestHeartbeatsLeaveSilentConnections guards against sound nodes taken for failed when connections fall silent for good.
func TestHeartbeatsLeaveSilentConnections(t *testing.T) {
	withNodes(t, 8, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		stallNodes(s)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			for _, n := range s.Nodes {
				assert.Equal(t, countAlive(n), len(s.Nodes), "members alive in the view of %s", n.Name)
			}
		}
	})
}

// TestChangePassesSilentConnections guards against a change that stays on connections that fell silent before it.
func TestChangePassesSilentConnections(t *testing.T) {
	withNodes(t, 40, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		s.ApplyDocument(t.Context(), s.Nodes[0], simulator.ExampleDocument())
		time.Sleep(time.Second)
		stallNodes(s)
		changed := s.SetZone(t.Context(), s.Nodes[0], "almaty", "almaty-b", true, "almaty-b")
		assert.Assert(t, changed.GetRevision() > 0, "%v", changed)
		time.Sleep(shortestChangePropagationLimit)
		for _, n := range s.Nodes {
			assert.Equal(t, n.Runner.View().Revision.Version, changed.GetRevision(), "revision at %s", n.Name)
		}
	})
}

// TestNoRequestIsLostOnSilentConnection guards against requests that are lost with a connection between nodes which has
// fallen silent before they were sent. They may run once at most, and there is one exit node only.
func TestNoRequestIsLostOnSilentConnection(t *testing.T) {
	const interval, longest = 50 * time.Millisecond, 600 * time.Millisecond
	withPair(t, backend.Behavior{ServiceTime: 5 * time.Millisecond}, func(t *testing.T, p *pair) {
		assert.Equal(t, p.sendBooking("warm", nil).outcome, "Answered")
		// The connection to the backend server, which would be stalled as well, is closed by then.
		time.Sleep(2 * eelgrasspoint.BackendIdleTimeout)
		p.Network.StallConnectionsAmong([]netip.Addr{p.entry.Host, p.exit.Host})
		var sent sync.WaitGroup
		for i := range 30 {
			sent.Go(func() {
				got := p.sendBooking(fmt.Sprint("b", i), nil)
				assert.Check(t, got.outcome == "Answered" && got.took < longest, "booking %d: %+v", i, got)
			})
			time.Sleep(interval)
		}
		sent.Wait()
		for id, runs := range p.exit.Backend.Runs() {
			assert.Equal(t, runs, 1, "runs of %s", id)
		}
	})
}
