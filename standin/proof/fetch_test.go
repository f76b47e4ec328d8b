package proof

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/standin/backend"
	"eelgrasspoint/standin/network"
	"eelgrasspoint/standin/simulator"
)

// TestRequestsBehindALargeConfigurationShareItsFetch guards against requests that each fetch the same large
// configuration, so that on a slow link no fetch ends in time and none of them is answered.
func TestRequestsBehindALargeConfigurationShareItsFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := network.Conditions{SameZone: 100 * time.Microsecond, SameRegion: time.Millisecond, OtherRegion: 20 * time.Millisecond, LinkBytesPerSecond: 1_250_000}
		s := simulator.New(simulator.Options{Shape: slow, StoreRegion: "astana"})
		defer s.Close()
		p := &pair{Simulator: s}
		p.entry = s.AddNode("almaty", "almaty-a", "vitrine", 4, backend.Behavior{})
		p.exit = s.AddNode("astana", "astana-a", "bench", 100, backend.Behavior{})
		p.client = s.HTTPClientIn(p.entry)
		defer p.client.CloseIdleConnections()
		time.Sleep(3 * time.Second)
		document := simulator.ExampleDocument()
		for i := range 2800 {
			document.Routes = append(document.Routes, eelgrasspoint.Route{
				Name: fmt.Sprintf("route-%d", i), PathPrefix: fmt.Sprintf("/many-%d/", i), Service: "bench", Kind: "page",
			})
		}
		s.ApplyDocument(t.Context(), p.exit, document)
		time.Sleep(10 * time.Second)
		// With a connection between the nodes, the refusals arrive before the heartbeat that tells of the revision.
		assert.Equal(t, p.sendBooking("first", nil).status, http.StatusOK)
		before := configurationFetches(t, p)

		moved := &schema.ApplyRequest{Put: &schema.Document{Routes: []*schema.Route{
			{Name: "bookings", PathPrefix: "/bookings", Service: "vitrine", Kind: "booking"},
		}}}
		response := p.Apply(t.Context(), p.exit, moved)
		assert.Equal(t, response.GetResult(), schema.ApplyResult_APPLY_RESULT_ACCEPTED, "%v", response)
		assert.Assert(t, p.entry.Runner.View().Revision.Version < response.GetRevision())
		var group sync.WaitGroup
		for i := range 30 {
			group.Go(func() {
				got := p.sendBooking(fmt.Sprint("b", i), nil)
				assert.Check(t, got.status == http.StatusOK && !got.incomplete, "%+v", got)
			})
		}
		group.Wait()
		// One for the requests, and one for the heartbeat that tells of the revision.
		fetches := configurationFetches(t, p) - before
		assert.Assert(t, fetches <= 2, "%d fetches", fetches)
	})
}

// configurationFetches returns the number of configurations that the entry node has asked other nodes for.
func configurationFetches(t *testing.T, p *pair) int {
	t.Helper()
	response, err := p.client.Get(p.entry.ControlURL() + "/metrics")
	assert.NilError(t, err)
	defer response.Body.Close()
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if text, found := strings.CutPrefix(lines.Text(), `eelgrass_exchange_messages_total{kind="Configuration"} `); found {
			count, err := strconv.Atoi(text)
			assert.NilError(t, err)
			return count
		}
	}
	return 0
}
