// Package assigner assigns heartbeat targets to each node, so that each member gets heartbeats from
// a bounded number of nodes and updates reach all members in a few hops. It also computes the
// digests by which two nodes compare their membership views. Its functions have no side effects.
package assigner

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"eelgrasspoint"
)

// Assigner places the members of each region on two hash rings. A few nodes per region, the
// bridges, also send heartbeats to other regions.
type Assigner struct{ members []eelgrasspoint.Member }

// New returns an assigner over the alive members; those that left or failed are skipped.
func New(members []eelgrasspoint.Member) *Assigner {
	alive := make([]eelgrasspoint.Member, 0, len(members))
	for _, m := range members {
		if m.Alive() {
			alive = append(alive, m)
		}
	}
	return &Assigner{members: alive}
}

// Salts of the hash rings, so that the members of a region have a different order on each. The
// values decide the order, so they must be the same on all nodes.
const (
	firstRing  = "near"
	secondRing = "far"
)

// HeartbeatTargets returns the members that the node sends heartbeats to: the next FirstRingTargets
// members on the first ring, one more on the second ring and, if the node is a bridge, one member of
// each other region. The offset rotates the targets in other regions, for example after one did not
// answer.
func (a *Assigner) HeartbeatTargets(self eelgrasspoint.Member, remoteOffset int) []eelgrasspoint.Member {
	own := a.inRegion(self.Region)
	targets := successors(own, self.Name, firstRing, eelgrasspoint.FirstRingTargets, nil)
	targets = successors(own, self.Name, secondRing, 1, targets)
	return append(targets, a.remoteTargets(self, remoteOffset)...)
}

// Predecessor returns the name of the member that sends heartbeats to the node along the first ring, or "" if the node is
// alone in its region.
func (a *Assigner) Predecessor(self eelgrasspoint.Member) string {
	order := ordered(a.inRegion(self.Region), firstRing)
	index := indexOf(order, self.Name)
	if index < 0 || len(order) == 1 {
		return ""
	}
	return order[(index+len(order)-1)%len(order)].Name
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

// remoteTargets returns one member of each other region if this node is a bridge of its own region.
func (a *Assigner) remoteTargets(self eelgrasspoint.Member, offset int) []eelgrasspoint.Member {
	own := ordered(a.inRegion(self.Region), firstRing)
	index := indexOf(own, self.Name)
	if index < 0 || index >= eelgrasspoint.BridgesPerRegion {
		return nil
	}
	var targets []eelgrasspoint.Member
	for _, region := range a.otherRegions(self.Region) {
		remote := ordered(a.inRegion(region), firstRing)
		targets = append(targets, remote[(index+offset)%len(remote)])
	}
	return targets
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

// successors appends to the list the count members that follow the named one on the ring, skipping
// those that are already in the list.
func successors(members []eelgrasspoint.Member, name, ring string, count int, list []eelgrasspoint.Member) []eelgrasspoint.Member {
	order := ordered(members, ring)
	index := indexOf(order, name)
	if index < 0 {
		return list
	}
	for step := 1; step < len(order) && count > 0; step++ {
		next := order[(index+step)%len(order)]
		if indexOf(list, next.Name) < 0 {
			list = append(list, next)
			count--
		}
	}
	return list
}

// ordered returns the members in the order of the ring.
func ordered(members []eelgrasspoint.Member, ring string) []eelgrasspoint.Member {
	type ringEntry struct {
		hash  uint64
		index int
	}
	order := make([]ringEntry, len(members))
	for i, m := range members {
		order[i] = ringEntry{hash: xxhash.Sum64String(ring + "/" + m.Name), index: i}
	}
	slices.SortFunc(order, func(a, b ringEntry) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(members[a.index].Name, members[b.index].Name))
	})
	sorted := make([]eelgrasspoint.Member, len(members))
	for i, entry := range order {
		sorted[i] = members[entry.index]
	}
	return sorted
}

func indexOf(members []eelgrasspoint.Member, name string) int {
	return slices.IndexFunc(members, func(m eelgrasspoint.Member) bool { return m.Name == name })
}

// bucketCount is the number of buckets into which members are divided by the hash of their name, so
// that two nodes whose digests differ exchange only the members of the buckets that differ.
const bucketCount = 64

// BucketDigests returns the digest of each bucket of the members.
func BucketDigests(members []eelgrasspoint.Member) []uint64 {
	buckets := make([][]eelgrasspoint.Member, bucketCount)
	for _, m := range members {
		buckets[bucketOf(m.Name)] = append(buckets[bucketOf(m.Name)], m)
	}
	digests := make([]uint64, bucketCount)
	for i, bucket := range buckets {
		digests[i] = Digest(bucket)
	}
	return digests
}

// DifferingBuckets returns the numbers of the buckets whose digests differ from the given ones. A
// bucket without a given digest counts as different.
func DifferingBuckets(members []eelgrasspoint.Member, digests []uint64) []uint32 {
	var differing []uint32
	for i, own := range BucketDigests(members) {
		if i >= len(digests) || own != digests[i] {
			differing = append(differing, uint32(i))
		}
	}
	return differing
}

// MembersInBuckets returns the members in the buckets with the given numbers.
func MembersInBuckets(members []eelgrasspoint.Member, numbers []uint32) []eelgrasspoint.Member {
	var found []eelgrasspoint.Member
	for _, m := range members {
		if slices.Contains(numbers, uint32(bucketOf(m.Name))) {
			found = append(found, m)
		}
	}
	return found
}

func bucketOf(name string) uint64 { return xxhash.Sum64String(name) % bucketCount }

// Digest returns a hash of the names, incarnations and versions of the alive members, independent of
// their order.
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
