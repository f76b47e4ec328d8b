package proof

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint/standin/backend"
	"eelgrasspoint/standin/network"
	"eelgrasspoint/standin/simulator"
)

// unlimitedNetwork has no bound on the bandwidth between regions.
var unlimitedNetwork = network.Conditions{SameZone: 100 * time.Microsecond, SameRegion: time.Millisecond, OtherRegion: 20 * time.Millisecond}

// TestRequestRunsAtExitNode guards against a request that is lost or changed on its way from an entry node
// without the service to the exit node, and against a lost or changed answer.
func TestRequestRunsAtExitNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := simulator.New(simulator.Options{Shape: unlimitedNetwork, StoreRegion: "almaty"})
		defer s.Close()
		first := s.AddNode("almaty", "almaty-a", "vitrine", 4, backend.Behavior{ServiceTime: 5 * time.Millisecond})
		second := s.AddNode("almaty", "almaty-b", "bench", 4, backend.Behavior{ServiceTime: 5 * time.Millisecond})
		time.Sleep(3 * time.Second)
		s.ApplyDocument(t.Context(), first, simulator.ExampleDocument())
		time.Sleep(time.Second)

		client := s.HTTPClient()
		defer client.CloseIdleConnections()
		began := time.Now()
		response, err := client.Post(first.URL("/bookings"), "text/plain", strings.NewReader("bowl"))
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "bowl")
		assert.Equal(t, response.Header.Get("Eelgrass-Outcome"), "Answered")
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, len(second.Backend.Runs()), 1)
		t.Log("answered after", time.Since(began))
	})
}
