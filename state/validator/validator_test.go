package validator_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/state/validator"
)

// TestLargeWeightsAreValid guards against a valid configuration that is rejected because its weights overflow.
func TestLargeWeightsAreValid(t *testing.T) {
	document := &eelgrasspoint.Document{
		Services: []eelgrasspoint.Service{{Name: "a"}, {Name: "b"}},
		Routes: []eelgrasspoint.Route{{
			Name: "r", PathPrefix: "/",
			Split: []eelgrasspoint.Share{{Service: "a", Weight: math.MaxUint32}, {Service: "b", Weight: 1}},
		}},
	}
	assert.Equal(t, len(validator.Validate(document)), 0, "%v", validator.Validate(document))
}
