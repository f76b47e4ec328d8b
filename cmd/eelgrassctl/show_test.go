package main

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/protocol/translator"
)

// fakeOperators answers status and get with a configuration.
type fakeOperators struct {
	schema.Operators
	configuration eelgrasspoint.Configuration
}

func (f fakeOperators) Status(context.Context, *schema.StatusRequest) (*schema.StatusResponse, error) {
	return &schema.StatusResponse{Node: "n", Revision: f.configuration.Revision.Version}, nil
}

func (f fakeOperators) Get(context.Context, *schema.GetRequest) (*schema.GetResponse, error) {
	return translator.ConfigurationMessage(&f.configuration), nil
}

// TestStatusListsRefusedRoutes guards against a route that a node refuses, since it can't read its definition, without a
// word to the operator who looks.
func TestStatusListsRefusedRoutes(t *testing.T) {
	var out bytes.Buffer
	s := &session{options: &options{}, out: &out, errors: &out, client: fakeOperators{configuration: eelgrasspoint.Configuration{
		Revision: eelgrasspoint.Revision{Version: 7}, Document: eelgrasspoint.Document{Routes: []eelgrasspoint.Route{
			{Name: "read", PathPrefix: "/read", Service: "s"},
			{Name: "unread", Host: "h.example", PathPrefix: "/unread/"},
		}},
	}}}
	assert.Equal(t, s.status(t.Context()), exitOK)
	assert.Assert(t, strings.Contains(out.String(), "route unread (h.example/unread/) is refused"), out.String())
	assert.Assert(t, !strings.Contains(out.String(), "route read"), out.String())
}
