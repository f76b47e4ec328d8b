package replay_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/standin/replay"
)

// TestParseReportsLineOfEachMistake guards against a parser that stops at the first mistake or counts
// lines wrongly: the author of a trace file gets all mistakes at once, each with its line.
func TestParseReportsLineOfEachMistake(t *testing.T) {
	_, err := replay.Parse([]byte("{\"Seed\": 1}\n{\"Servers\": {\"Count\": 0}}\n{\"Fault\": {\"Kind\": \"Flood\"}}\n{\"Colour\": 1}\n"))
	var invalid *eelgrasspoint.InvalidError
	assert.Assert(t, errors.As(err, &invalid))
	assert.Equal(t, len(invalid.Mistakes), 5, "%v", err)
	assert.Equal(t, invalid.Mistakes[0].Path, "line 2: Servers.Count")
	assert.Equal(t, invalid.Mistakes[4].Path, "line 4: Colour")
}

// FuzzParse guards against input for which Parse panics, or returns both a trace and an error or neither.
func FuzzParse(f *testing.F) {
	f.Add([]byte("{\"Seed\": 1}\n{\"Requests\": {\"Rate\": 1, \"For\": \"1s\", \"Zone\": \"a\"}}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		trace, err := replay.Parse(data)
		if (trace == nil) == (err == nil) {
			t.Fatalf("Parse returned trace %v and error %v, want exactly one of them", trace, err)
		}
	})
}
