package eelgrasspoint_test

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrasspoint"
)

func ExampleRevision_String() {
	fmt.Println(eelgrasspoint.Revision{Version: 7}, eelgrasspoint.Revision{Epoch: 2, Version: 5})
	// Output: 7 2.5
}

// TestRevisionsOfALaterEpochAreHigher guards against an order of versions that the table service gives out again.
func TestRevisionsOfALaterEpochAreHigher(t *testing.T) {
	assert.Assert(t, eelgrasspoint.Revision{Epoch: 2, Version: 5}.After(eelgrasspoint.Revision{Epoch: 1, Version: math.MaxUint64}))
	assert.Assert(t, eelgrasspoint.Revision{Epoch: 1}.After(eelgrasspoint.Revision{Version: math.MaxUint64}))
	assert.Assert(t, eelgrasspoint.Revision{Version: 1 << 40}.Before(eelgrasspoint.Revision{Epoch: 1}))
}

// TestRevisionKeepsEveryNumber guards against versions and epochs that run into each other where revisions are exchanged.
func TestRevisionKeepsEveryNumber(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawRevision(t, "a", 9), drawRevision(t, "b", 9)
		parsed, err := eelgrasspoint.ParseRevision(eelgrasspoint.FormatRevision(a))
		assert.NilError(t, err)
		assert.Equal(t, parsed, a)
		encoded, err := json.Marshal(a)
		assert.NilError(t, err)
		var decoded eelgrasspoint.Revision
		assert.NilError(t, json.Unmarshal(encoded, &decoded))
		assert.Equal(t, decoded, a)
		packedA, fitsA := a.Packed()
		packedB, fitsB := b.Packed()
		if fitsA {
			assert.Equal(t, eelgrasspoint.UnpackRevision(packedA), a)
		}
		if fitsA && fitsB {
			assert.Equal(t, packedA < packedB, a.Before(b))
		}
	})
}

// TestUnreadableRevision guards against a text that counts as another revision.
func TestUnreadableRevision(t *testing.T) {
	for _, text := range []string{"", ".", "1.", ".1", "1.2.3", "-1", "1e3", "18446744073709551616", "1.18446744073709551616", "x"} {
		_, err := eelgrasspoint.ParseRevision(text)
		assert.Assert(t, err != nil, "%q", text)
	}
}
