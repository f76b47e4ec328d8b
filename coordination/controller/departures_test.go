package controller_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrasspoint"
	"eelgrasspoint/coordination/controller"
)

// run starts the controller and returns the node.
func (n *node) run(t *testing.T) *node {
	t.Helper()
	go n.Run(t.Context())
	return n
}

// submit applies a command.
func (n *node) submit(command controller.Command) {
	n.Submit(command)
	n.WaitApplied()
}

// ready reports whether the backend server gets new requests.
func (n *node) ready() bool { return n.backend != nil && !n.backend.Draining }

// departureWords are the ways in which a node learns that a lifetime leaves.
var departureWords = []struct {
	name string
	say  func(n *node)
}{
	{"draining", func(n *node) { n.announce(registration("a", 5, 3, true)) }},
	{"deregistration", func(n *node) { n.announce(deregistration("a", 5)) }},
	{"deregistration without incarnation", func(n *node) { n.announce(deregistration("a", 0)) }},
	{"answer that says that it leaves", func(n *node) { n.submit(controller.MarkLeaving{Backend: *n.backend}) }},
}

// TestNextProcessKnowsDepartures guards against a process that makes a server ready again although an earlier one knew
// that it leaves, and against one that keeps out the next lifetime.
func TestNextProcessKnowsDepartures(t *testing.T) {
	for _, word := range departureWords {
		t.Run(word.name, func(t *testing.T) {
			first := newNode().run(t)
			first.announce(registration("a", 5, 2, false))
			assert.Assert(t, first.ready())
			word.say(first)
			assert.Assert(t, !first.ready())

			// Another node has the entry of the first process, and replaces it by that of the next one.
			other := newNode().run(t)
			entry := first.View().Self
			entry.Name = "first"
			other.submit(controller.MergeMembers{Members: []eelgrasspoint.Member{entry}})
			next := eelgrasspoint.Member{Name: "first", Region: "r", PeerAddress: entry.PeerAddress, Incarnation: entry.Incarnation + 1}
			other.submit(controller.MergeMembers{Members: []eelgrasspoint.Member{next}})
			kept := other.View().Members[0]
			assert.Equal(t, kept.Incarnation, next.Incarnation)

			second := newRestoringNode().run(t)
			second.announce(registration("a", 5, 1, false))
			kept.Name = "self"
			second.submit(controller.MergeMembers{Members: []eelgrasspoint.Member{kept}})
			second.submit(controller.EndRestore{Source: "test"})
			assert.Assert(t, !second.ready())
			second.announce(registration("a", 5, 2, false))
			assert.Assert(t, !second.ready())
			second.announce(registration("a", uint64(time.Now().Add(time.Second).UnixMilli()), 1, false))
			assert.Assert(t, second.ready(), "the next lifetime is not in use")
		})
	}
}

// TestAnnouncementsWaitForDepartures guards against a server that is ready before the node knows whether it leaves, and
// against one that is not ready afterwards.
func TestAnnouncementsWaitForDepartures(t *testing.T) {
	n := newRestoringNode().run(t)
	n.announce(registration("a", 5, 1, false))
	assert.Assert(t, n.backend == nil)
	n.submit(controller.EndRestore{Source: "test"})
	assert.Assert(t, n.ready())
}

// TestDepartureThatIsLearnedLate guards against a server that stays ready although it left, since the node learned of
// the departure from the second source only.
func TestDepartureThatIsLearnedLate(t *testing.T) {
	n := newNode().run(t)
	n.announce(registration("a", 5, 1, false))
	n.submit(controller.LearnDepartures{Departures: []eelgrasspoint.Departure{{ID: "a", Incarnation: 5, At: time.Now()}}})
	assert.Assert(t, n.backend.Draining)
	n.announce(registration("a", 5, 2, false))
	assert.Assert(t, n.backend.Draining)
}

// TestDrainingServerKeepsItsRequests guards against a draining server that is withdrawn, with its requests in flight,
// when the node's own departures come back from another node.
func TestDrainingServerKeepsItsRequests(t *testing.T) {
	n := newNode().run(t)
	n.announce(registration("a", 5, 1, false))
	n.announce(registration("a", 5, 2, true))
	n.submit(controller.MergeMembers{Members: []eelgrasspoint.Member{n.View().Self}})
	assert.Assert(t, n.backend != nil)
	n.announce(registration("a", 5, 3, true))
	assert.Assert(t, n.backend != nil && n.backend.Draining)
}

// TestDepartedLifetimeIsNeverReadyAgain guards against any order of announcements, kills and late announcements in which
// a lifetime that left gets new requests, and against one in which the next lifetime gets none.
func TestDepartedLifetimeIsNeverReadyAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNode()
		go n.Run(t.Context())
		left := make(map[uint64]bool)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			incarnation := rapid.Uint64Range(1, 4).Draw(t, "incarnation")
			switch rapid.SampledFrom([]string{"ready", "ready", "draining", "deregistration", "kill"}).Draw(t, "step") {
			case "ready":
				n.announce(registration("a", incarnation, rapid.Uint64Range(1, 5).Draw(t, "sequence"), false))
			case "draining":
				n.announce(registration("a", incarnation, rapid.Uint64Range(1, 5).Draw(t, "sequence"), true))
				left[incarnation] = left[incarnation] || n.backend != nil && n.backend.Incarnation == incarnation && n.backend.Draining
			case "deregistration":
				n.announce(deregistration("a", incarnation))
				left[incarnation] = true
			case "kill":
				departures := n.View().Self.Departures
				n = newRestoringNode()
				go n.Run(t.Context())
				n.announce(registration("a", incarnation, 1, false))
				n.submit(controller.LearnDepartures{Departures: departures})
				n.submit(controller.EndRestore{Source: "test"})
			}
			if n.ready() && left[n.backend.Incarnation] {
				t.Fatalf("lifetime %d is ready again after it left", n.backend.Incarnation)
			}
		}
		n.announce(registration("a", 5, 1, false))
		if !n.ready() {
			t.Fatal("the next lifetime is not in use")
		}
	})
}
