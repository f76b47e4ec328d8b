// Package arranger decides which nodes observe which, so that each has a bounded number of
// observers and news reaches all in a few hops. Its functions are pure.
package arranger

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"eelgrasspoint"
)

// Arranger places the members on two rings per region, and joins regions by a few bridges.
type Arranger struct{ members []eelgrasspoint.Member }

// New returns an arranger of the members; those that left or failed have no place.
func New(members []eelgrasspoint.Member) *Arranger {
	alive := make([]eelgrasspoint.Member, 0, len(members))
	for _, m := range members {
		if m.Alive() {
			alive = append(alive, m)
		}
	}
	return &Arranger{members: alive}
}

// rings salt the two orders of a region's members.
const (
	nearRing = "near"
	farRing  = "far"
)

// Observed returns the members that the node sends its heartbeats to. The offset moves the
// bridges on, as when the last ones did not answer.
func (a *Arranger) Observed(self eelgrasspoint.Member, bridgeOffset int) []eelgrasspoint.Member {
	own := a.inRegion(self.Region)
	observed := successors(own, self.Name, nearRing, eelgrasspoint.ObservedPerNode, nil)
	observed = successors(own, self.Name, farRing, 1, observed)
	return append(observed, a.bridges(self, bridgeOffset)...)
}

func (a *Arranger) inRegion(region string) []eelgrasspoint.Member {
	var found []eelgrasspoint.Member
	for _, m := range a.members {
		if m.Region == region {
			found = append(found, m)
		}
	}
	return found
}

// bridges returns members of other regions if this node is one of its region's bridges.
func (a *Arranger) bridges(self eelgrasspoint.Member, offset int) []eelgrasspoint.Member {
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

func (a *Arranger) otherRegions(own string) []string {
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
	order := slices.Clone(members)
	slices.SortFunc(order, func(a, b eelgrasspoint.Member) int {
		return cmp.Or(cmp.Compare(place(ring, a.Name), place(ring, b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return order
}

func place(ring, name string) uint64 { return xxhash.Sum64String(ring + "/" + name) }

func position(members []eelgrasspoint.Member, name string) int {
	return slices.IndexFunc(members, func(m eelgrasspoint.Member) bool { return m.Name == name })
}

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
