package translator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/protocol/translator"
)

func TestDocumentRoundTrip(t *testing.T) {
	document := eelgrasspoint.Document{
		Regions: []eelgrasspoint.Region{{Name: "r"}}, AvailabilityZones: []eelgrasspoint.AvailabilityZone{{Name: "z", Region: "r", OutOfService: true}},
		Services: []eelgrasspoint.Service{{Name: "s"}}, Clients: []eelgrasspoint.Client{{Name: "l", HomeRegions: []string{"r"}}},
		Budgets: []eelgrasspoint.Budget{{Name: "Link", BytesPerSecond: 9}},
		Routes: []eelgrasspoint.Route{{
			Name: "a", Host: "h", PathPrefix: "/", Methods: []string{"GET"}, Service: "s", Kind: "k", Weight: 3,
			Idempotent: true, Hedge: true, TimeLimit: 2 * time.Second, HomeRegions: []string{"r"},
		}},
	}
	assert.DeepEqual(t, translator.Document(translator.DocumentMessage(&document)), document)
	removal := eelgrasspoint.Removal{Routes: []string{"b"}, Regions: []string{"q"}}
	assert.DeepEqual(t, translator.Removal(&schema.Removal{Routes: []string{"b"}, Regions: []string{"q"}}), removal)
}

func TestMembersSkipsInvalid(t *testing.T) {
	members, invalid := translator.Members([]*schema.Member{
		{Name: "valid", PeerAddress: "10.0.0.1:1", Incarnation: 1},
		{Name: "", PeerAddress: "10.0.0.1:1"},
		{Name: "invalid peer address", PeerAddress: "there"},
		{Name: "invalid backend address", PeerAddress: "10.0.0.1:1", BackendServer: &schema.BackendServer{Address: "x"}},
		{Name: "incarnation too high", PeerAddress: "10.0.0.1:1", Incarnation: 1<<64 - 1},
	})
	assert.Equal(t, len(members), 1)
	assert.Equal(t, invalid, 4)
}

// TestRowOfALaterVersionIsRead guards against a member that is not found, since it runs a later version of the program, which
// writes fields that this one doesn't know.
func TestRowOfALaterVersionIsRead(t *testing.T) {
	var message schema.Member
	assert.NilError(t, translator.ParseRow([]byte(`{"Name":"a","PeerAddress":"10.0.0.1:1","FieldOfALaterVersion":{"b":[1]}}`), &message))
	member, err := translator.Member(&message)
	assert.NilError(t, err)
	assert.Equal(t, member.Name, "a")
	assert.Assert(t, translator.ParseRow([]byte(`{"Name":1}`), &message) != nil)
}
