package loader_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/state/loader"
)

func TestParse(t *testing.T) {
	settings, err := loader.Parse([]byte(`{
		"Name": "n", "Region": "r", "AvailabilityZone": "z", "CallerAddress": "127.0.0.1:1",
		"PeerAddress": "127.0.0.1:2", "ControlAddress": "127.0.0.1:3", "StopTimeout": "5s"}`))
	assert.NilError(t, err)
	assert.Equal(t, settings.StopTimeout.String(), "5s")
	assert.Equal(t, settings.Cluster, "eelgrass")
	assert.Equal(t, settings.ColdOvershoot, 1.0)
	assert.Equal(t, settings.AdvertisedAddress, settings.PeerAddress)
}

func TestParseListsEveryMistake(t *testing.T) {
	cases := []struct {
		name, settings string
		paths          []string
	}{
		{"empty", `{}`, []string{"AvailabilityZone", "CallerAddress", "ControlAddress", "Name", "PeerAddress", "Region"}},
		{"unknown and wrong", `{"Name": "n", "Region": "r", "AvailabilityZone": "z", "CallerAddress": "here", "PeerAddress": "127.0.0.1:2", "ControlAddress": "127.0.0.1:3", "Peers": ["10.0.0.1:1", "x"], "Color": 1, "LogLevel": "loud"}`, []string{"CallerAddress", "Color", "LogLevel", "Peers[1]"}},
		{"platform without region", `{"Name": "n", "Region": "r", "AvailabilityZone": "z", "CallerAddress": "127.0.0.1:1", "PeerAddress": "127.0.0.1:2", "ControlAddress": "127.0.0.1:3", "Platform": "127.0.0.1:4"}`, []string{"PlatformRegion"}},
		{"cold rate cut", `{"Name": "n", "Region": "r", "AvailabilityZone": "z", "CallerAddress": "127.0.0.1:1", "PeerAddress": "127.0.0.1:2", "ControlAddress": "127.0.0.1:3", "ColdOvershoot": 0.5}`, []string{"ColdOvershoot"}},
		{"broken", "{\n \"Name\": ,}", []string{"AvailabilityZone", "CallerAddress", "ControlAddress", "Name", "PeerAddress", "Region", "line 2, column 11"}},
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

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"Name": "n"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		settings, err := loader.Parse(data)
		if (settings == nil) == (err == nil) {
			t.Fatalf("%v with %v", settings, err)
		}
	})
}
