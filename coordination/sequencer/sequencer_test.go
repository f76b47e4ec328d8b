package sequencer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/sequencer"
)

func TestDecide(t *testing.T) {
	document := func(number, readEpoch, numberingEpoch uint64) *eelgrasspoint.Configuration {
		return &eelgrasspoint.Configuration{Version: number, ReadEpoch: readEpoch, NumberingEpoch: numberingEpoch}
	}
	written := func(number, readEpoch uint64) *eelgrasspoint.Configuration {
		c := document(number, readEpoch, 0)
		c.Written = true
		return c
	}
	cases := map[string]struct {
		inForce, stored *eelgrasspoint.Configuration
		want            sequencer.Decision
	}{
		"first document":                        {document(0, 0, 0), document(3, 1, 0), sequencer.Decision{Follows: true}},
		"higher number":                         {document(7, 1, 0), written(8, 1), sequencer.Decision{Follows: true}},
		"higher number that may be of the copy": {document(7, 1, 0), document(8, 2, 0), sequencer.Decision{Follows: true}},
		"same number, written again":            {document(7, 1, 0), written(7, 2), sequencer.Decision{Follows: true}},
		"lower number without a restore":        {document(7, 1, 0), written(5, 1), sequencer.Decision{}},
		"lower number without epochs":           {document(7, 0, 0), written(5, 0), sequencer.Decision{}},
		"lower number of an answer held up":     {document(7, 2, 0), written(5, 1), sequencer.Decision{}},
		"lower number written after a restore": {
			document(7, 1, 0), written(5, 2), sequencer.Decision{Follows: true, Delay: 1500 * time.Millisecond, NumberingEpoch: 2},
		},
		"lower number that may be of the copy": {
			document(7, 1, 0), document(5, 2, 0), sequencer.Decision{Follows: true, Delay: time.Minute, NumberingEpoch: 2},
		},
		"higher number after numbers began anew":  {document(5, 2, 2), written(6, 2), sequencer.Decision{Follows: true, NumberingEpoch: 2}},
		"found by a process that has just begun":  {document(5, 2, 2), document(6, 2, 0), sequencer.Decision{Follows: true, NumberingEpoch: 2}},
		"written after another restore":           {document(5, 2, 2), written(6, 3), sequencer.Decision{Follows: true, NumberingEpoch: 2}},
		"higher number found after a restore":     {document(5, 2, 2), document(7, 3, 0), sequencer.Decision{Follows: true, NumberingEpoch: 2}},
		"lower again after another restore":       {document(5, 2, 2), written(4, 3), sequencer.Decision{Follows: true, Delay: 1500 * time.Millisecond, NumberingEpoch: 3}},
		"higher number of before the restore":     {document(5, 2, 2), written(7, 1), sequencer.Decision{}},
		"nothing read after another one in force": {document(5, 2, 2), document(0, 0, 0), sequencer.Decision{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, sequencer.Decide(c.inForce, c.stored), c.want) })
	}
}
