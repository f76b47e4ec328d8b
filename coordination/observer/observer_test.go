package observer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/controller"
	"eelgrasspoint/coordination/quarantiner"
	"eelgrasspoint/coordination/tracker"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/state/holder"
	"eelgrasspoint/state/meter"
	"eelgrasspoint/state/recorder"
)

// laggingPeer answers the first heartbeat with an old revision, and fails all others.
type laggingPeer struct {
	schema.Exchange
	calls atomic.Int32
}

func (p *laggingPeer) Converse(context.Context, *schema.ConverseRequest) (*schema.ConverseResponse, error) {
	if p.calls.Add(1) > 1 {
		return nil, errors.New("no answer")
	}
	return &schema.ConverseResponse{From: "peer"}, nil
}

// TestLaggingMemberIsNotSilent guards against a member that counts as silent though it answered the heartbeat.
func TestLaggingMemberIsNotSilent(t *testing.T) {
	peer := &laggingPeer{}
	server := httptest.NewServer(schema.NewExchangeServer(peer))
	defer server.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	events := recorder.New("self", time.Now, log)
	c := controller.New(controller.Options{
		Self:   eelgrasspoint.Member{Name: "self", Region: "r", PeerAddress: netip.MustParseAddrPort("10.0.0.1:1"), Incarnation: 1},
		Holder: holder.New(&eelgrasspoint.Snapshot{Configuration: &eelgrasspoint.Configuration{}}), Recorder: events, Clock: time.Now,
		SetBackend: func(*eelgrasspoint.BackendServer) {},
	})
	go c.Run(t.Context())
	c.Submit(controller.ReplaceConfiguration{Configuration: eelgrasspoint.Configuration{Revision: eelgrasspoint.Revision{Version: 7}}})
	c.WaitApplied()
	o := New(Options{
		Controller: c, Client: http.DefaultClient, Recorder: events, Witness: events.AdvanceClock, Now: events.Now,
		Meter: meter.New(meter.Source{}), Clock: time.Now, Tracker: tracker.New(), Refreshed: func(time.Time) {},
		Fetch: func(context.Context, eelgrasspoint.Member, eelgrasspoint.Revision) {}, Quarantiner: quarantiner.New(time.Now),
	})
	member := eelgrasspoint.Member{Name: "peer", Region: "r", PeerAddress: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}
	assert.NilError(t, o.sendHeartbeat(t.Context(), c.View(), member))
	assert.Equal(t, peer.calls.Load(), int32(2), "the second heartbeat carries the entry of this node")
}
