package proof

import (
	"flag"
	"fmt"
	"testing"

	"eelgrasspoint/standin/replay"
)

// schedules is bounded in CI; make schedules runs them all.
var schedules = flag.Int("schedules", 60, "number of random schedules of faults")

var firstSeed = flag.Int("first-seed", 1, "seed of the first random schedule")

func TestSchedules(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*schedules; seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			r := play(t, replay.Schedule(uint64(seed)), replay.Variant{})
			for _, failure := range r.Failures() {
				t.Error(failure)
			}
		})
	}
}
