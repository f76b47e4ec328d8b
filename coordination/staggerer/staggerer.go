// Package staggerer spreads the calls that all nodes make from time to time.
package staggerer

import "time"

// Staggerer gives each of the nodes a turn: one of them begins a call in each interval, and each one at least once in
// the longest period.
type Staggerer struct {
	interval, longest time.Duration
}

// New returns a staggerer.
func New(interval, longest time.Duration) *Staggerer {
	return &Staggerer{interval: interval, longest: longest}
}

// Wait returns the time until the next turn of the node with the rank, counted from zero, among the nodes. A turn in
// less than half an interval is left out. Nodes need the same nodes and about the same time of day.
func (s *Staggerer) Wait(now time.Time, rank, nodes int) time.Duration {
	nodes = max(nodes, 1)
	period := min(time.Duration(nodes)*s.interval, s.longest)
	turn := period / time.Duration(nodes) * time.Duration(rank)
	wait := (turn - time.Duration(now.UnixNano())%period + period) % period
	if wait < s.interval/2 {
		return min(wait+period, s.longest)
	}
	return wait
}
