package opener

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSilentConnectionKeepsItsTimeout guards against a dead connection that is taken for one whose other side doesn't read.
func TestSilentConnectionKeepsItsTimeout(t *testing.T) {
	cases := []struct {
		name  string
		queue sendQueue
		waits bool
	}{
		{"segments in flight", sendQueue{unacknowledged: 2}, false},
		{"segments in flight, more behind them", sendQueue{unacknowledged: 2, unsentBytes: 9000}, false},
		{"the window is closed", sendQueue{unsentBytes: 9000}, true},
		{"a window probe is on its way", sendQueue{unsentBytes: 9000, unansweredProbes: 1}, true},
		{"window probes are not answered", sendQueue{unsentBytes: 9000, unansweredProbes: 2}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.queue.waitsForWindow(), c.waits) })
	}
}

// TestLiftedTimeoutOutlastsDataInFlight guards against a timeout that is restored, and ends the connection at once, as the other
// side has read a part; and against one that stays lifted on a connection that has fallen silent.
func TestLiftedTimeoutOutlastsDataInFlight(t *testing.T) {
	const timeout = 500 * time.Millisecond
	cases := []struct {
		name   string
		queue  sendQueue
		lifted bool
	}{
		{"the window is closed", sendQueue{unsentBytes: 9000, sinceAcknowledged: 4 * timeout}, true},
		{"segments in flight", sendQueue{unacknowledged: 1, unsentBytes: 9000, sinceAcknowledged: timeout / 2}, true},
		{"segments in flight, no acknowledgement", sendQueue{unacknowledged: 1, unsentBytes: 9000, sinceAcknowledged: timeout}, false},
		{"window probes are not answered", sendQueue{unsentBytes: 9000, unansweredProbes: 2}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			conn := &patientConn{timeout: timeout, lifted: true}
			assert.Equal(t, conn.mayLift(c.queue), c.lifted)
		})
	}
}
