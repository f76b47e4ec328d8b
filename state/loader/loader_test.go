package loader_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/state/loader"
)

// TestParseSetsDefaults guards against optional settings without a default, and against a default
// that replaces a given value.
func TestParseSetsDefaults(t *testing.T) {
	settings, err := loader.Parse([]byte(`{
		"Name": "n", "Region": "r", "AvailabilityZone": "z", "CallerAddress": "127.0.0.1:1",
		"PeerAddress": "127.0.0.1:2", "ControlAddress": "127.0.0.1:3", "StopTimeout": "5s"}`))
	assert.NilError(t, err)
	assert.Equal(t, settings.StopTimeout.String(), "5s")
	assert.Equal(t, settings.Cluster, "eelgrass")
	assert.Equal(t, settings.ColdOvershoot, 1.0)
	assert.Equal(t, settings.AdvertisedAddress, settings.PeerAddress)
}

// TestNumbersInAllTheirForms guards against a node that does not start, or keeps its old settings, since a number is written in
// another form.
func TestNumbersInAllTheirForms(t *testing.T) {
	for text, want := range map[string]int{"4100": 4100, "4100.0": 4100, "4.1e3": 4100, "41000e-1": 4100} {
		t.Run(text, func(t *testing.T) {
			settings, err := loader.Parse([]byte(`{
				"Name": "n", "Region": "r", "AvailabilityZone": "z", "CallerAddress": "127.0.0.1:1",
				"PeerAddress": "127.0.0.1:2", "ControlAddress": "127.0.0.1:3", "Descriptors": ` + text + `, "MaxBodyBytes": ` + text + `,
				"RetryBudget": {"Share": 2e-1, "Window": "10.0s", "Slack": ` + text + `}}`))
			assert.NilError(t, err)
			assert.Equal(t, settings.Descriptors, want)
			assert.Equal(t, settings.MaxBodyBytes, int64(want))
			assert.Equal(t, settings.RetryBudget.Slack, float64(want))
		})
	}
	settings, err := loader.Parse([]byte(`{
		"Name": "n", "Region": "r", "AvailabilityZone": "z", "CallerAddress": "127.0.0.1:1",
		"PeerAddress": "127.0.0.1:2", "ControlAddress": "127.0.0.1:3", "RetryBudget": {"Slack": 62.5}}`))
	assert.NilError(t, err)
	assert.Equal(t, settings.RetryBudget.Slack, 62.5)
	for _, text := range []string{"4100.5", "1e300", `"4100"`, "true"} {
		t.Run(text, func(t *testing.T) {
			_, err := loader.Parse([]byte(`{
				"Name": "n", "Region": "r", "AvailabilityZone": "z", "CallerAddress": "127.0.0.1:1",
				"PeerAddress": "127.0.0.1:2", "ControlAddress": "127.0.0.1:3", "Descriptors": ` + text + `}`))
			assert.ErrorContains(t, err, "Descriptors")
		})
	}
}

// TestParseReportsEveryMistake guards against reporting only the first validation error, and
// against reporting one path twice.
func TestParseReportsEveryMistake(t *testing.T) {
	cases := []struct {
		name, settings string
		// paths are the expected paths of the mistakes; nil accepts any.
		paths []string
	}{
		{"empty", `{}`, []string{"AvailabilityZone", "CallerAddress", "ControlAddress", "Name", "PeerAddress", "Region"}},
		{"unknown field and invalid values", `{"Name": "n", "Region": "r", "AvailabilityZone": "z", "CallerAddress": "here", "PeerAddress": "127.0.0.1:2", "ControlAddress": "127.0.0.1:3", "Peers": ["10.0.0.1:1", "x"], "Color": 1, "LogLevel": "loud"}`, []string{"CallerAddress", "Color", "LogLevel", "Peers[1]"}},
		{"platform without platform region", `{"Name": "n", "Region": "r", "AvailabilityZone": "z", "CallerAddress": "127.0.0.1:1", "PeerAddress": "127.0.0.1:2", "ControlAddress": "127.0.0.1:3", "Platform": "127.0.0.1:4"}`, []string{"PlatformRegion"}},
		{"cold overshoot below 1", `{"Name": "n", "Region": "r", "AvailabilityZone": "z", "CallerAddress": "127.0.0.1:1", "PeerAddress": "127.0.0.1:2", "ControlAddress": "127.0.0.1:3", "ColdOvershoot": 0.5}`, []string{"ColdOvershoot"}},
		{"syntax error", "{\n \"Name\": ,}", []string{"AvailabilityZone", "CallerAddress", "ControlAddress", "Name", "PeerAddress", "Region", "line 2, column 11"}},
		{"not an object", `[]`, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := loader.Parse([]byte(c.settings))
			var invalid *eelgrasspoint.InvalidError
			assert.Assert(t, errors.As(err, &invalid))
			if c.paths == nil {
				return
			}
			var paths []string
			for _, m := range invalid.Mistakes {
				paths = append(paths, m.Path)
			}
			assert.DeepEqual(t, paths, c.paths)
		})
	}
}

// FuzzParse guards against panics, and against returning settings together with an error.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"Name": "n"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		settings, err := loader.Parse(data)
		if (settings == nil) == (err == nil) {
			t.Fatalf("want either settings or an error, got settings %v and error %v", settings, err)
		}
	})
}
