package controller

import (
	"testing"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
)

// TestOwnReadingReplacesThatOfAnotherNode guards against a node that keeps the poorer reading of an earlier version of
// the program, which could not read a route, for as long as the revision is in force.
func TestOwnReadingReplacesThatOfAnotherNode(t *testing.T) {
	refused := eelgrasspoint.Document{Routes: []eelgrasspoint.Route{{Name: "r", PathPrefix: "/r"}}}
	read := eelgrasspoint.Document{Routes: []eelgrasspoint.Route{{Name: "r", PathPrefix: "/r", Service: "s"}}}
	cases := map[string]struct {
		first, second eelgrasspoint.Origin
		revision      uint64
		replaced      bool
	}{
		"own reading of the same revision":      {eelgrasspoint.OtherNode, eelgrasspoint.StoreScan, 7, true},
		"own reading of an earlier revision":    {eelgrasspoint.OtherNode, eelgrasspoint.StoreFeed, 6, false},
		"reading of another node, the same one": {eelgrasspoint.StoreScan, eelgrasspoint.OtherNode, 7, false},
		"reading of two other nodes":            {eelgrasspoint.OtherNode, eelgrasspoint.OtherNode, 7, false},
		"two own readings":                      {eelgrasspoint.StoreScan, eelgrasspoint.StoreFeed, 7, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			control, _ := newController()
			replace(control, 7, refused, c.first)
			replace(control, c.revision, read, c.second)
			assert.Equal(t, !control.configuration.Document.Routes[0].Refuses(), c.replaced)
		})
	}
}

func replace(c *Controller, revision uint64, document eelgrasspoint.Document, origin eelgrasspoint.Origin) {
	ReplaceConfiguration{Configuration: eelgrasspoint.Configuration{
		Revision: eelgrasspoint.Revision{Version: revision}, Document: document, Provenance: eelgrasspoint.Provenance{Origin: origin},
	}}.apply(c)
}
