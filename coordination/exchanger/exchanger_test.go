package exchanger_test

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"eelgrasspoint"
	"eelgrasspoint/coordination/controller"
	"eelgrasspoint/coordination/exchanger"
	"eelgrasspoint/coordination/quarantiner"
	"eelgrasspoint/coordination/tracker"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/state/holder"
	"eelgrasspoint/state/recorder"
)

// FuzzConverse sends any request that parses to a node with a running controller. The node must not
// panic, must stay alive in its own view, must reject messages of other clusters, and must not let
// a message move its clock ahead by more than two minutes. The recorder's bound is one minute; the
// rest is slack.
func FuzzConverse(f *testing.F) {
	seed, _ := proto.Marshal(&schema.ConverseRequest{
		Cluster: "c", From: "x", Revision: 7, Wall: 1 << 63,
		News: []*schema.Member{{Name: "self", Incarnation: 9, Failed: true, PeerAddress: "10.0.0.1:1"}, {PeerAddress: "?"}},
	})
	f.Add(seed)
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := holder.New(&eelgrasspoint.Snapshot{Configuration: &eelgrasspoint.Configuration{}})
	r := recorder.New("self", time.Now, log)
	c := controller.New(controller.Options{
		Self:   eelgrasspoint.Member{Name: "self", Region: "r", PeerAddress: netip.MustParseAddrPort("10.0.0.1:1"), Incarnation: 5},
		Holder: h, Recorder: r, Clock: time.Now, SetBackend: func(*eelgrasspoint.BackendServer) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	f.Cleanup(cancel)
	go c.Run(ctx)
	e := exchanger.New(exchanger.Options{
		Quarantiner: quarantiner.New(time.Now),
		Cluster:     "c", Controller: c, Recorder: r, Witness: r.AdvanceClock, Now: r.Now,
		Load:  func() eelgrasspoint.Load { return eelgrasspoint.Load{} },
		Heard: func(string) {}, StartFetch: func(eelgrasspoint.Member, eelgrasspoint.Revision, func() bool) {}, Tracker: tracker.New(), Clock: time.Now, Settled: func() bool { return true },
	})
	f.Fuzz(func(t *testing.T, data []byte) {
		var request schema.ConverseRequest
		if proto.Unmarshal(data, &request) != nil {
			return
		}
		_, err := e.Converse(ctx, &request)
		if request.GetCluster() != "c" && err == nil {
			t.Fatal("a message from another cluster was answered")
		}
		_, _ = e.Members(ctx, &schema.MembersRequest{Digests: []uint64{request.GetDigest()}})
		_, _ = e.Configuration(ctx, &schema.ConfigurationRequest{AfterRevision: request.GetRevision()})
		if !c.View().Self.Alive() {
			t.Fatalf("the node is not alive in its own view: %+v", c.View().Self)
		}
		if r.Now().After(time.Now().Add(2 * time.Minute)) {
			t.Fatal("a message moved the clock ahead by more than 2 minutes")
		}
	})
}
