package eelgrasspoint_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrasspoint"
)

// drawRevision draws an epoch and a version, each of which may also be near the highest number.
func drawRevision(t *rapid.T, label string, maxVersion uint64) eelgrasspoint.Revision {
	high := uint64(math.MaxUint64)
	return eelgrasspoint.Revision{
		Epoch:   rapid.SampledFrom([]uint64{0, 1, 2, 1<<24 - 1, 1 << 24, high}).Draw(t, label+" epoch"),
		Version: rapid.OneOf(rapid.Uint64Range(0, maxVersion), rapid.SampledFrom([]uint64{1<<40 - 1, 1 << 40, high})).Draw(t, label+" row"),
	}
}

// drawConfiguration draws what a node may know: a number of the operators, the changes of two zones, and a revision.
func drawConfiguration(t *rapid.T, label string) *eelgrasspoint.Configuration {
	version := rapid.Uint64Range(1, 3).Draw(t, label+" version")
	c := &eelgrasspoint.Configuration{
		Version:        version,
		NumberingEpoch: rapid.Uint64Range(0, 2).Draw(t, label+" numbering"),
		Revision:       drawRevision(t, label, 9),
	}
	// Documents with the same number have the same content.
	c.Document.Routes = []eelgrasspoint.Route{{Name: "r", PathPrefix: "/", Weight: uint32(version)}}
	for _, name := range []string{"a-1", "b-1"} {
		c.Document.AvailabilityZones = append(c.Document.AvailabilityZones, eelgrasspoint.AvailabilityZone{
			Name: name, OutOfService: rapid.Bool().Draw(t, label+" out"),
			ChangedAt: drawRevision(t, label+" zone", 3),
		})
	}
	return c
}

// TestNodesReconcileInAnyOrder guards against nodes that never agree, since what they have in force depends on the order in
// which they learned it.
func TestNodesReconcileInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawConfiguration(t, "a"), drawConfiguration(t, "b"), drawConfiguration(t, "c")
		assert.DeepEqual(t, a.Reconcile(a), a)
		assert.DeepEqual(t, a.Reconcile(b), b.Reconcile(a))
		assert.DeepEqual(t, a.Reconcile(b).Reconcile(c), a.Reconcile(b.Reconcile(c)))
		merged := b.Reconcile(a)
		assert.Assert(t, !a.Reconcile(b).HasNews(merged.Revision, merged.StateDigest()))
	})
}

// TestReconcileWithUnknownNumber guards against a configuration of the project's own operators' API, or of an earlier
// version of the program, that is not put in force, or that replaces one that says more.
func TestReconcileWithUnknownNumber(t *testing.T) {
	plain := func(revision uint64) *eelgrasspoint.Configuration {
		return &eelgrasspoint.Configuration{Revision: eelgrasspoint.Revision{Version: revision}}
	}
	numbered := &eelgrasspoint.Configuration{Revision: eelgrasspoint.Revision{Version: 7}, Version: 3}
	cases := map[string]struct{ first, second, want *eelgrasspoint.Configuration }{
		"higher revision":                {plain(7), plain(8), plain(8)},
		"lower revision":                 {plain(7), plain(6), plain(7)},
		"higher revision without number": {numbered, plain(8), plain(8)},
		"same revision without number":   {numbered, plain(7), numbered},
		"same revision with number":      {plain(7), numbered, numbered},
		"none in force":                  {plain(0), numbered, numbered},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.DeepEqual(t, c.first.Reconcile(c.second), c.want) })
	}
}

// TestOlderConfigurationIsNoNews guards against nodes that fetch the configuration before a change from those that lag behind,
// and against nodes of the same revision that never tell each other what only one of them knows.
func TestOlderConfigurationIsNoNews(t *testing.T) {
	configuration := func(revision, version uint64, out bool) *eelgrasspoint.Configuration {
		return &eelgrasspoint.Configuration{Revision: eelgrasspoint.Revision{Version: revision}, Version: version, Document: eelgrasspoint.Document{
			AvailabilityZones: []eelgrasspoint.AvailabilityZone{{Name: "a-1", OutOfService: out, ChangedAt: eelgrasspoint.Revision{Version: 3}}},
		}}
	}
	inForce := configuration(7, 2, false)
	cases := map[string]struct {
		other *eelgrasspoint.Configuration
		news  bool
	}{
		"later":                          {configuration(8, 3, false), true},
		"earlier":                        {configuration(6, 1, true), false},
		"same":                           {configuration(7, 2, false), false},
		"same revision, another state":   {configuration(7, 2, true), true},
		"same revision, unknown number":  {&eelgrasspoint.Configuration{Revision: eelgrasspoint.Revision{Version: 7}}, false},
		"later revision, unknown number": {&eelgrasspoint.Configuration{Revision: eelgrasspoint.Revision{Version: 8}}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, inForce.HasNews(c.other.Revision, c.other.StateDigest()), c.news)
		})
	}
}

// TestNumberingEpochIsNews guards against a node that never learns that the numbers began anew, since its document has the
// number and the revision of the others.
func TestNumberingEpochIsNews(t *testing.T) {
	revision := eelgrasspoint.Revision{Epoch: 2, Version: 102}
	known := eelgrasspoint.Configuration{Revision: revision, Version: 5}
	other := eelgrasspoint.Configuration{Revision: revision, Version: 5, NumberingEpoch: 2}
	assert.Equal(t, known.Reconcile(&other).NumberingEpoch, uint64(2))
	assert.Assert(t, known.HasNews(other.Revision, other.StateDigest()))
}
