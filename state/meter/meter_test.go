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

// TestEveryMetricIsDocumented guards against a metric that docs/METRICS.md lacks, and against a
// documented metric that the node doesn't export.
func TestEveryMetricIsDocumented(t *testing.T) {
	documentation, err := os.ReadFile("../../docs/METRICS.md")
	assert.NilError(t, err)
	m := meter.New(meter.Source{
		Notice: func() eelgrasspoint.ServerNotice { return eelgrasspoint.ServerNotice{} },
		Load:   func() eelgrasspoint.Load { return eelgrasspoint.Load{} }, Revision: func() eelgrasspoint.Revision { return eelgrasspoint.Revision{Version: 1} },
		Members: func() int { return 1 }, RefusedRoutes: func() int { return 0 }, ReadAge: func() (time.Duration, bool) { return 0, false }, ControlBytes: func() (int64, int64) { return 1, 1 },
	})
	m.ObserveRequest("s", eelgrasspoint.Answered, time.Millisecond)
	m.CountWithoutAnswer("s", eelgrasspoint.NoRoute)
	m.CountAttempt("s", 0)
	m.CountHedge("s")
	m.AddMeasuringBytes("local", 1)
	m.AddLinkBytes(1)
	m.CountStoreCall("Read", "ok")
	m.CountExchange("Converse")
	m.CountCutShort("s", &eelgrasspoint.AnswerCutShortError{})
	m.CountPanic("callers")
	m.CountRestricted("callers")
	m.ObserveConfiguration(eelgrasspoint.StepApply, time.Millisecond)
	families, err := m.Registry().Gather()
	assert.NilError(t, err)
	count := 0
	for _, family := range families {
		if !strings.HasPrefix(family.GetName(), "eelgrass_") {
			continue
		}
		count++
		assert.Assert(t, strings.Contains(string(documentation), "| "+family.GetName()+" |"), "docs/METRICS.md lacks %s", family.GetName())
	}
	assert.Equal(t, strings.Count(string(documentation), "| eelgrass_"), count, "docs/METRICS.md lists a metric that the node doesn't export, or lists one twice")
}
