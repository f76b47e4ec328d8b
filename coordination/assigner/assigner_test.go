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

// TestHeartbeatTargetsAreBounded checks the heartbeat targets with 1200 nodes, the size that the
// design aims at: each node gets heartbeats from 1 to 4 nodes, only those of the bridges cross the
// link between regions, and an update reaches all nodes within 16 hops.
func TestHeartbeatTargetsAreBounded(t *testing.T) {
	list := members(1200)
	a := assigner.New(list)
	senders := make(map[string]int)
	edges := make(map[string][]string)
	crossRegion := 0
	for _, m := range list {
		for _, target := range a.HeartbeatTargets(m, 0) {
			senders[target.Name]++
			// Updates travel in requests and in answers.
			edges[m.Name] = append(edges[m.Name], target.Name)
			edges[target.Name] = append(edges[target.Name], m.Name)
			if target.Region != m.Region {
				crossRegion++
			}
		}
	}
	for _, m := range list {
		assert.Assert(t, senders[m.Name] >= 1 && senders[m.Name] <= 4, "%s gets heartbeats from %d nodes", m.Name, senders[m.Name])
	}
	assert.Equal(t, crossRegion, 2*eelgrasspoint.BridgesPerRegion)
	hops, reached := maxHops(edges, list[0].Name, len(list))
	assert.Equal(t, reached, len(list))
	assert.Assert(t, hops <= 16, "an update needs %d hops", hops)
}

// maxHops returns the number of hops in which an update from one node reaches all that are connected to it, and
// their number, the node included.
func maxHops(edges map[string][]string, from string, count int) (hops, reached int) {
	seen := map[string]bool{from: true}
	frontier := []string{from}
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
		hops++
	}
	return hops, len(seen)
}

// TestBucketDigestsFindNewerMembers checks that synchronization by bucket digests misses no newer
// member: after one node merged the other's differing buckets, no member of the other supersedes its
// own.
func TestBucketDigestsFindNewerMembers(t *testing.T) {
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
		own, other := draw("own"), draw("other")
		differing := assigner.DifferingBuckets(other, assigner.BucketDigests(own))
		received := assigner.MembersInBuckets(other, differing)
		merged := make(map[string]eelgrasspoint.Member)
		for _, m := range append(own, received...) {
			if old, known := merged[m.Name]; !known || m.Supersedes(old) {
				merged[m.Name] = m
			}
		}
		for _, m := range other {
			if m.Supersedes(merged[m.Name]) {
				t.Fatalf("%s stayed at version %d, want %d", m.Name, merged[m.Name].Version, m.Version)
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
