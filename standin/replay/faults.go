package replay

import (
	"context"
	"time"

	"eelgrasspoint/standin/backend"
	"eelgrasspoint/standin/platform"
	"eelgrasspoint/standin/simulator"
)

// faults are the kinds of a Fault line.
var faults = map[string]func(r *Replay, f Fault, targets []*simulator.Node){
	"KillBackend":    killBackend,
	"StopBackend":    stopBackend,
	"KillNode":       killNode,
	"StopNode":       stopNode,
	"LoseHost":       loseHost,
	"Silence":        silence,
	"Reset":          reset,
	"Cut":            cut,
	"ZoneOut":        zoneOut,
	"ZoneIn":         zoneIn,
	"StoreDown":      storeDown,
	"StoreSlow":      storeSlow,
	"Cold":           cold,
	"Full":           full,
	"FailFast":       failFast,
	"TruncateAnswer": truncateAnswer,
}

func (r *Replay) inject(f Fault) {
	time.Sleep(f.At)
	faults[f.Kind](r, f, r.targets(f))
}

func (r *Replay) targets(f Fault) []*simulator.Node {
	var found []*simulator.Node
	for _, n := range r.simulator.Nodes {
		if (f.Zone == "" || n.Zone == f.Zone) && (f.Service == "" || n.Service == f.Service) {
			found = append(found, n)
		}
	}
	if f.Count > 0 && f.Count < len(found) {
		r.random.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
		found = found[:f.Count]
	}
	return found
}

// forAWhile does something to the targets and, after the fault's time, undoes it.
func forAWhile(f Fault, targets []*simulator.Node, do, undo func(*simulator.Node)) {
	for _, n := range targets {
		do(n)
	}
	if f.For == 0 {
		return
	}
	time.Sleep(f.For)
	for _, n := range targets {
		undo(n)
	}
}

func killBackend(_ *Replay, f Fault, targets []*simulator.Node) {
	forAWhile(f, targets, (*simulator.Node).KillBackend, (*simulator.Node).StartBackend)
}

func stopBackend(_ *Replay, f Fault, targets []*simulator.Node) {
	forAWhile(f, targets, (*simulator.Node).StopBackend, (*simulator.Node).StartBackend)
}

func killNode(_ *Replay, f Fault, targets []*simulator.Node) {
	forAWhile(f, targets, (*simulator.Node).KillNode, (*simulator.Node).StartNode)
}

func stopNode(_ *Replay, f Fault, targets []*simulator.Node) {
	forAWhile(f, targets, (*simulator.Node).StopNode, (*simulator.Node).StartNode)
}

func loseHost(r *Replay, f Fault, targets []*simulator.Node) {
	forAWhile(f, targets,
		func(n *simulator.Node) { r.simulator.Network.Blackhole(n.Host) },
		func(n *simulator.Node) { r.simulator.Network.Restore(n.Host) })
}

func silence(r *Replay, _ Fault, targets []*simulator.Node) {
	for _, n := range targets {
		r.simulator.Network.StallConnections(n.Host)
	}
}

func reset(r *Replay, _ Fault, targets []*simulator.Node) {
	for _, n := range targets {
		r.simulator.Network.Reset(n.Host)
	}
}

func cut(r *Replay, f Fault, _ []*simulator.Node) {
	r.simulator.Network.Partition()
	time.Sleep(f.For)
	r.simulator.Network.Heal()
}

func zoneOut(r *Replay, f Fault, _ []*simulator.Node) {
	r.setZone(f.Zone, true)
	if f.For > 0 {
		time.Sleep(f.For)
		r.setZone(f.Zone, false)
	}
}

func zoneIn(r *Replay, f Fault, _ []*simulator.Node) { r.setZone(f.Zone, false) }

func (r *Replay) setZone(zone string, out bool) {
	region := ""
	for _, n := range r.simulator.Nodes {
		if n.Zone == zone {
			region = n.Region
		}
	}
	operator := r.simulator.Nodes[0]
	r.simulator.SetZone(context.Background(), operator, region, zone, out, zone)
}

func storeDown(r *Replay, f Fault, _ []*simulator.Node) {
	r.simulator.Platform.SetFaults(platform.Faults{Down: true})
	time.Sleep(f.For)
	r.simulator.Platform.SetFaults(platform.Faults{})
}

func storeSlow(r *Replay, f Fault, _ []*simulator.Node) {
	r.simulator.Platform.SetFaults(platform.Faults{Delay: time.Second})
	time.Sleep(f.For)
	r.simulator.Platform.SetFaults(platform.Faults{})
}

func cold(_ *Replay, _ Fault, targets []*simulator.Node) {
	for _, n := range targets {
		n.Backend.Restart()
	}
}

// behave changes the behavior of the targets for a time.
func behave(f Fault, targets []*simulator.Node, change func(b *backend.Behavior)) {
	forAWhile(f, targets,
		func(n *simulator.Node) {
			b := n.Behavior()
			change(&b)
			n.Backend.SetBehavior(b)
		},
		func(n *simulator.Node) { n.Backend.SetBehavior(n.Behavior()) })
}

func full(_ *Replay, f Fault, targets []*simulator.Node) {
	behave(f, targets, func(b *backend.Behavior) { b.Full = true })
}

func failFast(_ *Replay, f Fault, targets []*simulator.Node) {
	behave(f, targets, func(b *backend.Behavior) { b.FailFast = true })
}

// truncatedBytes is what a broken answer has of its body.
const truncatedBytes = 2000

func truncateAnswer(_ *Replay, f Fault, targets []*simulator.Node) {
	behave(f, targets, func(b *backend.Behavior) { b.TruncateAfter = truncatedBytes })
}
