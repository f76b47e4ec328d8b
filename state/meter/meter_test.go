package meter_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/state/meter"
)

// TestMetricsPage looks for every metric of the node on its page.
func TestMetricsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/METRICS.md")
	assert.NilError(t, err)
	m := meter.New(meter.Source{
		Load: func() eelgrasspoint.Load { return eelgrasspoint.Load{} }, Revision: func() uint64 { return 1 },
		Members: func() int { return 1 }, ControlBytes: func() (int64, int64) { return 1, 1 },
	})
	m.ObserveRequest("s", eelgrasspoint.Answered, time.Millisecond)
	m.CountRefusal("s", eelgrasspoint.NoRoute)
	m.CountAttempt("s", 0)
	m.CountHedge("s")
	m.AddMeasuringBytes("local", 1)
	m.AddLinkBytes(1)
	m.CountStoreCall("Read", "ok")
	m.CountExchange("Converse")
	families, err := m.Registry().Gather()
	assert.NilError(t, err)
	count := 0
	for _, family := range families {
		if !strings.HasPrefix(family.GetName(), "eelgrass_") {
			continue
		}
		count++
		assert.Assert(t, strings.Contains(string(page), "| "+family.GetName()+" |"), family.GetName())
	}
	assert.Equal(t, strings.Count(string(page), "| eelgrass_"), count, "a metric of the page is not there")
}
