package receiver_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/router"
	"eelgrasspoint/coordination/withdrawer"
	"eelgrasspoint/protocol/parser"
	"eelgrasspoint/protocol/propagator"
	"eelgrasspoint/state/budgeter"
	"eelgrasspoint/state/holder"
	"eelgrasspoint/state/recorder"
	"eelgrasspoint/transport/receiver"
)

// refusingExecutor records the metadata of the attempts that reach it and refuses them.
type refusingExecutor struct {
	metas []eelgrasspoint.RequestMetadata
}

func (e *refusingExecutor) RoundTrip(_ context.Context, _ *eelgrasspoint.Candidate, attempt *eelgrasspoint.Attempt) (*eelgrasspoint.Answer, error) {
	e.metas = append(e.metas, attempt.Meta)
	return nil, eelgrasspoint.Refuse(eelgrasspoint.Overloaded, "")
}

// TestAttemptsAcrossRevisions checks which attempts an exit node refuses if the entry node used a later, the
// same or an earlier configuration revision, or if the exit node has no configuration. An attempt that the
// receiver does not refuse reaches the executor, which refuses it as Overloaded.
func TestAttemptsAcrossRevisions(t *testing.T) {
	document := eelgrasspoint.Document{Routes: []eelgrasspoint.Route{
		{Name: "moved", PathPrefix: "/m", Service: "new"},
		{Name: "split", PathPrefix: "/s", Split: []eelgrasspoint.Share{{Service: "old", Weight: 1}, {Service: "new", Weight: 0}}},
		{Name: "home", PathPrefix: "/h", Service: "old", HomeRegions: []string{"elsewhere"}},
		{Name: "unreadable", PathPrefix: "/u"},
	}}
	cases := []struct {
		name             string
		exitNodeRevision uint64
		meta             eelgrasspoint.RequestMetadata
		reason           eelgrasspoint.Reason
		reachesExecutor  bool
	}{
		{"no configuration", 0, eelgrasspoint.RequestMetadata{Route: "moved", Service: "new", Revision: eelgrasspoint.Revision{Version: 7}}, eelgrasspoint.NotReady, false},
		{"later revision, unknown route", 5, eelgrasspoint.RequestMetadata{Route: "added", Service: "new", Revision: eelgrasspoint.Revision{Version: 7}}, eelgrasspoint.Overloaded, true},
		{"later revision, bound to another region", 5, eelgrasspoint.RequestMetadata{Route: "added", Service: "new", Revision: eelgrasspoint.Revision{Version: 7}, Permitted: []string{"elsewhere"}}, eelgrasspoint.WrongRegion, false},
		{"same revision", 5, eelgrasspoint.RequestMetadata{Route: "moved", Service: "new", Revision: eelgrasspoint.Revision{Version: 5}}, eelgrasspoint.Overloaded, true},
		{"earlier revision, route moved to another service", 5, eelgrasspoint.RequestMetadata{Route: "moved", Service: "old", Revision: eelgrasspoint.Revision{Version: 4}}, eelgrasspoint.StaleRoute, false},
		{"earlier revision, route removed", 5, eelgrasspoint.RequestMetadata{Route: "removed", Service: "old", Revision: eelgrasspoint.Revision{Version: 4}}, eelgrasspoint.StaleRoute, false},
		{"earlier revision, service with weight zero", 5, eelgrasspoint.RequestMetadata{Route: "split", Service: "new", Revision: eelgrasspoint.Revision{Version: 4}}, eelgrasspoint.StaleRoute, false},
		{"earlier revision, service still served by the route", 5, eelgrasspoint.RequestMetadata{Route: "split", Service: "old", Revision: eelgrasspoint.Revision{Version: 4}}, eelgrasspoint.Overloaded, true},
		{"earlier revision, route since bound to another region", 5, eelgrasspoint.RequestMetadata{Route: "home", Service: "old", Revision: eelgrasspoint.Revision{Version: 4}}, eelgrasspoint.WrongRegion, false},
		{"same revision, route that only the entry node can read", 5, eelgrasspoint.RequestMetadata{Route: "unreadable", Service: "new", Revision: eelgrasspoint.Revision{Version: 5}}, eelgrasspoint.Overloaded, true},
		{"same revision, such a route bound to another region", 5, eelgrasspoint.RequestMetadata{Route: "unreadable", Service: "new", Revision: eelgrasspoint.Revision{Version: 5}, Permitted: []string{"elsewhere"}}, eelgrasspoint.WrongRegion, false},
		{"earlier revision, route that can't be read any more", 5, eelgrasspoint.RequestMetadata{Route: "unreadable", Service: "new", Revision: eelgrasspoint.Revision{Version: 4}}, eelgrasspoint.StaleRoute, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			configuration := &eelgrasspoint.Configuration{Revision: eelgrasspoint.Revision{Version: c.exitNodeRevision}}
			if c.exitNodeRevision > 0 {
				configuration.Document = document
			}
			executor := &refusingExecutor{}
			exitNode := receiver.New(receiver.Options{
				Holder: holder.New(&eelgrasspoint.Snapshot{
					Self: eelgrasspoint.Member{Region: "here"}, Configuration: configuration, Router: router.New(&configuration.Document),
				}),
				Executor: executor, Contract: parser.New(), Clock: time.Now,
				Load: func() eelgrasspoint.Load { return eelgrasspoint.Load{} }, Count: func(string, int) {},
				Withdrawer: withdrawer.New(time.Now),
				Measuring:  budgeter.New(1000, time.Now), Recorder: recorder.New("exit", time.Now, logrus.New()),
			})
			r := httptest.NewRequest(http.MethodGet, "/m/1", nil)
			c.meta.Deadline = time.Now().Add(time.Second)
			propagator.Write(r.Header, &c.meta, time.Now())
			w := httptest.NewRecorder()
			exitNode.ServeHTTP(w, r)
			assert.Equal(t, w.Header().Get(eelgrasspoint.HeaderOutcome), eelgrasspoint.NotRun.String())
			assert.Equal(t, w.Header().Get(eelgrasspoint.HeaderReason), c.reason.String())
			assert.Equal(t, len(executor.metas) == 1, c.reachesExecutor)
		})
	}
}
