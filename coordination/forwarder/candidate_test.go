package forwarder

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
)

// TestDearToMove shows which attempts wait at their exit node rather than to be refused there.
func TestDearToMove(t *testing.T) {
	const short, long, unknown = 100, eelgrasspoint.MaxBodyBytesWithoutContinue + 1, -1
	cases := []struct {
		region, zone string
		length       int64
		dear         bool
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
			p := &passage{
				request: &http.Request{ContentLength: c.length},
				self:    eelgrasspoint.Member{Region: "here", AvailabilityZone: "a"},
			}
			assert.Equal(t, p.dearToMove(&eelgrasspoint.Candidate{Region: c.region, AvailabilityZone: c.zone}), c.dear)
		})
	}
}
