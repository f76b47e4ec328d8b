// Package assigner assigns to each node the members that it sends heartbeats to, so that each
// has a bounded number of observers and updates reach all in a few hops, and computes the
// digests by which two nodes compare their membership views. Its functions are pure.
package assigner

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"eelgrasspoint"
)

// Assigner places the members on two rings per region, and joins regions by a few bridges.
type Assigner struct{ members []eelgrasspoint.Member }

// New returns an assigner over the live members; those that left or failed are skipped.
func New(members []eelgrasspoint.Member) *Assigner {
	alive := make([]eelgrasspoint.Member, 0, len(members))
	for _, m := range members {
		if m.Alive() {
			alive = append(alive, m)
		}
	}
	return &Assigner{members: alive}
}

// rings salt the two orders of a region's members.
const (
	nearRing = "near"
	farRing  = "far"
)

// HeartbeatTargets returns the members that the node sends its heartbeats to. The offset
// rotates the bridges, as when the last ones did not answer.
func (a *Assigner) HeartbeatTargets(self eelgrasspoint.Member, bridgeOffset int) []eelgrasspoint.Member {
	own := a.inRegion(self.Region)
	observed := successors(own, self.Name, nearRing, eelgrasspoint.ObservedPerNode, nil)
	observed = successors(own, self.Name, farRing, 1, observed)
	return append(observed, a.bridges(self, bridgeOffset)...)
}

func (a *Assigner) inRegion(region string) []eelgrasspoint.Member {
	var found []eelgrasspoint.Member
	for _, m := range a.members {
		if m.Region == region {
			found = append(found, m)
		}
	}
	return found
}

// bridges returns members of other regions if this node is one of its region's bridges.
func (a *Assigner) bridges(self eelgrasspoint.Member, offset int) []eelgrasspoint.Member {
	own := ordered(a.inRegion(self.Region), nearRing)
	place := position(own, self.Name)
	if place < 0 || place >= eelgrasspoint.BridgesPerRegion {
		return nil
	}
	var found []eelgrasspoint.Member
	for _, region := range a.otherRegions(self.Region) {
		far := ordered(a.inRegion(region), nearRing)
		found = append(found, far[(place+offset)%len(far)])
	}
	return found
}

func (a *Assigner) otherRegions(own string) []string {
	var regions []string
	for _, m := range a.members {
		if m.Region != own && !slices.Contains(regions, m.Region) {
			regions = append(regions, m.Region)
		}
	}
	slices.Sort(regions)
	return regions
}

// successors adds the next count members of the ring that are not yet in the list.
func successors(members []eelgrasspoint.Member, name, ring string, count int, list []eelgrasspoint.Member) []eelgrasspoint.Member {
	order := ordered(members, ring)
	place := position(order, name)
	if place < 0 {
		return list
	}
	for step := 1; step < len(order) && count > 0; step++ {
		next := order[(place+step)%len(order)]
		if position(list, next.Name) < 0 {
			list = append(list, next)
			count--
		}
	}
	return list
}

func ordered(members []eelgrasspoint.Member, ring string) []eelgrasspoint.Member {
	type placed struct {
		place uint64
		index int
	}
	order := make([]placed, len(members))
	for i, m := range members {
		order[i] = placed{place: xxhash.Sum64String(ring + "/" + m.Name), index: i}
	}
	slices.SortFunc(order, func(a, b placed) int {
		return cmp.Or(cmp.Compare(a.place, b.place), cmp.Compare(members[a.index].Name, members[b.index].Name))
	})
	sorted := make([]eelgrasspoint.Member, len(members))
	for i, p := range order {
		sorted[i] = members[p.index]
	}
	return sorted
}

func position(members []eelgrasspoint.Member, name string) int {
	return slices.IndexFunc(members, func(m eelgrasspoint.Member) bool { return m.Name == name })
}

// buckets is the number of parts that two nodes compare one by one when their digests differ.
const buckets = 64

// BucketDigests returns the digest of each bucket of the members.
func BucketDigests(members []eelgrasspoint.Member) []uint64 {
	parts := make([][]eelgrasspoint.Member, buckets)
	for _, m := range members {
		parts[bucket(m.Name)] = append(parts[bucket(m.Name)], m)
	}
	digests := make([]uint64, buckets)
	for i, part := range parts {
		digests[i] = Digest(part)
	}
	return digests
}

// DifferingBuckets returns the numbers of the buckets whose digests differ from the given ones.
func DifferingBuckets(members []eelgrasspoint.Member, digests []uint64) []uint32 {
	var differing []uint32
	for i, own := range BucketDigests(members) {
		if i >= len(digests) || own != digests[i] {
			differing = append(differing, uint32(i))
		}
	}
	return differing
}

// MembersInBuckets returns the members that fall into the buckets with the numbers.
func MembersInBuckets(members []eelgrasspoint.Member, numbers []uint32) []eelgrasspoint.Member {
	var found []eelgrasspoint.Member
	for _, m := range members {
		if slices.Contains(numbers, uint32(bucket(m.Name))) {
			found = append(found, m)
		}
	}
	return found
}

func bucket(name string) uint64 { return xxhash.Sum64String(name) % buckets }

// Digest sums up who is alive, independent of order. Two nodes with the same view have the
// same digest.
func Digest(members []eelgrasspoint.Member) uint64 {
	var sum uint64
	var buffer []byte
	for _, m := range members {
		if !m.Alive() {
			continue
		}
		buffer = append(buffer[:0], m.Name...)
		buffer = binary.LittleEndian.AppendUint64(buffer, m.Incarnation)
		buffer = binary.LittleEndian.AppendUint64(buffer, m.Version)
		sum ^= xxhash.Sum64(buffer)
	}
	return sum
}
