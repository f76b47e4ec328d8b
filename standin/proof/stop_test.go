package proof

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/chooser"
	"eelgrasspoint/coordination/limiter"
	"eelgrasspoint/standin/backend"
	"eelgrasspoint/standin/platform"
	"eelgrasspoint/standin/simulator"
)

// gracePeriod is the StopTimeout of the nodes that the tests of planned stops stop.
const gracePeriod = 6 * time.Second

// deployedDrainTimeout returns the DrainTimeout of the nodes that run on the platform.
func deployedDrainTimeout(t *testing.T) time.Duration {
	t.Helper()
	template, err := os.ReadFile(filepath.Join("..", "..", "deploy", "settings.json.tmpl"))
	assert.NilError(t, err)
	found := regexp.MustCompile(`"DrainTimeout": "([^"]+)"`).FindSubmatch(template)
	assert.Assert(t, found != nil)
	drainTimeout, err := time.ParseDuration(string(found[1]))
	assert.NilError(t, err)
	return drainTimeout
}

// stop begins the planned stop of a node and returns a channel that receives its duration.
func stop(n *simulator.Node) <-chan time.Duration {
	took := make(chan time.Duration, 1)
	began := time.Now()
	go func() {
		n.StopNode()
		took <- time.Since(began)
	}()
	return took
}

// withStop runs a check against a pair of nodes whose planned stop may take gracePeriod.
func withStop(t *testing.T, work time.Duration, check func(t *testing.T, p *pair)) {
	t.Helper()
	drainTimeout := deployedDrainTimeout(t)
	withPair(t, backend.Behavior{ServiceTime: work}, func(t *testing.T, p *pair) {
		for _, n := range p.Nodes {
			n.StopNode()
			n.Settings.StopTimeout, n.Settings.DrainTimeout = gracePeriod, drainTimeout
			n.StartNode()
		}
		time.Sleep(5 * time.Second)
		document := simulator.ExampleDocument()
		for i := range document.Routes {
			document.Routes[i].TimeLimit = 2 * gracePeriod
		}
		p.ApplyDocument(t.Context(), p.entry, document)
		time.Sleep(time.Second)
		check(t, p)
	})
}

// TestStopAnswersWhatItTook guards against a request that a stopping node takes and ends without an answer,
// or cuts though its backend server finishes within the grace period, and against a stop that then fails.
func TestStopAnswersWhatItTook(t *testing.T) {
	drainTimeout := deployedDrainTimeout(t)
	cases := []struct {
		name    string
		sent    time.Duration
		work    time.Duration
		outcome string
		status  int
	}{
		{"work ends with the notice", 2300 * time.Millisecond, 200 * time.Millisecond, "Answered", 200},
		{"work ends before the last sixth", 2300 * time.Millisecond, 2600 * time.Millisecond, "Answered", 200},
		{"work ends in the last sixth", 2300 * time.Millisecond, 3 * time.Second, "Answered", 200},
		{"sent at the end of the notice", drainTimeout - 10*time.Millisecond, 2900 * time.Millisecond, "Answered", 200},
		{"work outlasts the grace period", 2300 * time.Millisecond, 4500 * time.Millisecond, "MayHaveRun", 502},
	}
	clients := map[string]func(*simulator.Simulator) *http.Client{
		"HTTP/1.1": (*simulator.Simulator).HTTPClient,
		"HTTP/2":   (*simulator.Simulator).PeerHTTPClient,
	}
	for _, c := range cases {
		for protocol, newClient := range clients {
			t.Run(c.name+"/"+protocol, func(t *testing.T) {
				withStop(t, c.work, func(t *testing.T, p *pair) {
					p.client = newClient(p.Simulator)
					defer p.client.CloseIdleConnections()
					stopped := stop(p.entry)
					time.Sleep(c.sent)
					got := p.sendBooking("b", nil)
					assert.Assert(t, !got.incomplete, "no answer: %+v", got)
					assert.Equal(t, got.outcome, c.outcome, "%+v", got)
					assert.Equal(t, got.status, c.status)
					took := <-stopped
					assert.Assert(t, took < gracePeriod, "the stop took %v", took)
					assert.NilError(t, p.entry.RunError())
				})
			})
		}
	}
}

// TestStopOfExitNodeFinishesAttempts guards against attempts that an exit node has taken before its stop and
// cuts though its backend server finishes within the grace period: those of other nodes and its own.
func TestStopOfExitNodeFinishesAttempts(t *testing.T) {
	withStop(t, 5300*time.Millisecond, func(t *testing.T, p *pair) {
		results := make(chan callResult, 2)
		for i, entry := range p.Nodes {
			go func() { results <- p.send(entry, http.MethodPost, "/bookings", fmt.Sprintf("b-%d", i), nil) }()
		}
		time.Sleep(100 * time.Millisecond)
		stopped := stop(p.exit)
		for range p.Nodes {
			got := <-results
			assert.Equal(t, got.outcome, "Answered", "%+v", got)
		}
		<-stopped
	})
}

// TestStopsOneAfterAnother guards against requests that get no answer, or a failure in its place, while their
// entry node and an exit node stop a short time apart.
func TestStopsOneAfterAnother(t *testing.T) {
	drainTimeout := deployedDrainTimeout(t)
	for _, gap := range []time.Duration{-2 * time.Second, -time.Second, 0, time.Second} {
		t.Run(gap.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := simulator.New(simulator.Options{Shape: unlimitedNetwork, StoreRegion: "almaty", Limiter: func() eelgrasspoint.Limiter { return limiter.NewFixed(200) }})
				defer s.Close()
				work := backend.Behavior{ServiceTime: 400 * time.Millisecond}
				entry := s.AddNode("almaty", "almaty-a", "vitrine", 4, backend.Behavior{})
				first := s.AddNode("almaty", "almaty-b", "bench", 200, work)
				s.AddNode("almaty", "almaty-b", "bench", 200, work)
				for _, n := range s.Nodes {
					n.Settings.StopTimeout, n.Settings.DrainTimeout = gracePeriod, drainTimeout
				}
				time.Sleep(3 * time.Second)
				s.ApplyDocument(t.Context(), entry, simulator.ExampleDocument())
				time.Sleep(time.Second)
				p := &pair{Simulator: s, entry: entry, client: s.HTTPClient()}
				defer p.client.CloseIdleConnections()
				results := make(chan callResult, 1000)
				sent := 0
				send := func(d time.Duration) {
					for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
						id := fmt.Sprintf("b-%d", sent)
						sent++
						go func() { results <- p.sendBooking(id, nil) }()
					}
				}
				send(500 * time.Millisecond)
				earlier, later := first, entry
				if gap > 0 {
					earlier, later = entry, first
				}
				a := stop(earlier)
				send(max(gap, -gap))
				b := stop(later)
				send(drainTimeout - max(0, gap))
				<-a
				<-b
				for range sent {
					got := <-results
					assert.Equal(t, got.outcome, "Answered", "%+v", got)
				}
				for _, n := range []*simulator.Node{earlier, later} {
					assert.NilError(t, n.RunError())
				}
			})
		})
	}
}

// TestStopAtAnyTime guards against a stop that hangs or fails: while the store is down, before the node has a
// configuration, and with connections on which no request was sent.
func TestStopAtAnyTime(t *testing.T) {
	drainTimeout := deployedDrainTimeout(t)
	cases := []struct {
		name string
		act  func(t *testing.T, s *simulator.Simulator, n *simulator.Node)
	}{
		{"store is down", func(t *testing.T, s *simulator.Simulator, n *simulator.Node) {
			s.ApplyDocument(t.Context(), n, simulator.ExampleDocument())
			s.Platform.SetFaults(platform.Faults{Down: true})
		}},
		{"no configuration", func(*testing.T, *simulator.Simulator, *simulator.Node) {}},
		{"just started", func(_ *testing.T, _ *simulator.Simulator, n *simulator.Node) {
			n.KillNode()
			n.StartNode()
		}},
		{"unused connections", func(t *testing.T, s *simulator.Simulator, n *simulator.Node) {
			for _, address := range []netip.AddrPort{n.Settings.CallerAddress, n.Settings.ControlAddress} {
				conn, err := s.Network.Dial(netip.MustParseAddr("10.255.0.1"))(t.Context(), "tcp", address.String())
				assert.NilError(t, err)
				t.Cleanup(func() { conn.Close() })
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withNodes(t, 4, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
				n := s.Nodes[1]
				c.act(t, s, n)
				n.Settings.StopTimeout, n.Settings.DrainTimeout = gracePeriod, drainTimeout
				took := <-stop(n)
				assert.NilError(t, n.RunError())
				assert.Assert(t, took < drainTimeout+1500*time.Millisecond, "the stop took %v", took)
			})
		})
	}
}

// lateChooser chooses a node's candidate first, also after the candidate's node has left, as an entry node does
// that the announcement has not reached.
type lateChooser struct {
	eelgrasspoint.Chooser
	node string
	seen *eelgrasspoint.Candidate
}

// Choose implements eelgrasspoint.Chooser.
func (c *lateChooser) Choose(candidates []*eelgrasspoint.Candidate, requirements *eelgrasspoint.Requirements, now time.Time, random *rand.Rand) *eelgrasspoint.Candidate {
	for _, candidate := range candidates {
		if candidate.Node == c.node {
			c.seen = candidate
		}
	}
	if c.seen != nil && len(requirements.Tried) == 0 {
		return c.seen
	}
	return c.Chooser.Choose(candidates, requirements, now, random)
}

// TestStopOfExitNodeWithoutNotice guards against requests that fail since their entry node doesn't know that an
// exit node stops: until its end, the exit node must refuse their attempts as not run.
func TestStopOfExitNodeWithoutNotice(t *testing.T) {
	cases := []struct{ method, body string }{{http.MethodPost, "b"}, {http.MethodDelete, ""}}
	for _, c := range cases {
		t.Run(c.method, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				late := &lateChooser{Chooser: chooser.New()}
				s := simulator.New(simulator.Options{
					Shape: unlimitedNetwork, StoreRegion: "almaty",
					Limiter: func() eelgrasspoint.Limiter { return limiter.NewFixed(200) },
					Chooser: func() eelgrasspoint.Chooser { return late },
				})
				defer s.Close()
				work := backend.Behavior{ServiceTime: 20 * time.Millisecond}
				p := &pair{Simulator: s}
				p.entry = s.AddNode("almaty", "almaty-a", "vitrine", 4, backend.Behavior{})
				p.exit = s.AddNode("almaty", "almaty-b", "bench", 200, work)
				s.AddNode("almaty", "almaty-b", "bench", 200, work)
				time.Sleep(3 * time.Second)
				s.ApplyDocument(t.Context(), p.entry, simulator.ExampleDocument())
				time.Sleep(time.Second)
				p.client = s.HTTPClient()
				defer p.client.CloseIdleConnections()
				late.node = p.exit.Name
				results := make(chan callResult, 10000)
				sent := 0
				send := func(d time.Duration) {
					for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(500 * time.Microsecond) {
						sent++
						go func() { results <- p.send(p.entry, c.method, "/bookings", c.body, nil) }()
					}
				}
				send(100 * time.Millisecond)
				stopped := stop(p.exit)
				send(eelgrasspoint.StopNoticeTime + 100*time.Millisecond)
				<-stopped
				ends := map[string]int{}
				for range sent {
					got := <-results
					ends[fmt.Sprintf("%s %s", got.outcome, got.reason)]++
				}
				assert.Equal(t, ends["Answered "], sent, "%v", ends)
			})
		})
	}
}
