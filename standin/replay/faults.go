package replay

import (
	"context"
	"time"

	"eelgrasspoint/standin/backend"
	"eelgrasspoint/standin/platform"
	"eelgrasspoint/standin/simulator"
)

// faultInjectors maps the Kind of a Fault line to the function that injects the fault. The kinds are
// part of the trace format: Silence stalls open connections for good, Cut partitions the regions, Full
// makes backend servers shed requests.
var faultInjectors = map[string]func(r *Replay, f Fault, targets []*simulator.Node){
	"KillBackend":    killBackend,
	"StopBackend":    stopBackend,
	"KillNode":       killNode,
	"StopNode":       stopNode,
	"LoseHost":       loseHost,
	"Silence":        stallConnections,
	"Reset":          resetConnections,
	"Cut":            partitionRegions,
	"ZoneOut":        zoneOut,
	"ZoneIn":         zoneIn,
	"StoreDown":      storeDown,
	"StoreSlow":      storeSlow,
	"Cold":           restartCold,
	"Full":           shedRequests,
	"FailFast":       failFast,
	"TruncateAnswer": truncateAnswer,
}

// inject waits until the start of the fault, then injects it.
func (r *Replay) inject(f Fault) {
	time.Sleep(f.At)
	faultInjectors[f.Kind](r, f, r.targets(f))
}

// targets returns the nodes that match the fault's zone and service, at most Count of them, drawn
// at random.
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

// applyFor applies a fault to the targets and reverts it after the fault's duration. A duration of
// zero means that the fault is never reverted.
func applyFor(f Fault, targets []*simulator.Node, apply, revert func(*simulator.Node)) {
	for _, n := range targets {
		apply(n)
	}
	if f.For == 0 {
		return
	}
	time.Sleep(f.For)
	for _, n := range targets {
		revert(n)
	}
}

func killBackend(_ *Replay, f Fault, targets []*simulator.Node) {
	applyFor(f, targets, (*simulator.Node).KillBackend, (*simulator.Node).StartBackend)
}

func stopBackend(_ *Replay, f Fault, targets []*simulator.Node) {
	applyFor(f, targets, (*simulator.Node).StopBackend, (*simulator.Node).StartBackend)
}

func killNode(_ *Replay, f Fault, targets []*simulator.Node) {
	applyFor(f, targets, (*simulator.Node).KillNode, (*simulator.Node).StartNode)
}

func stopNode(_ *Replay, f Fault, targets []*simulator.Node) {
	applyFor(f, targets, (*simulator.Node).StopNode, (*simulator.Node).StartNode)
}

func loseHost(r *Replay, f Fault, targets []*simulator.Node) {
	applyFor(f, targets,
		func(n *simulator.Node) { r.simulator.Network.Blackhole(n.Host) },
		func(n *simulator.Node) { r.simulator.Network.Restore(n.Host) })
}

func stallConnections(r *Replay, _ Fault, targets []*simulator.Node) {
	for _, n := range targets {
		r.simulator.Network.StallConnections(n.Host)
	}
}

func resetConnections(r *Replay, _ Fault, targets []*simulator.Node) {
	for _, n := range targets {
		r.simulator.Network.Reset(n.Host)
	}
}

func partitionRegions(r *Replay, f Fault, _ []*simulator.Node) {
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

// setZone applies a configuration change that takes the zone out of service or back in. The change is
// forced, so that also the last zone with a service's backend servers can be taken out. Its result is
// ignored.
func (r *Replay) setZone(zone string, outOfService bool) {
	region := ""
	for _, n := range r.simulator.Nodes {
		if n.Zone == zone {
			region = n.Region
		}
	}
	node := r.simulator.Nodes[0]
	r.simulator.SetZone(context.Background(), node, region, zone, outOfService, zone)
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

func restartCold(_ *Replay, _ Fault, targets []*simulator.Node) {
	for _, n := range targets {
		n.Backend.Restart()
	}
}

// changeBehavior changes the behavior of the targets' backend servers for the fault's duration.
func changeBehavior(f Fault, targets []*simulator.Node, change func(b *backend.Behavior)) {
	applyFor(f, targets,
		func(n *simulator.Node) {
			b := n.Behavior()
			change(&b)
			n.Backend.SetBehavior(b)
		},
		func(n *simulator.Node) { n.Backend.SetBehavior(n.Behavior()) })
}

func shedRequests(_ *Replay, f Fault, targets []*simulator.Node) {
	changeBehavior(f, targets, func(b *backend.Behavior) { b.Full = true })
}

func failFast(_ *Replay, f Fault, targets []*simulator.Node) {
	changeBehavior(f, targets, func(b *backend.Behavior) { b.FailFast = true })
}

// truncateAfterBytes is the number of body bytes sent before a truncated answer breaks off.
const truncateAfterBytes = 2000

func truncateAnswer(_ *Replay, f Fault, targets []*simulator.Node) {
	changeBehavior(f, targets, func(b *backend.Behavior) { b.TruncateAfter = truncateAfterBytes })
}
