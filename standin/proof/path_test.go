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

var quickNetwork = network.Conditions{SameZone: 100 * time.Microsecond, SameRegion: time.Millisecond, OtherRegion: 20 * time.Millisecond}

func TestPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := simulator.New(simulator.Options{Shape: quickNetwork, StoreRegion: "almaty"})
		defer s.Close()
		first := s.AddNode("almaty", "almaty-a", "vitrine", 4, backend.Behavior{ServiceTime: 5 * time.Millisecond})
		second := s.AddNode("almaty", "almaty-b", "bench", 4, backend.Behavior{ServiceTime: 5 * time.Millisecond})
		time.Sleep(3 * time.Second)
		s.Apply(t.Context(), first, simulator.Workshop())
		time.Sleep(time.Second)

		client := s.Client()
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
		t.Log(time.Since(began))
	})
}
