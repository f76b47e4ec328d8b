package proof

import (
	"flag"
	"fmt"
	"testing"

	"eelgrasspoint/standin/replay"
)

// scheduleCount is low by default, for CI; make schedules runs 10,000.
var scheduleCount = flag.Int("schedules", 60, "number of random schedules of faults")

var firstSeed = flag.Int("first-seed", 1, "seed of the first random schedule")

// TestSchedules guards against combinations of faults that are in no trace file and make a request run
// twice, run outside its home regions, run although its outcome is NotRun, or get a wrong answer.
func TestSchedules(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*scheduleCount; seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			r := play(t, replay.Schedule(uint64(seed)), replay.Variant{})
			for _, failure := range r.Failures() {
				t.Error(failure)
			}
		})
	}
}
