package proof

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"eelgrasspoint/standin/replay"
)

// loadTrace parses a trace file of testdata.
func loadTrace(t *testing.T, name string) *replay.Trace {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "traces", name+".jsonl"))
	assert.NilError(t, err)
	trace, err := replay.Parse(data)
	assert.NilError(t, err)
	return trace
}

// play replays a trace in its own synctest bubble.
func play(t *testing.T, trace *replay.Trace, variant replay.Variant) *replay.Replay {
	t.Helper()
	var r *replay.Replay
	synctest.Test(t, func(*testing.T) { r = replay.Run(trace, variant) })
	return r
}

// TestTraces guards against results outside the expectations of a trace file, for example requests that
// run twice, stay without an answer or are served too rarely during the faults of the trace.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "traces", "*.jsonl"))
	assert.NilError(t, err)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".jsonl")
		t.Run(name, func(t *testing.T) {
			r := play(t, loadTrace(t, name), replay.Variant{})
			for _, failure := range r.Failures() {
				t.Error(failure)
			}
			t.Log(r.Unserved())
			t.Logf("%.0f requests, answered %.4f, weight %.4f, p50 %.1f ms, p99 %.1f ms, runs per request %.3f",
				r.Measure("Requests", ""), r.Measure("AnsweredShare", ""), r.Measure("ServedWeight", ""),
				r.Measure("P50", ""), r.Measure("P99", ""), r.Measure("RunsPerRequest", ""))
		})
	}
}
