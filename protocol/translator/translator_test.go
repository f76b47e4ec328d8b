package translator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/protocol/translator"
)

func TestChangeThereAndBack(t *testing.T) {
	change := eelgrasspoint.Change{
		Revision: 7, ChangeID: "c", CommittedBy: "n", CommittedAt: time.Unix(1000, 5).UTC(),
		Put: eelgrasspoint.Document{
			Regions: []eelgrasspoint.Region{{Name: "r"}}, AvailabilityZones: []eelgrasspoint.AvailabilityZone{{Name: "z", Region: "r", OutOfService: true}},
			Services: []eelgrasspoint.Service{{Name: "s"}}, Clients: []eelgrasspoint.Client{{Name: "l", HomeRegions: []string{"r"}}},
			Budgets: []eelgrasspoint.Budget{{Name: "Link", BytesPerSecond: 9}},
			Routes: []eelgrasspoint.Route{{
				Name: "a", Host: "h", PathPrefix: "/", Methods: []string{"GET"}, Service: "s", Kind: "k", Weight: 3,
				Idempotent: true, Hedge: true, TimeLimit: 2 * time.Second, HomeRegions: []string{"r"},
			}},
		},
		Remove: eelgrasspoint.Removal{Routes: []string{"b"}, Regions: []string{"q"}},
	}
	assert.DeepEqual(t, translator.Change(translator.ChangeMessage(change)), change)
}

func TestMembersLeavesOutWhatIsInvalid(t *testing.T) {
	members, invalid := translator.Members([]*schema.Member{
		{Name: "good", PeerAddress: "10.0.0.1:1", Incarnation: 1},
		{Name: "", PeerAddress: "10.0.0.1:1"},
		{Name: "no address", PeerAddress: "there"},
		{Name: "no backend", PeerAddress: "10.0.0.1:1", BackendServer: &schema.BackendServer{Address: "x"}},
		{Name: "past every count", PeerAddress: "10.0.0.1:1", Incarnation: 1<<64 - 1},
	})
	assert.Equal(t, len(members), 1)
	assert.Equal(t, invalid, 4)
}
