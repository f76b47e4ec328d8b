package receiver_test

import (
	"context"
	"io"
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

// TestRefusalByConfigurationIsRecorded guards against an attempt that the configuration of the exit node refuses without a
// line that names it, and against a line in a region that may not store it.
func TestRefusalByConfigurationIsRecorded(t *testing.T) {
	document := eelgrasspoint.Document{
		Routes: []eelgrasspoint.Route{
			{Name: "moved", PathPrefix: "/m", Service: "new"},
			{Name: "away", PathPrefix: "/a", Service: "new", HomeRegions: []string{"elsewhere"}},
		},
		Clients: []eelgrasspoint.Client{{Name: "elsewhere", HomeRegions: []string{"elsewhere"}}},
	}
	cases := []struct {
		name     string
		revision uint64
		meta     eelgrasspoint.RequestMetadata
		reason   eelgrasspoint.Reason
		recorded bool
	}{
		{"moved", 5, eelgrasspoint.RequestMetadata{Route: "moved"}, eelgrasspoint.StaleRoute, true},
		{"removed", 5, eelgrasspoint.RequestMetadata{Route: "removed"}, eelgrasspoint.StaleRoute, true},
		{"no configuration", 0, eelgrasspoint.RequestMetadata{Route: "moved"}, eelgrasspoint.NotReady, true},
		{"moved, bound elsewhere by the entry node", 5, eelgrasspoint.RequestMetadata{Route: "moved", Permitted: []string{"elsewhere"}}, eelgrasspoint.StaleRoute, false},
		{"moved and since bound elsewhere", 5, eelgrasspoint.RequestMetadata{Route: "away"}, eelgrasspoint.StaleRoute, false},
		{"removed, of a Client of another region", 5, eelgrasspoint.RequestMetadata{Route: "removed", Client: "elsewhere"}, eelgrasspoint.StaleRoute, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			configuration := &eelgrasspoint.Configuration{}
			if c.revision > 0 {
				configuration = &eelgrasspoint.Configuration{Revision: eelgrasspoint.Revision{Version: c.revision}, Version: 8, Document: document, Provenance: eelgrasspoint.Provenance{
					Origin: eelgrasspoint.StoreFeed, InForceAt: time.Now().Add(-time.Minute),
				}}
			}
			h := holder.New(&eelgrasspoint.Snapshot{
				Self: eelgrasspoint.Member{Region: "here"}, Configuration: configuration, Router: router.New(&configuration.Document),
			})
			h.MarkRead(time.Now().Add(-time.Second))
			log := logrus.New()
			log.SetOutput(io.Discard)
			events := recorder.New("exit", time.Now, log)
			exitNode := receiver.New(receiver.Options{
				Holder: h, Executor: &refusingExecutor{}, Contract: parser.New(), Clock: time.Now,
				Load: func() eelgrasspoint.Load { return eelgrasspoint.Load{} }, Count: func(string, int) {},
				Withdrawer: withdrawer.New(time.Now), Measuring: budgeter.New(1000, time.Now), Recorder: events,
			})
			r := httptest.NewRequest(http.MethodGet, "/m/1", nil)
			c.meta.Service, c.meta.Revision, c.meta.RequestID, c.meta.Deadline = "old", eelgrasspoint.Revision{Version: 4}, "id", time.Now().Add(time.Second)
			propagator.Write(r.Header, &c.meta, time.Now())
			w := httptest.NewRecorder()
			exitNode.ServeHTTP(w, r)
			assert.Equal(t, w.Header().Get(eelgrasspoint.HeaderReason), c.reason.String())
			recorded := events.Events(time.Time{})
			assert.Equal(t, len(recorded) == 1, c.recorded)
			if !c.recorded {
				return
			}
			assert.Equal(t, recorded[0].Number, eelgrasspoint.EventAttemptRefused)
			assert.Equal(t, recorded[0].RequestID, "id")
			inputs := make(map[string]any)
			for _, input := range recorded[0].Inputs {
				inputs[input.Name] = input.Value
			}
			assert.Equal(t, inputs["Revision"], eelgrasspoint.Revision{Version: c.revision}.String())
			assert.Equal(t, inputs["EntryRevision"], "4")
			assert.Assert(t, inputs["ReadAgeMilliseconds"].(int64) >= 1000)
			if c.revision > 0 {
				assert.Equal(t, inputs["Version"], uint64(8))
				assert.Equal(t, inputs["Origin"], "StoreFeed")
				assert.Assert(t, inputs["InForceMilliseconds"].(int64) >= 60_000)
			}
		})
	}
}
