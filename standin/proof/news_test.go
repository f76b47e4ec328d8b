package proof

import (
	"bufio"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint/standin/platform"
	"eelgrasspoint/standin/simulator"
)

// maxControlBytesPerSecond bounds the control traffic of one node.
const maxControlBytesPerSecond = 3000

// TestNewsWithinBudget guards against gossip that exceeds the bound on control traffic when many members
// change at once: a fifth of the backend servers crash and come back within 15 s, as when a rack
// fails.
func TestNewsWithinBudget(t *testing.T) {
	const count, restarted, period = 80, 16, 15 * time.Second
	withNodes(t, count, platform.Faults{}, func(t *testing.T, s *simulator.Simulator) {
		time.Sleep(30 * time.Second)
		before, began := exchangeBytes(t, s), time.Now()
		for _, n := range s.Nodes[:restarted] {
			n.KillBackend()
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		for _, n := range s.Nodes[:restarted] {
			n.StartBackend()
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Until(began.Add(period)))
		perNode := (exchangeBytes(t, s) - before) / period.Seconds() / count
		assert.Assert(t, perNode <= maxControlBytesPerSecond, "%.0f bytes per second and node", perNode)
	})
}

// exchangeBytes returns the sum of eelgrass_exchange_bytes_total over all nodes.
func exchangeBytes(t *testing.T, s *simulator.Simulator) float64 {
	t.Helper()
	total := 0.0
	for _, n := range s.Nodes {
		response, err := s.HTTPClient().Get(n.ControlURL() + "/metrics")
		assert.NilError(t, err)
		for lines := bufio.NewScanner(response.Body); lines.Scan(); {
			if text, found := strings.CutPrefix(lines.Text(), "eelgrass_exchange_bytes_total "); found {
				bytes, err := strconv.ParseFloat(text, 64)
				assert.NilError(t, err)
				total += bytes
			}
		}
		response.Body.Close()
	}
	return total
}
