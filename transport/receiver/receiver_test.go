package receiver_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/router"
	"eelgrasspoint/protocol/parser"
	"eelgrasspoint/protocol/propagator"
	"eelgrasspoint/state/budgeter"
	"eelgrasspoint/state/holder"
	"eelgrasspoint/transport/receiver"
)

// refuser is a carrier that notes what reaches it and runs nothing.
type refuser struct {
	metas []eelgrasspoint.RequestMetadata
}

func (c *refuser) RoundTrip(_ context.Context, _ *eelgrasspoint.Candidate, attempt *eelgrasspoint.Attempt) (*eelgrasspoint.Answer, error) {
	c.metas = append(c.metas, attempt.Meta)
	return nil, eelgrasspoint.Refuse(eelgrasspoint.Overloaded, "")
}

// TestRevisions shows what an exit node does with attempts of entry nodes that know more or less
// of the configuration than it does.
func TestRevisions(t *testing.T) {
	document := eelgrasspoint.Document{Routes: []eelgrasspoint.Route{
		{Name: "moved", PathPrefix: "/m", Service: "new"},
		{Name: "split", PathPrefix: "/s", Split: []eelgrasspoint.Share{{Service: "old", Weight: 1}, {Service: "new", Weight: 0}}},
		{Name: "home", PathPrefix: "/h", Service: "old", HomeRegions: []string{"elsewhere"}},
	}}
	cases := []struct {
		name     string
		own      uint64
		meta     eelgrasspoint.RequestMetadata
		reason   eelgrasspoint.Reason
		executed bool
	}{
		{"nothing known here", 0, eelgrasspoint.RequestMetadata{Route: "moved", Service: "new", Revision: 7}, eelgrasspoint.NotReady, false},
		{"the entry node knows more", 5, eelgrasspoint.RequestMetadata{Route: "added", Service: "new", Revision: 7}, eelgrasspoint.Overloaded, true},
		{"it knows more, bound elsewhere", 5, eelgrasspoint.RequestMetadata{Route: "added", Service: "new", Revision: 7, Permitted: []string{"elsewhere"}}, eelgrasspoint.WrongRegion, false},
		{"the same", 5, eelgrasspoint.RequestMetadata{Route: "moved", Service: "new", Revision: 5}, eelgrasspoint.Overloaded, true},
		{"it knows less: moved", 5, eelgrasspoint.RequestMetadata{Route: "moved", Service: "old", Revision: 4}, eelgrasspoint.StaleRoute, false},
		{"it knows less: removed", 5, eelgrasspoint.RequestMetadata{Route: "removed", Service: "old", Revision: 4}, eelgrasspoint.StaleRoute, false},
		{"it knows less: weight zero", 5, eelgrasspoint.RequestMetadata{Route: "split", Service: "new", Revision: 4}, eelgrasspoint.StaleRoute, false},
		{"it knows less: still so", 5, eelgrasspoint.RequestMetadata{Route: "split", Service: "old", Revision: 4}, eelgrasspoint.Overloaded, true},
		{"it knows less: bound since", 5, eelgrasspoint.RequestMetadata{Route: "home", Service: "old", Revision: 4}, eelgrasspoint.WrongRegion, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			configuration := &eelgrasspoint.Configuration{Revision: c.own}
			if c.own > 0 {
				configuration.Document = document
			}
			carrier := &refuser{}
			a := receiver.New(receiver.Options{
				Holder: holder.New(&eelgrasspoint.Snapshot{
					Self: eelgrasspoint.Member{Region: "here"}, Configuration: configuration, Router: router.New(&configuration.Document),
				}),
				Executor: carrier, Contract: parser.New(), Clock: time.Now,
				Load: func() eelgrasspoint.Load { return eelgrasspoint.Load{} }, Count: func(string, int) {},
				Measuring: budgeter.New(1000, time.Now),
			})
			r := httptest.NewRequest(http.MethodGet, "/m/1", nil)
			c.meta.Deadline = time.Now().Add(time.Second)
			propagator.Write(r.Header, &c.meta, time.Now())
			w := httptest.NewRecorder()
			a.ServeHTTP(w, r)
			assert.Equal(t, w.Header().Get(eelgrasspoint.HeaderOutcome), eelgrasspoint.NotRun.String())
			assert.Equal(t, w.Header().Get(eelgrasspoint.HeaderReason), c.reason.String())
			assert.Equal(t, len(carrier.metas) == 1, c.executed)
		})
	}
}
