package controller_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrasspoint"
	"eelgrasspoint/coordination/controller"
	"eelgrasspoint/state/holder"
)

// node is a controller and the backend server that it last passed to SetBackend.
type node struct {
	*controller.Controller
	backend *eelgrasspoint.BackendServer
}

type discardRecorder struct{}

func (discardRecorder) Record(eelgrasspoint.Event) {}

func newNode() *node { return newNodeWith(false) }

// newRestoringNode returns a node that does not know yet which lifetimes left.
func newRestoringNode() *node { return newNodeWith(true) }

func newNodeWith(restoring bool) *node { return newNodeFor(controller.Options{Restoring: restoring}) }

// newNodeFor returns a node with the options, to which what every node needs is added.
func newNodeFor(options controller.Options) *node {
	n := &node{}
	options.Self = eelgrasspoint.Member{Name: "self", Region: "r", AvailabilityZone: "z", PeerAddress: netip.MustParseAddrPort("10.0.0.1:1")}
	options.Holder = holder.New(&eelgrasspoint.Snapshot{Configuration: &eelgrasspoint.Configuration{}})
	options.Recorder = discardRecorder{}
	options.Clock = time.Now
	options.SetBackend = func(b *eelgrasspoint.BackendServer) { n.backend = b }
	n.Controller = controller.New(options)
	return n
}

// announce submits an announcement and waits until it is applied.
func (n *node) announce(a eelgrasspoint.Announcement) {
	n.Submit(controller.ApplyAnnouncement{Announcement: a})
	done := make(chan struct{})
	n.Submit(controller.Barrier{Done: done})
	<-done
}

func registration(id string, incarnation, sequence uint64, draining bool) eelgrasspoint.Announcement {
	return eelgrasspoint.Announcement{ID: id, Incarnation: incarnation, Sequence: sequence, Backend: &eelgrasspoint.BackendServer{
		ID: id, Service: "s", Slots: 13, Draining: draining,
	}}
}

func deregistration(id string, incarnation uint64) eelgrasspoint.Announcement {
	return eelgrasspoint.Announcement{ID: id, Incarnation: incarnation}
}

// TestStaleAnnouncements checks that a late announcement neither makes a draining or deregistered
// backend server ready again nor replaces a newer lifetime, and that a new lifetime is accepted.
func TestStaleAnnouncements(t *testing.T) {
	const deregistered, draining, ready = "deregistered", "draining", "ready"
	cases := []struct {
		name          string
		announcements []eelgrasspoint.Announcement
		want          string
		id            string
	}{
		{"drains", []eelgrasspoint.Announcement{registration("a", 5, 1, false), registration("a", 5, 2, true)}, draining, "a"},
		{"late ready announcement after draining", []eelgrasspoint.Announcement{registration("a", 5, 3, true), registration("a", 5, 2, false)}, draining, "a"},
		{"ready after draining", []eelgrasspoint.Announcement{registration("a", 5, 3, true), registration("a", 5, 4, false)}, draining, "a"},
		{"ready after deregistration", []eelgrasspoint.Announcement{registration("a", 5, 3, false), deregistration("a", 5), registration("a", 5, 4, false)}, deregistered, ""},
		{"deregisters without incarnation", []eelgrasspoint.Announcement{registration("a", 5, 3, false), deregistration("a", 0)}, deregistered, ""},
		{"deregisters before its registration arrives", []eelgrasspoint.Announcement{deregistration("a", 5), registration("a", 5, 4, false)}, deregistered, ""},
		{"deregisters without incarnation before its registration arrives", []eelgrasspoint.Announcement{deregistration("a", 0), registration("a", 5, 4, false)}, deregistered, ""},
		{"late announcement with the first sequence", []eelgrasspoint.Announcement{registration("a", 5, 0, false), registration("a", 5, 3, false), registration("a", 5, 0, true)}, ready, "a"},
		{"two late announcements, the first of them with the first sequence", []eelgrasspoint.Announcement{registration("a", 5, 3, false), registration("a", 5, 0, false), registration("a", 5, 2, true)}, ready, "a"},
		{"sequences from zero", []eelgrasspoint.Announcement{registration("a", 5, 0, false), registration("a", 5, 1, true)}, draining, "a"},
		// Without an incarnation, a sequence of zero is unknown.
		{"no sequence after one", []eelgrasspoint.Announcement{registration("a", 0, 3, false), registration("a", 0, 0, true)}, draining, "a"},
		// A registration in the project's own form has an incarnation, but no ID and no sequence; its deregistration
		// has neither.
		{"late registration after a deregistration, without ID", []eelgrasspoint.Announcement{registration("", 5, 0, false), deregistration("", 0), registration("", 5, 0, false)}, deregistered, ""},
		{"starts again after a deregistration, without ID", []eelgrasspoint.Announcement{registration("", 5, 0, false), deregistration("", 0), registration("", 6, 0, false)}, ready, ""},
		// A node that has just started registers the backend server after a health check, without
		// incarnation and sequence.
		{"late registration after a registration by health check and a deregistration without incarnation", []eelgrasspoint.Announcement{registration("a", 0, 0, false), deregistration("a", 0), registration("a", 5, 4, false)}, deregistered, ""},
		// The incarnation is the start time in Unix milliseconds, which is after the deregistration.
		{"starts again after a deregistration without incarnation", []eelgrasspoint.Announcement{deregistration("a", 0), registration("a", uint64(time.Now().Add(time.Hour).UnixMilli()), 1, false)}, ready, "a"},
		{"another ID deregisters without incarnation before its registration arrives", []eelgrasspoint.Announcement{registration("b", 7, 1, false), deregistration("a", 0), registration("a", 9, 4, false)}, ready, "b"},
		{"an earlier lifetime deregisters", []eelgrasspoint.Announcement{registration("a", 7, 1, false), deregistration("a", 5)}, ready, "a"},
		{"another ID deregisters without incarnation", []eelgrasspoint.Announcement{registration("b", 7, 1, false), deregistration("a", 0)}, ready, "b"},
		{"an earlier lifetime drains", []eelgrasspoint.Announcement{registration("b", 7, 1, false), registration("a", 5, 9, true)}, ready, "b"},
		{"the same ID in a new lifetime", []eelgrasspoint.Announcement{registration("a", 5, 9, true), registration("a", 7, 1, false)}, ready, "a"},
		{"another ID after a deregistration", []eelgrasspoint.Announcement{registration("a", 5, 9, false), deregistration("a", 5), registration("b", 7, 1, false)}, ready, "b"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newNode()
			go n.Run(t.Context())
			for _, a := range c.announcements {
				n.announce(a)
			}
			switch c.want {
			case deregistered:
				assert.Assert(t, n.backend == nil)
			default:
				assert.Equal(t, n.backend.ID, c.id)
				assert.Equal(t, n.backend.Draining, c.want == draining)
			}
		})
	}
}

// TestAnnouncementsInAnyOrder checks that the newest lifetime is in force, in whatever order
// announcements arrive, and that a draining lifetime never becomes ready again.
func TestAnnouncementsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNode()
		ctx := t.Context()
		go n.Run(ctx)
		var newest uint64
		wasDraining := make(map[uint64]bool)
		for range rapid.IntRange(1, 12).Draw(t, "announcements") {
			incarnation := rapid.Uint64Range(1, 4).Draw(t, "incarnation")
			sequence := rapid.Uint64Range(1, 5).Draw(t, "sequence")
			draining := rapid.Bool().Draw(t, "draining")
			n.announce(registration("i", incarnation, sequence, draining))
			inForce := n.backend != nil && n.backend.Incarnation == incarnation && n.backend.Draining == draining
			if incarnation < newest && n.backend.Incarnation == incarnation {
				t.Fatalf("lifetime %d replaced the newer lifetime %d", incarnation, newest)
			}
			newest = max(newest, incarnation)
			wasDraining[incarnation] = wasDraining[incarnation] || inForce && draining
			if n.backend.Incarnation != newest {
				t.Fatalf("lifetime %d is in force, want %d", n.backend.Incarnation, newest)
			}
			if wasDraining[newest] && !n.backend.Draining {
				t.Fatalf("lifetime %d is ready again after it was draining", newest)
			}
		}
	})
}

// TestLeavingLastsForTheLifetime guards against a backend server that is ready again although its answers said that it
// leaves, and against one that is not ready because an earlier lifetime left.
func TestLeavingLastsForTheLifetime(t *testing.T) {
	cases := []struct {
		name                    string
		first, leaving, last    eelgrasspoint.Announcement
		draining, drainingAtEnd bool
	}{
		{"announces itself again", registration("a", 5, 1, false), registration("a", 5, 1, false), registration("a", 5, 2, false), true, true},
		{"announces itself again, without ID", registration("", 5, 0, false), registration("", 5, 0, false), registration("", 5, 0, false), true, true},
		{"another lifetime begins", registration("a", 5, 1, false), registration("a", 5, 1, false), registration("a", 7, 1, false), true, false},
		{"an earlier lifetime leaves", registration("a", 7, 1, false), registration("a", 5, 1, false), registration("a", 7, 2, false), false, false},
		{"without an identity, until the next announcement", registration("", 0, 0, false), registration("", 0, 0, false), registration("", 0, 0, false), true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newNode()
			go n.Run(t.Context())
			for _, a := range []eelgrasspoint.Announcement{c.first, c.leaving, c.last} {
				a.Backend.Incarnation = a.Incarnation
			}
			n.announce(c.first)
			n.Submit(controller.MarkLeaving{Backend: *c.leaving.Backend})
			n.WaitApplied()
			assert.Equal(t, n.backend.Draining, c.draining)
			n.announce(c.last)
			assert.Equal(t, n.backend.Draining, c.drainingAtEnd)
		})
	}
}
