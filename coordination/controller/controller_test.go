package controller

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"eelgrasspoint"
	"eelgrasspoint/state/holder"
	"eelgrasspoint/state/recorder"
)

func newController() (*Controller, *holder.Holder) {
	h := holder.New(&eelgrasspoint.Snapshot{Configuration: &eelgrasspoint.Configuration{}})
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := New(Options{
		Self:   eelgrasspoint.Member{Name: "self", Region: "r", AvailabilityZone: "z", PeerAddress: netip.MustParseAddrPort("10.0.0.1:1"), Incarnation: 5},
		Holder: h, Recorder: recorder.New("self", time.Now, log), Clock: time.Now,
		SetBackend: func(*eelgrasspoint.BackendServer) {},
	})
	return c, h
}

// drawMember draws an entry of one of three members, one of which is the node itself.
func drawMember(t *rapid.T) eelgrasspoint.Member {
	return eelgrasspoint.Member{
		Name: rapid.SampledFrom([]string{"self", "a", "b"}).Draw(t, "name"), Region: "r",
		PeerAddress: netip.MustParseAddrPort("10.0.0.2:1"),
		Incarnation: rapid.Uint64Range(1, 8).Draw(t, "incarnation"), Version: rapid.Uint64Range(0, 4).Draw(t, "version"),
		Left: rapid.Bool().Draw(t, "left"), Failed: rapid.Bool().Draw(t, "failed"),
	}
}

// TestMembersAndRevisionsNeverGoBack applies member entries, failures and configurations in random
// order. The node stays alive in its own view, and neither a member nor the revision goes back to
// an older version.
func TestMembersAndRevisionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, h := newController()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			before, revision := c.View(), h.Load().Configuration.Revision
			drawCommand(t).apply(c)
			c.publish()
			checkView(t, before, c.View())
			if got := h.Load().Configuration.Revision; got.Before(revision) {
				t.Fatalf("revision went back from %d to %d", revision, got)
			}
		}
	})
}

func drawCommand(t *rapid.T) Command {
	switch rapid.IntRange(0, 2).Draw(t, "command") {
	case 0:
		return MergeMembers{Members: []eelgrasspoint.Member{drawMember(t)}}
	case 1:
		return MarkFailed{Member: drawMember(t)}
	default:
		return ReplaceConfiguration{Configuration: eelgrasspoint.Configuration{Revision: eelgrasspoint.Revision{Version: rapid.Uint64Range(0, 9).Draw(t, "revision")}}}
	}
}

func checkView(t *rapid.T, before, after *eelgrasspoint.MembershipView) {
	if !after.Self.Alive() {
		t.Fatalf("the node is not alive in its own view: %+v", after.Self)
	}
	for _, old := range before.Members {
		for _, m := range after.Members {
			if m.Name == old.Name && old.Supersedes(m) {
				t.Fatalf("member %+v was replaced by the older %+v", old, m)
			}
		}
	}
}
