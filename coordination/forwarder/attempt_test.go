package forwarder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
)

// TestServerWithoutProperAnswersIsAvoided guards against a backend server that fails requests faster than the
// others run them, and is chosen more often the more it fails.
func TestServerWithoutProperAnswersIsAvoided(t *testing.T) {
	cases := []struct {
		reason          eelgrasspoint.Reason
		ejected, failed bool
	}{
		{eelgrasspoint.MalformedAnswer, true, false},
		{eelgrasspoint.ConnectionLost, true, false},
		{eelgrasspoint.BadAnswer, false, true},
		{eelgrasspoint.TimedOut, false, true},
		{eelgrasspoint.Canceled, false, false},
	}
	for _, c := range cases {
		t.Run(c.reason.String(), func(t *testing.T) {
			var stats eelgrasspoint.ServerStats
			now := time.Now()
			recordFailure(&stats, &eelgrasspoint.OutcomeError{Outcome: eelgrasspoint.MayHaveRun, Reason: c.reason}, now)
			assert.Equal(t, stats.Ejected(now), c.ejected)
			assert.Equal(t, stats.ErrorRate(now) > 0, c.failed)
		})
	}
}
