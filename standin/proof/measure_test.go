package proof

import (
	"flag"
	"strings"
	"testing"

	"eelgrasspoint"
	"eelgrasspoint/coordination/chooser"
	"eelgrasspoint/coordination/limiter"
	"eelgrasspoint/standin/replay"
)

var measure = flag.Bool("measure", false, "measure each trace with the default chooser and limiter and with the baselines")

var measuredTraces = flag.String("traces", "noisy-morning,cold-restart,overload,bids-zone-leaves,link-nearly-full,poison-resend,service-down", "traces to measure, separated by commas")

var variantFilter = flag.String("variant", "", "measure only the variants whose name contains this text")

// variants are the default chooser and limiter and the baselines that replace them.
var variants = []struct {
	name    string
	variant replay.Variant
}{
	{"as shipped", replay.Variant{}},
	{"round robin", replay.Variant{Chooser: chooser.NewRoundRobin}},
	{"random", replay.Variant{Chooser: chooser.NewRandom}},
	{"least in flight", replay.Variant{Chooser: chooser.NewLeastInFlight}},
	{"round r., fixed", replay.Variant{Chooser: chooser.NewRoundRobin, Limiter: func() eelgrasspoint.Limiter { return limiter.NewFixed(eelgrasspoint.DefaultSlots) }}},
	{"fixed limit", replay.Variant{Limiter: func() eelgrasspoint.Limiter { return limiter.NewFixed(eelgrasspoint.DefaultSlots) }}},
}

// TestMeasure prints the measures of each trace for each variant. It runs only with -measure and checks
// nothing.
func TestMeasure(t *testing.T) {
	if !*measure {
		return
	}
	for _, name := range strings.Split(*measuredTraces, ",") {
		t.Logf("%-18s %-24s %8s %8s %8s %8s %8s %8s %8s", "trace", "variant", "answered", "weight", "possible", "p50 ms", "p99 ms", "p99.9 ms", "link B/s")
		for _, v := range variants {
			if !strings.Contains(v.name, *variantFilter) {
				continue
			}
			r := play(t, loadTrace(t, name), v.variant)
			t.Logf("%-18s %-24s %8.4f %8.4f %8.4f %8.1f %8.1f %8.1f %8.0f", name, v.name,
				r.Measure("AnsweredShare", ""), r.Measure("ServedWeight", ""), r.Measure("ServedOfPossible", ""),
				r.Measure("P50", ""), r.Measure("P99", ""), r.Measure("P99.9", ""), r.Measure("LinkBytesPerSec", ""))
			t.Log(r.Unserved())
		}
	}
}
