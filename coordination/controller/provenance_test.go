package controller

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/state/recorder"
)

// TestRevisionIsRecordedWithItsOriginAndContent guards against a revision in the logs that doesn't say how it came.
func TestRevisionIsRecordedWithItsOriginAndContent(t *testing.T) {
	c, _ := newController()
	log := logrus.New()
	log.SetOutput(io.Discard)
	events := recorder.New("self", time.Now, log)
	c.options.Recorder = events
	document := eelgrasspoint.Document{Services: []eelgrasspoint.Service{{Name: "s"}}}
	ReplaceConfiguration{Configuration: eelgrasspoint.Configuration{
		Revision: eelgrasspoint.Revision{Version: 7}, Document: document,
		Provenance: eelgrasspoint.Provenance{
			Origin: eelgrasspoint.OtherNode, Node: "a", Took: 40 * time.Millisecond, SubmittedAt: time.Now().Add(-time.Second),
		},
	}}.apply(c)
	recorded := events.Events(time.Time{})
	assert.Equal(t, len(recorded), 1)
	inputs := make(map[string]any)
	for _, input := range recorded[0].Inputs {
		inputs[input.Name] = input.Value
	}
	assert.Equal(t, inputs["Origin"], "OtherNode")
	assert.Equal(t, inputs["From"], "a")
	assert.Equal(t, inputs["TookMilliseconds"], int64(40))
	assert.Assert(t, inputs["ApplyMilliseconds"].(int64) >= 1000)
	assert.Assert(t, !c.configuration.Provenance.InForceAt.IsZero())
	changed := eelgrasspoint.Document{Services: []eelgrasspoint.Service{{Name: "other"}}}
	assert.Assert(t, document.Digest() != changed.Digest())
}
