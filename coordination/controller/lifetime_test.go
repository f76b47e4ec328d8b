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

// node is a controller and the backend server that it last passed on.
type node struct {
	*controller.Controller
	backend *eelgrasspoint.BackendServer
}

type quiet struct{}

func (quiet) Record(eelgrasspoint.Event) {}

func newNode() *node {
	n := &node{}
	n.Controller = controller.New(controller.Options{
		Self:       eelgrasspoint.Member{Name: "self", Region: "r", AvailabilityZone: "z", PeerAddress: netip.MustParseAddrPort("10.0.0.1:1")},
		Holder:     holder.New(&eelgrasspoint.Snapshot{Configuration: &eelgrasspoint.Configuration{}}),
		Recorder:   quiet{},
		Clock:      time.Now,
		SetBackend: func(b *eelgrasspoint.BackendServer) { n.backend = b },
	})
	return n
}

// say announces and waits until it is in force.
func (n *node) say(a eelgrasspoint.Announcement) {
	n.Submit(controller.UpdateBackend{Announcement: a})
	done := make(chan struct{})
	n.Submit(controller.Barrier{Done: done})
	<-done
}

func announcement(id string, born, sequence uint64, draining bool) eelgrasspoint.Announcement {
	return eelgrasspoint.Announcement{ID: id, Incarnation: born, Sequence: sequence, Backend: &eelgrasspoint.BackendServer{
		ID: id, Service: "s", Slots: 13, Draining: draining,
	}}
}

func leave(id string, born uint64) eelgrasspoint.Announcement {
	return eelgrasspoint.Announcement{ID: id, Incarnation: born}
}

func TestLateAnnouncements(t *testing.T) {
	const left, draining, ready = "left", "draining", "ready"
	cases := []struct {
		name string
		said []eelgrasspoint.Announcement
		want string
		id   string
	}{
		{"drains", []eelgrasspoint.Announcement{announcement("a", 5, 1, false), announcement("a", 5, 2, true)}, draining, "a"},
		{"ready comes late", []eelgrasspoint.Announcement{announcement("a", 5, 3, true), announcement("a", 5, 2, false)}, draining, "a"},
		{"ready after draining", []eelgrasspoint.Announcement{announcement("a", 5, 3, true), announcement("a", 5, 4, false)}, draining, "a"},
		{"ready comes after it left", []eelgrasspoint.Announcement{announcement("a", 5, 3, false), leave("a", 5), announcement("a", 5, 4, false)}, left, ""},
		{"leaves without its start", []eelgrasspoint.Announcement{announcement("a", 5, 3, false), leave("a", 0)}, left, ""},
		{"leaves before it was known", []eelgrasspoint.Announcement{leave("a", 5), announcement("a", 5, 4, false)}, left, ""},
		{"leaves without its start before it was known", []eelgrasspoint.Announcement{leave("a", 0), announcement("a", 5, 4, false)}, left, ""},
		{"leaves without its start after it was asked", []eelgrasspoint.Announcement{announcement("a", 0, 0, false), leave("a", 0), announcement("a", 5, 4, false)}, left, ""},
		{"and starts again", []eelgrasspoint.Announcement{leave("a", 0), announcement("a", uint64(time.Now().Add(time.Hour).UnixMilli()), 1, false)}, ready, "a"},
		{"leaves without its start beside another", []eelgrasspoint.Announcement{announcement("b", 7, 1, false), leave("a", 0), announcement("a", 9, 4, false)}, ready, "b"},
		{"an earlier lifetime leaves", []eelgrasspoint.Announcement{announcement("a", 7, 1, false), leave("a", 5)}, ready, "a"},
		{"another one leaves", []eelgrasspoint.Announcement{announcement("b", 7, 1, false), leave("a", 0)}, ready, "b"},
		{"an earlier lifetime drains", []eelgrasspoint.Announcement{announcement("b", 7, 1, false), announcement("a", 5, 9, true)}, ready, "b"},
		{"the same identifier again", []eelgrasspoint.Announcement{announcement("a", 5, 9, true), announcement("a", 7, 1, false)}, ready, "a"},
		{"after another left", []eelgrasspoint.Announcement{announcement("a", 5, 9, false), leave("a", 5), announcement("b", 7, 1, false)}, ready, "b"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newNode()
			go n.Run(t.Context())
			for _, a := range c.said {
				n.say(a)
			}
			switch c.want {
			case left:
				assert.Assert(t, n.backend == nil)
			default:
				assert.Equal(t, n.backend.ID, c.id)
				assert.Equal(t, n.backend.Draining, c.want == draining)
			}
		})
	}
}

// TestAnnouncementsInAnyOrder shows that the newest announcement of the newest lifetime decides,
// in whatever order they come, and that a lifetime which said that it leaves stays so.
func TestAnnouncementsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNode()
		ctx := t.Context()
		go n.Run(ctx)
		var newest uint64
		leaving := make(map[uint64]bool)
		for range rapid.IntRange(1, 12).Draw(t, "announcements") {
			born := rapid.Uint64Range(1, 4).Draw(t, "born")
			sequence := rapid.Uint64Range(1, 5).Draw(t, "sequence")
			draining := rapid.Bool().Draw(t, "draining")
			n.say(announcement("i", born, sequence, draining))
			accepted := n.backend != nil && n.backend.Incarnation == born && n.backend.Draining == draining
			if born < newest && n.backend.Incarnation == born {
				t.Fatalf("lifetime %d took the place of %d", born, newest)
			}
			newest = max(newest, born)
			leaving[born] = leaving[born] || accepted && draining
			if n.backend.Incarnation != newest {
				t.Fatalf("lifetime %d is in force, not %d", n.backend.Incarnation, newest)
			}
			if leaving[newest] && !n.backend.Draining {
				t.Fatalf("lifetime %d is back after it said that it leaves", newest)
			}
		}
	})
}
