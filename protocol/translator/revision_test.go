package translator_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/sequencer"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/protocol/translator"
)

// TestRevisionsBetweenNodesKeepEveryNumber guards against a change that other nodes take for an older one, since a field of a
// message can't hold its version or its epoch.
func TestRevisionsBetweenNodesKeepEveryNumber(t *testing.T) {
	for _, revision := range []eelgrasspoint.Revision{
		{},
		{Version: 7},
		{Epoch: 2, Version: 1<<40 - 1},
		{Version: 1 << 40},
		{Epoch: 1, Version: 1 << 53},
		{Epoch: 1 << 24, Version: 5},
		{Epoch: math.MaxUint64, Version: math.MaxUint64},
	} {
		sent := eelgrasspoint.Configuration{Revision: revision, Version: 3, NumberingEpoch: 4, ReadEpoch: 5, Document: eelgrasspoint.Document{
			AvailabilityZones: []eelgrasspoint.AvailabilityZone{{Name: "a-1", ChangedAt: revision}},
		}}
		received := translator.Configuration(translator.ConfigurationMessage(&sent))
		assert.Equal(t, received.Revision, revision)
		assert.Equal(t, received.CompareNumbers(&sent), 0)
		assert.Equal(t, received.ReadEpoch, sent.ReadEpoch)
		assert.Equal(t, received.Document.AvailabilityZones[0].ChangedAt, revision)
		assert.Equal(t, received.StateDigest(), sent.StateDigest())
	}
}

// TestRevisionOfAnEarlierVersionOfTheProgram guards against nodes that part in a rolling update: they exchange one number.
func TestRevisionOfAnEarlierVersionOfTheProgram(t *testing.T) {
	const packed = 2<<40 | 5
	assert.Equal(t, translator.Revision(packed, nil), eelgrasspoint.Revision{Epoch: 2, Version: 5})
	number, large := translator.RevisionMessage(eelgrasspoint.Revision{Epoch: 2, Version: 5})
	assert.Equal(t, number, uint64(packed))
	assert.Assert(t, large == nil)
}

// TestDocumentOfAnEarlierVersionOfTheProgramIsNotOld guards against a node that goes back to an older document of its own
// during a rolling update, since it takes a newer one from another node for one of before a restore.
func TestDocumentOfAnEarlierVersionOfTheProgramIsNotOld(t *testing.T) {
	received := translator.Configuration(&schema.GetResponse{Revision: 2<<40 | 5, Version: 12})
	stored := eelgrasspoint.Configuration{Version: 9, ReadEpoch: 2, Written: true}
	assert.Equal(t, sequencer.Decide(&received, &stored), sequencer.Decision{})
	epochZero := translator.Configuration(translator.ConfigurationMessage(&eelgrasspoint.Configuration{
		Revision: eelgrasspoint.Revision{Epoch: 1, Version: 5}, Version: 12,
	}))
	assert.Equal(t, epochZero.ReadEpoch, uint64(0))
}
