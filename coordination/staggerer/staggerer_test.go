package staggerer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrasspoint/coordination/staggerer"
)

const (
	interval = 500 * time.Millisecond
	longest  = 25 * time.Second
)

// TestSomeNodeBeginsSoon guards against a time in which no node begins a call, after all have begun one together.
func TestSomeNodeBeginsSoon(t *testing.T) {
	s := staggerer.New(interval, longest)
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(2, 1500).Draw(t, "nodes")
		now := time.Unix(0, rapid.Int64Range(0, 1e18).Draw(t, "now"))
		first := longest
		for rank := range nodes {
			wait := s.Wait(now, rank, nodes)
			if wait <= 0 || wait > longest {
				t.Fatalf("rank %d waits %v", rank, wait)
			}
			first = min(first, wait)
		}
		if first > 2*interval {
			t.Fatalf("the first of %d nodes begins after %v", nodes, first)
		}
	})
}

// TestLoneNodeWaits guards against a node without others that calls all the time.
func TestLoneNodeWaits(t *testing.T) {
	s := staggerer.New(interval, longest)
	for offset := range interval {
		if offset%(7*time.Millisecond) == 0 {
			assert.Assert(t, s.Wait(time.Unix(9, int64(offset)), 0, 1) >= interval/2)
		}
	}
}
