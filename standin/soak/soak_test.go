package soak_test

import (
	"os/exec"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint/standin/soak"
)

// seeds are the seeds that TestSeeds runs: one with planned operations only, one with all faults, and one for every
// cause that a seed fails for again; TestDepartedServerStaysOutAfterRestart plays those that need a finer timing.
var seeds = []struct {
	seed     uint64
	nodes    int
	duration time.Duration
	cause    string
}{
	{seed: 4, nodes: 12, duration: 8 * time.Second, cause: "planned operations only"},
	{seed: 3, nodes: 12, duration: 10 * time.Second, cause: "all faults"},
	{seed: 31018, nodes: 12, duration: 15 * time.Second, cause: "a late registration after the deregistration of a paused node's backend server"},
	{seed: 90101, nodes: 12, duration: 15 * time.Second, cause: "a node that was killed forgot that its backend server had left"},
	{seed: 95001, nodes: 12, duration: 15 * time.Second, cause: "a deregistration at a node that had just started bound nobody"},
}

// TestSeeds guards against violated guarantees under planned operations and faults on real processes,
// and against the return of failures that a seed has found.
func TestSeeds(t *testing.T) {
	bin := t.TempDir()
	output, err := exec.Command("go", "build", "-o", bin+"/", "eelgrasspoint/cmd/eelgrassd").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	for _, s := range seeds {
		t.Run(s.cause, func(t *testing.T) {
			report, err := soak.Run(t.Context(), soak.Options{
				Bin: bin, Dir: t.TempDir(), Seed: s.seed, Nodes: s.nodes, Duration: s.duration, Rate: 10, Log: t.Output(),
			})
			assert.NilError(t, err)
			assert.Equal(t, len(report.Violations), 0, "%v", report.Violations)
			assert.Assert(t, report.Answered > 0)
		})
	}
}

// TestScheduleReproducibleFromSeed guards against a schedule that draws from anything but its
// arguments: a failed seed could then not be run again. Another seed must give other events.
func TestScheduleReproducibleFromSeed(t *testing.T) {
	first := soak.Schedule(3, time.Minute, 12)
	assert.DeepEqual(t, soak.Schedule(3, time.Minute, 12), first)
	assert.Assert(t, len(first) > 20)
	assert.Assert(t, len(soak.Schedule(5, time.Minute, 12)) != len(first) || soak.Schedule(5, time.Minute, 12)[0] != first[0])
}
