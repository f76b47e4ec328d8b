package forwarder

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
)

// TestCheaperToQueue checks that the exit node is asked to queue, rather than to refuse, exactly those
// attempts whose redirect would send bytes between regions again, or send a body that is long or of unknown
// length out of the entry node's zone.
func TestCheaperToQueue(t *testing.T) {
	const short, long, unknown = 100, eelgrasspoint.MaxBodyBytesWithoutContinue + 1, -1
	cases := []struct {
		region, zone string
		length       int64
		want         bool
	}{
		{"here", "a", short, false},
		{"here", "b", short, false},
		{"here", "a", long, true},
		{"here", "a", unknown, true},
		{"here", "b", long, false},
		{"there", "c", short, true},
		{"there", "c", long, true},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%s-%s-%d", c.region, c.zone, c.length), func(t *testing.T) {
			p := &proxiedRequest{
				request: &http.Request{ContentLength: c.length},
				self:    eelgrasspoint.Member{Region: "here", AvailabilityZone: "a"},
			}
			assert.Equal(t, p.cheaperToQueue(&eelgrasspoint.Candidate{Region: c.region, AvailabilityZone: c.zone}), c.want)
		})
	}
}
