package forwarder_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/router"
)

// TestRefusalNamesItsConfiguration guards against a refusal in the logs that looks the same with an old configuration, with
// a new one and without any.
func TestRefusalNamesItsConfiguration(t *testing.T) {
	inForce := eelgrasspoint.Configuration{
		Revision: eelgrasspoint.Revision{Version: 7}, Version: 12,
		Document: eelgrasspoint.Document{
			Routes: []eelgrasspoint.Route{
				{Name: "known", PathPrefix: "/known", Service: service},
				{Name: "unreadable", PathPrefix: "/unreadable"},
				{Name: "bound", PathPrefix: "/bound", Service: service, HomeRegions: []string{"there"}},
			},
			Clients: []eelgrasspoint.Client{{Name: "here", HomeRegions: []string{"here"}}},
		},
		Provenance: eelgrasspoint.Provenance{Origin: eelgrasspoint.OtherNode, Node: "b"},
	}
	named := map[string]any{
		"Revision": "7", "Version": uint64(12), "Origin": "OtherNode", "From": "b",
		"InForceMilliseconds": int64(60_000), "ReadAgeMilliseconds": int64(2000),
	}
	cases := []struct {
		reason        eelgrasspoint.Reason
		configuration eelgrasspoint.Configuration
		path          string
		node          attemptFunc
		inputs        map[string]any
	}{
		{eelgrasspoint.NoRoute, inForce, "/other", nil, named},
		{eelgrasspoint.RouteUnreadable, inForce, "/unreadable", nil, named},
		{eelgrasspoint.WrongRegion, inForce, "/bound", nil, named},
		{eelgrasspoint.StaleRoute, inForce, "/known", refuse(eelgrasspoint.StaleRoute), named},
		{eelgrasspoint.NotReady, eelgrasspoint.Configuration{}, "/other", nil, map[string]any{
			"Revision": "0", "Version": nil, "Origin": "UnknownOrigin", "InForceMilliseconds": nil, "ReadAgeMilliseconds": int64(2000),
		}},
		{eelgrasspoint.Overloaded, inForce, "/known", refuse(eelgrasspoint.Overloaded), map[string]any{
			"Revision": "7", "Version": nil, "Origin": nil, "InForceMilliseconds": nil, "ReadAgeMilliseconds": nil,
		}},
	}
	for _, c := range cases {
		t.Run(c.reason.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newEntry(&eelgrasspoint.Route{}, map[string]attemptFunc{"b": c.node})
				e.fetch = fetchNothing
				if !c.configuration.Revision.IsZero() {
					c.configuration.Provenance.InForceAt = time.Now()
				}
				e.replaceConfiguration(&c.configuration)
				time.Sleep(58 * time.Second)
				e.holder.MarkRead(time.Now())
				time.Sleep(2 * time.Second)
				request := httptest.NewRequest(http.MethodGet, c.path, nil)
				request.Header.Set(eelgrasspoint.HeaderClient, "here")
				assert.Equal(t, e.sendRequest(request).reason, c.reason.String())
				inputs := e.inputs(eelgrasspoint.EventRequestRefused)
				for name, value := range c.inputs {
					assert.Equal(t, inputs[name], value, name)
				}
			})
		})
	}
}

// replaceConfiguration puts another configuration in force.
func (e *entry) replaceConfiguration(configuration *eelgrasspoint.Configuration) {
	snapshot := *e.holder.Load()
	snapshot.Configuration = configuration
	snapshot.Router = router.New(&configuration.Document)
	e.holder.Publish(&snapshot)
}

// inputs returns the inputs of the first event with the number, by name.
func (e *entry) inputs(number eelgrasspoint.EventNumber) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	inputs := make(map[string]any)
	for _, event := range e.events {
		if event.Number != number {
			continue
		}
		for _, input := range event.Inputs {
			inputs[input.Name] = input.Value
		}
		return inputs
	}
	return inputs
}
