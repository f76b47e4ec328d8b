package forwarder_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/router"
)

// TestRequestOfUnreadableRouteIsRefused guards against a request that runs at the service of a shorter prefix, or is
// told that there is no such route, since the node can't read the definition of its own.
func TestRequestOfUnreadableRouteIsRefused(t *testing.T) {
	e := newEntry(&eelgrasspoint.Route{}, map[string]attemptFunc{"a": answer(http.StatusOK)})
	document := eelgrasspoint.Document{Routes: []eelgrasspoint.Route{
		{Name: "all", PathPrefix: "/", Service: service}, {Name: "unreadable", PathPrefix: "/1"},
	}}
	snapshot := *e.holder.Load()
	snapshot.Configuration = &eelgrasspoint.Configuration{Revision: eelgrasspoint.Revision{Version: 2}, Document: document}
	snapshot.Router = router.New(&document)
	e.holder.Publish(&snapshot)
	result := e.send()
	assert.Equal(t, result.status, http.StatusServiceUnavailable)
	assert.Equal(t, result.outcome, eelgrasspoint.NotRun.String())
	assert.Equal(t, result.reason, eelgrasspoint.RouteUnreadable.String())
	assert.Equal(t, len(e.attemptedNodes()), 0)
}
