package assigner_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrasspoint"
	"eelgrasspoint/coordination/assigner"
)

func members(count int) []eelgrasspoint.Member {
	list := make([]eelgrasspoint.Member, count)
	for i := range list {
		list[i] = eelgrasspoint.Member{Name: fmt.Sprintf("node-%d", i), Region: []string{"a", "b"}[i%2], Incarnation: 1}
	}
	return list
}

// TestEveryoneIsObserved at the size to build towards: each node has observers in its region,
// nobody has many, few edges cross the link, and news reaches all in a few steps.
func TestEveryoneIsObserved(t *testing.T) {
	list := members(1200)
	a := assigner.New(list)
	observers := make(map[string]int)
	edges := make(map[string][]string)
	crossing := 0
	for _, m := range list {
		for _, o := range a.HeartbeatTargets(m, 0) {
			observers[o.Name]++
			edges[m.Name] = append(edges[m.Name], o.Name)
			edges[o.Name] = append(edges[o.Name], m.Name)
			if o.Region != m.Region {
				crossing++
			}
		}
	}
	for _, m := range list {
		assert.Assert(t, observers[m.Name] >= 1 && observers[m.Name] <= 4, "%s has %d", m.Name, observers[m.Name])
	}
	assert.Equal(t, crossing, 2*eelgrasspoint.BridgesPerRegion)
	assert.Assert(t, farthest(edges, list[0].Name, len(list)) <= 16)
}

// farthest counts the steps from one node to the last that news reaches.
func farthest(edges map[string][]string, from string, count int) int {
	seen := map[string]bool{from: true}
	frontier, steps := []string{from}, 0
	for len(seen) < count && len(frontier) > 0 {
		var next []string
		for _, name := range frontier {
			for _, other := range edges[name] {
				if !seen[other] {
					seen[other] = true
					next = append(next, other)
				}
			}
		}
		frontier = next
		steps++
	}
	return steps
}

// TestRepair draws two views and repairs them as nodes do: each then knows the newest of both.
func TestRepair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) []eelgrasspoint.Member {
			var list []eelgrasspoint.Member
			for _, m := range members(40) {
				m.Version = rapid.Uint64Range(0, 2).Draw(t, label)
				if rapid.Bool().Draw(t, label) {
					list = append(list, m)
				}
			}
			return list
		}
		one, other := draw("one"), draw("other")
		differing := assigner.DifferingBuckets(other, assigner.BucketDigests(one))
		answered := assigner.MembersInBuckets(other, differing)
		got := make(map[string]eelgrasspoint.Member)
		for _, m := range append(one, answered...) {
			if old, known := got[m.Name]; !known || m.Supersedes(old) {
				got[m.Name] = m
			}
		}
		for _, m := range other {
			if m.Supersedes(got[m.Name]) {
				t.Fatalf("%s stayed at version %d of %d", m.Name, got[m.Name].Version, m.Version)
			}
		}
	})
}

func BenchmarkHeartbeatTargets(b *testing.B) {
	list := members(1200)
	for b.Loop() {
		assigner.New(list).HeartbeatTargets(list[0], 0)
	}
}
