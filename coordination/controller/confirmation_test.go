package controller_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/controller"
)

// newConfirmingNode returns a node whose predecessor has ended, and the announcements for which it asks for a confirmation.
func newConfirmingNode(t *testing.T) (*node, *[]eelgrasspoint.Announcement) {
	t.Helper()
	asked := &[]eelgrasspoint.Announcement{}
	n := newNodeFor(controller.Options{Confirm: func(a eelgrasspoint.Announcement) { *asked = append(*asked, a) }})
	return n.run(t), asked
}

// TestLateAnnouncementAfterAllForgot guards against a server that left and is used again by a late announcement, as all
// processes that knew of its departure have ended and nothing was stored.
func TestLateAnnouncementAfterAllForgot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, asked := newConfirmingNode(t)
		n.announce(registration("a", 5, 1, false))
		assert.Equal(t, len(*asked), 1)
		for range 10 {
			time.Sleep(time.Second)
			// Late announcements come in any order; none is newer than the first.
			n.announce(registration("a", 5, 1, false))
		}
		assert.Assert(t, n.backend == nil)
	})
}

// TestServerIsUsedOnceItIsConfirmed guards against a server that stays unused though it has not left.
func TestServerIsUsedOnceItIsConfirmed(t *testing.T) {
	born := func() uint64 { return uint64(time.Now().UnixMilli()) }
	cases := []struct {
		name string
		play func(n *node)
	}{
		{"its health check denies that it leaves", func(n *node) {
			n.announce(registration("a", 5, 1, false))
			n.submit(controller.ConfirmLifetime{ID: "a"})
		}},
		{"its health check came first", func(n *node) {
			n.submit(controller.ConfirmLifetime{ID: "a"})
			n.announce(registration("a", 5, 1, false))
		}},
		{"its health check misleads, and it goes on announcing itself", func(n *node) {
			for sequence := range uint64(6) {
				n.announce(registration("a", 5, sequence+1, false))
				time.Sleep(1500 * time.Millisecond)
			}
		}},
		{"it began after the process", func(n *node) {
			time.Sleep(time.Second)
			n.announce(registration("a", born(), 1, false))
		}},
		{"it is not the first lifetime", func(n *node) {
			time.Sleep(time.Second)
			n.announce(registration("a", born(), 1, false))
			n.announce(registration("b", born()+1, 1, false))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, _ := newConfirmingNode(t)
				c.play(n)
				assert.Assert(t, n.ready())
			})
		})
	}
}

// TestLeavingServerIsNotConfirmed guards against a server that is used although its health check says that it leaves.
func TestLeavingServerIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _ := newConfirmingNode(t)
		n.announce(registration("a", 5, 1, false))
		n.submit(controller.LearnDepartures{Departures: []eelgrasspoint.Departure{{ID: "a", Incarnation: 5, At: time.Now()}}})
		for sequence := range uint64(10) {
			time.Sleep(time.Second)
			n.announce(registration("a", 5, sequence+2, false))
		}
		assert.Assert(t, n.backend == nil)
	})
}
