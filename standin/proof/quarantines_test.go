package proof

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/standin/backend"
	"eelgrasspoint/standin/platform"
	"eelgrasspoint/standin/simulator"
)

// crashPause is longer than a backend server is down after a crash.
const crashPause = 3 * time.Second

// sendCrashing sends a booking that crashes backend servers a few times to each of the nodes, and returns the number of crashes
// since the start of the simulator.
func sendCrashing(p *pair, nodes []*simulator.Node) int {
	for range 3 {
		for _, n := range nodes {
			p.send(n, http.MethodPost, "/bookings", "crash", http.Header{backend.HeaderCrash: {"1"}})
			time.Sleep(crashPause)
		}
	}
	crashes := 0
	for _, n := range p.Nodes {
		crashes += n.Crashes()
	}
	return crashes
}

// TestQuarantineOutlivesProcesses guards against a request that crashes backend servers again, since the process that would
// run it does not know what others have learned: it has started since, joined, or missed a report.
func TestQuarantineOutlivesProcesses(t *testing.T) {
	down := platform.Faults{Down: true}
	cases := []struct {
		name string
		// cutOff is the number of nodes that no other reaches while the booking is quarantined.
		cutOff int
		// before is the state of the store meanwhile.
		before platform.Faults
		then   func(s *simulator.Simulator)
	}{
		{"all nodes stopped in turn", 0, platform.Faults{}, func(s *simulator.Simulator) { roll(s, s.Nodes[0], 5*time.Second) }},
		{"all nodes stopped within seconds", 0, platform.Faults{}, func(s *simulator.Simulator) { roll(s, s.Nodes[0], 400*time.Millisecond) }},
		{"all nodes killed at once, twice", 0, platform.Faults{}, func(s *simulator.Simulator) {
			kill(s.Nodes...)
			time.Sleep(3 * time.Second)
			kill(s.Nodes...)
		}},
		{"all nodes stopped in turn, the store is down", 0, down, func(s *simulator.Simulator) {
			roll(s, s.Nodes[0], 5*time.Second)
			s.Platform.SetFaults(platform.Faults{})
		}},
		{"all nodes killed once the store is back", 0, down, func(s *simulator.Simulator) {
			s.Platform.SetFaults(platform.Faults{})
			time.Sleep(5 * time.Second)
			kill(s.Nodes...)
		}},
		{"the store is down until all nodes were killed", 0, platform.Faults{}, func(s *simulator.Simulator) {
			s.Platform.SetFaults(down)
			kill(s.Nodes...)
			time.Sleep(3 * time.Second)
			s.Platform.SetFaults(platform.Faults{})
		}},
		{"a node joins", 0, platform.Faults{}, func(s *simulator.Simulator) { s.AddNode("almaty", "almaty-a", "bench", 4, backend.Behavior{}) }},
		{"a node missed the reports", 1, platform.Faults{}, func(s *simulator.Simulator) { s.Network.Restore(s.Nodes[3].Host) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withBench(t, 4, func(t *testing.T, p *pair) {
				reached := p.Nodes[:len(p.Nodes)-c.cutOff]
				for _, n := range p.Nodes[len(reached):] {
					p.Network.Blackhole(n.Host)
				}
				time.Sleep(10 * time.Second)
				p.Platform.SetFaults(c.before)
				before := sendCrashing(p, reached)
				assert.Equal(t, before, 2, "crashes until all nodes refuse the booking")
				c.then(p.Simulator)
				time.Sleep(10 * time.Second)
				assert.Equal(t, sendCrashing(p, p.Nodes)-before, 0, "further crashes")
				for _, n := range p.Nodes {
					other := p.send(n, http.MethodPost, "/bookings", "other-"+n.Name, nil)
					assert.Equal(t, other.status, http.StatusOK, "another booking at %s: %s", n.Name, other.reason)
				}
			})
		})
	}
}

// TestQuarantineEnds guards against a quarantine that is learned again and again, from rows and other nodes, once its time is
// over.
func TestQuarantineEnds(t *testing.T) {
	withBench(t, 4, func(t *testing.T, p *pair) {
		assert.Equal(t, sendCrashing(p, p.Nodes), 2)
		roll(p.Simulator, p.Nodes[0], 5*time.Second)
		time.Sleep(eelgrasspoint.QuarantineTime)
		got := p.send(p.Nodes[0], http.MethodPost, "/bookings", "crash", nil)
		assert.Equal(t, got.status, http.StatusOK, got.reason)
	})
}
