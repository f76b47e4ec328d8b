package observer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"eelgrasspoint"
)

const (
	// extraSpreadTargets is the number of members besides the heartbeat targets to which Spread sends the entry: the
	// targets may be unreachable, or stop together with this node.
	extraSpreadTargets = 2
	// enoughSpreadNodes is the number of other nodes that keep an entry from being lost, if there are as many.
	enoughSpreadNodes = 2
)

// Spread sends the node's own entry to its heartbeat targets and to a few other members alive, and waits for the
// answers. It returns the number of nodes that have the entry, and whether they are enough to keep it.
func (o *Observer) Spread(ctx context.Context) (nodes int, enough bool) {
	view := o.options.Controller.View()
	targets := spreadTargets(view)
	var received atomic.Int64
	var group sync.WaitGroup
	for _, m := range targets {
		group.Go(func() {
			if o.sendOwnEntry(ctx, view, m) {
				received.Add(1)
			}
		})
	}
	group.Wait()
	nodes = int(received.Load())
	return nodes, nodes > 0 && nodes >= min(enoughSpreadNodes, len(targets))
}

func spreadTargets(view *eelgrasspoint.MembershipView) []eelgrasspoint.Member {
	targets := append([]eelgrasspoint.Member(nil), view.Observed...)
	extra := 0
	for _, i := range rand.Perm(len(view.Members)) {
		m := view.Members[i]
		if extra == extraSpreadTargets {
			break
		}
		if m.Name == view.Self.Name || !m.Alive() || contains(view.Observed, m.Name) {
			continue
		}
		targets = append(targets, m)
		extra++
	}
	return targets
}

// sendOwnEntry sends the node's own entry to m and reports whether m has received it.
func (o *Observer) sendOwnEntry(ctx context.Context, view *eelgrasspoint.MembershipView, m eelgrasspoint.Member) bool {
	o.options.Meter.CountExchange("Converse")
	own := []eelgrasspoint.Member{view.Self}
	if _, err := o.client(m).Converse(ctx, o.request(view, m, own)); err != nil {
		return false
	}
	o.options.Tracker.Acknowledge(m.Name, own)
	return true
}
