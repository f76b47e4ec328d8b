package proof

import (
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/selector"
	"eelgrasspoint/standin/backend"
	"eelgrasspoint/standin/network"
	"eelgrasspoint/standin/platform"
	"eelgrasspoint/standin/simulator"
)

// followers are nodes that wait at the platform for changes, most of them in the region without it.
type followers struct {
	*simulator.Simulator
	far []*simulator.Node
}

// farNodes is the number of nodes in the region without the platform.
const farNodes = 24

// withFollowers runs check in virtual time with nodes that have a configuration. The link between the regions carries the
// configuration of one node in a fraction of the time that it takes for all.
func withFollowers(t *testing.T, check func(t *testing.T, f *followers)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		shape := network.Conditions{SameZone: 100 * time.Microsecond, SameRegion: time.Millisecond, OtherRegion: 20 * time.Millisecond, LinkBytesPerSecond: 1_000_000}
		f := &followers{Simulator: simulator.New(simulator.Options{Shape: shape, StoreRegion: "almaty", Follows: true})}
		defer f.Close()
		_, err := f.Publish(t.Context(), largeDocument(0))
		assert.NilError(t, err)
		for i := range 4 {
			f.AddNode("almaty", []string{"almaty-a", "almaty-b"}[i%2], "vitrine", 4, backend.Behavior{})
		}
		for i := range farNodes {
			f.far = append(f.far, f.AddNode("astana", []string{"astana-a", "astana-b"}[i%2], "vitrine", 4, backend.Behavior{}))
		}
		time.Sleep(20 * time.Second)
		check(t, f)
	})
}

// largeDocument returns a configuration with many routes, of which one depends on the number.
func largeDocument(number int) *eelgrasspoint.Document {
	document := simulator.ExampleDocument()
	for i := range 800 {
		document.Routes = append(document.Routes, eelgrasspoint.Route{
			Name: fmt.Sprintf("route-%d", i), PathPrefix: fmt.Sprintf("/many-%d/", i), Service: "bench", Kind: "page",
		})
	}
	document.Routes[len(document.Routes)-1].PathPrefix = fmt.Sprintf("/number-%d/", number)
	return document
}

// publishAndCheck publishes a change, and checks that it is in force in time at all nodes but those that are gone.
func (f *followers) publishAndCheck(t *testing.T, number int, gone ...*simulator.Node) {
	t.Helper()
	revision, err := f.Publish(t.Context(), largeDocument(number))
	assert.Check(t, err)
	time.Sleep(shortestChangePropagationLimit)
	for _, n := range f.Nodes {
		inForce := n.Runner.View().Revision.Version
		assert.Check(t, containsNode(gone, n) || inForce >= revision, "%s has revision %d, %d was published", n.Name, inForce, revision)
	}
}

func containsNode(nodes []*simulator.Node, n *simulator.Node) bool {
	for _, other := range nodes {
		if other == n {
			return true
		}
	}
	return false
}

// selected returns the nodes of the region without the platform that wait for changes there.
func (f *followers) selected() []*simulator.Node {
	var selected []*simulator.Node
	for _, n := range f.far {
		if selector.New(time.Now).Selects(n.Runner.View()) {
			selected = append(selected, n)
		}
	}
	return selected
}

// TestLargeChangesPassASlowLink guards against changes that come late since each node reads all of them over a slow link.
func TestLargeChangesPassASlowLink(t *testing.T) {
	withFollowers(t, func(t *testing.T, f *followers) {
		const interval = 300 * time.Millisecond
		var checks sync.WaitGroup
		for i := range 20 {
			checks.Go(func() { f.publishAndCheck(t, i+1) })
			time.Sleep(interval)
		}
		checks.Wait()
	})
}

// TestChangePassesWithoutSelectedNodes guards against a change that waits for nodes that can't pass it.
func TestChangePassesWithoutSelectedNodes(t *testing.T) {
	cases := []struct {
		name string
		// disturb returns the nodes that are gone.
		disturb func(f *followers) []*simulator.Node
	}{
		{"one is killed", func(f *followers) []*simulator.Node {
			f.selected()[0].KillNode()
			return f.selected()[:1]
		}},
		{"one falls silent", func(f *followers) []*simulator.Node {
			f.Network.Blackhole(f.selected()[0].Host)
			return f.selected()[:1]
		}},
		{"their connections fall silent", func(f *followers) []*simulator.Node {
			for _, n := range f.selected() {
				f.Network.StallConnections(n.Host)
			}
			return nil
		}},
		{"all connections fall silent", func(f *followers) []*simulator.Node {
			for _, n := range f.Nodes {
				f.Network.StallConnections(n.Host)
			}
			return nil
		}},
		{"they are turned away", func(f *followers) []*simulator.Node {
			var hosts []netip.Addr
			for _, n := range f.selected() {
				hosts = append(hosts, n.Host)
			}
			f.Platform.SetFaults(platform.Faults{TurnedAway: hosts})
			return nil
		}},
		{"a zone falls silent", func(f *followers) []*simulator.Node {
			var gone []*simulator.Node
			for _, n := range f.far {
				if n.Zone == "astana-a" {
					f.Network.Blackhole(n.Host)
					gone = append(gone, n)
				}
			}
			return gone
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFollowers(t, func(t *testing.T, f *followers) {
				assert.Equal(t, len(f.selected()), 2)
				gone := c.disturb(f)
				time.Sleep(50 * time.Millisecond)
				f.publishAndCheck(t, 1, gone...)
			})
		})
	}
}
