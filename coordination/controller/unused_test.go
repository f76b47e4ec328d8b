package controller

import (
	"io"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/state/recorder"
)

// TestUnusedConfigurationIsRecordedOnce guards against a configuration that is read again and again, but never in force, and
// leaves no line, and against a line for each of these reads.
func TestUnusedConfigurationIsRecordedOnce(t *testing.T) {
	one := eelgrasspoint.Document{Routes: []eelgrasspoint.Route{{Name: "one", PathPrefix: "/1", Service: "s"}}}
	two := eelgrasspoint.Document{Routes: []eelgrasspoint.Route{{Name: "two", PathPrefix: "/2", Service: "s"}}}
	out, in := withZone(one, true, 6), withZone(one, false, 4)
	const feed, node = eelgrasspoint.StoreFeed, eelgrasspoint.OtherNode
	configuration := func(revision, version uint64, document eelgrasspoint.Document, origin eelgrasspoint.Origin) eelgrasspoint.Configuration {
		return eelgrasspoint.Configuration{
			Revision: eelgrasspoint.Revision{Version: revision}, Version: version, Document: document, Provenance: eelgrasspoint.Provenance{Origin: origin, Took: time.Second},
		}
	}
	newer := configuration(7, 12, one, feed)
	cases := map[string]struct {
		inForce, read eelgrasspoint.Configuration
		recorded      bool
	}{
		"earlier document":                          {newer, configuration(5, 11, two, feed), true},
		"earlier document of another node":          {newer, configuration(5, 11, two, node), true},
		"lower number at a later revision":          {newer, configuration(8, 11, two, feed), true},
		"other content under the same numbers":      {newer, configuration(7, 12, two, feed), true},
		"earlier revision of a number of the store": {configuration(7, 0, one, feed), configuration(5, 0, two, node), true},
		"earlier state of a zone":                   {configuration(7, 12, out, feed), configuration(5, 12, in, node), true},
		"the same":                                  {newer, newer, false},
		"the same from another node":                {newer, configuration(7, 12, one, node), false},
		"the same content at an earlier revision":   {newer, configuration(5, 12, one, feed), false},
		"later document":                            {newer, configuration(8, 13, two, feed), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			control, _ := newController()
			log := logrus.New()
			log.SetOutput(io.Discard)
			events := recorder.New("self", time.Now, log)
			control.options.Recorder = events
			ReplaceConfiguration{Configuration: c.inForce}.apply(control)
			for range 3 {
				ReplaceConfiguration{Configuration: c.read}.apply(control)
				// That of another source in between.
				ReplaceConfiguration{Configuration: c.inForce}.apply(control)
			}
			recorded := unusedEvents(events, c.read.Revision)
			assert.Equal(t, len(recorded) > 0, c.recorded)
			if !c.recorded {
				return
			}
			assert.Equal(t, len(recorded), 1)
			inputs := make(map[string]any)
			for _, input := range recorded[0].Inputs {
				inputs[input.Name] = input.Value
			}
			assert.Equal(t, inputs["Revision"], c.read.Revision.String())
			assert.Equal(t, inputs["Origin"], c.read.Provenance.Origin.String())
			assert.Equal(t, inputs["Digest"], formatDigest(c.read.Document.Digest()))
			assert.Equal(t, inputs["InForceVersion"], c.inForce.Version)
			assert.Equal(t, inputs["InForceDigest"], formatDigest(control.configuration.Document.Digest()))
		})
	}
}

// TestUnusedConfigurationsAreBounded guards against memory that grows with each configuration that is not put in force.
func TestUnusedConfigurationsAreBounded(t *testing.T) {
	control, _ := newController()
	replace(control, 1000, eelgrasspoint.Document{}, eelgrasspoint.StoreFeed)
	for revision := range uint64(500) {
		replace(control, revision+1, eelgrasspoint.Document{Services: []eelgrasspoint.Service{{Name: "s"}}}, eelgrasspoint.StoreFeed)
	}
	assert.Equal(t, len(control.unused.recorded), maxRecordedReads)
}

// withZone returns the document with an availability zone.
func withZone(document eelgrasspoint.Document, out bool, changedAt uint64) eelgrasspoint.Document {
	document.AvailabilityZones = []eelgrasspoint.AvailabilityZone{{Name: "z", Region: "r", OutOfService: out, ChangedAt: eelgrasspoint.Revision{Version: changedAt}}}
	return document
}

func unusedEvents(events *recorder.Recorder, revision eelgrasspoint.Revision) []eelgrasspoint.Event {
	var found []eelgrasspoint.Event
	for _, event := range events.Events(time.Time{}) {
		read := eelgrasspoint.Input{Name: "Revision", Value: revision.String()}
		if event.Number == eelgrasspoint.EventConfigurationNotInForce && slices.Contains(event.Inputs, read) {
			found = append(found, event)
		}
	}
	return found
}
