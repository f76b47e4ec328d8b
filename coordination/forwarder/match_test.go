package forwarder_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/router"
)

// TestEscapedSlashSeparatesNoSegments guards against a request that runs at the service of a prefix that does not begin its
// path, and against one that is told that its route does not exist.
func TestEscapedSlashSeparatesNoSegments(t *testing.T) {
	e := newEntry(&eelgrasspoint.Route{}, map[string]attemptFunc{"a": answer(http.StatusOK)})
	document := eelgrasspoint.Document{Routes: []eelgrasspoint.Route{
		{Name: "escaped", Host: "Desk.example", PathPrefix: "/lots%2Fbids/", Service: service},
		{Name: "unescaped", Host: "desk.example", PathPrefix: "/lots/bids/", Service: "another"},
	}}
	snapshot := *e.holder.Load()
	snapshot.Configuration = &eelgrasspoint.Configuration{Revision: eelgrasspoint.Revision{Version: 2}, Document: document}
	snapshot.Router = router.New(&document)
	e.holder.Publish(&snapshot)
	r := httptest.NewRequest(http.MethodGet, "/lots%2fbids/7", nil)
	r.Host = "desk.EXAMPLE:8304"
	assert.Equal(t, e.sendRequest(r).status, http.StatusOK)
	assert.Equal(t, e.attempts[0].meta.Route, "escaped")
}
