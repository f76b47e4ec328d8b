package replay

import (
	"context"
	"time"

	"eelgrasspoint/standin/backend"
	"eelgrasspoint/standin/platform"
	"eelgrasspoint/standin/stage"
)

// faults are the kinds of a Fault line.
var faults = map[string]func(r *Replay, f Fault, targets []*stage.Node){
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

func (r *Replay) targets(f Fault) []*stage.Node {
	var found []*stage.Node
	for _, n := range r.stage.Nodes {
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
func forAWhile(f Fault, targets []*stage.Node, do, undo func(*stage.Node)) {
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

func killBackend(_ *Replay, f Fault, targets []*stage.Node) {
	forAWhile(f, targets, (*stage.Node).KillBackend, (*stage.Node).StartBackend)
}

func stopBackend(_ *Replay, f Fault, targets []*stage.Node) {
	forAWhile(f, targets, (*stage.Node).StopBackend, (*stage.Node).StartBackend)
}

func killNode(_ *Replay, f Fault, targets []*stage.Node) {
	forAWhile(f, targets, (*stage.Node).KillNode, (*stage.Node).StartNode)
}

func stopNode(_ *Replay, f Fault, targets []*stage.Node) {
	forAWhile(f, targets, (*stage.Node).StopNode, (*stage.Node).StartNode)
}

func loseHost(r *Replay, f Fault, targets []*stage.Node) {
	forAWhile(f, targets,
		func(n *stage.Node) { r.stage.Network.Lose(n.Host) },
		func(n *stage.Node) { r.stage.Network.Restore(n.Host) })
}

func silence(r *Replay, _ Fault, targets []*stage.Node) {
	for _, n := range targets {
		r.stage.Network.Silence(n.Host)
	}
}

func reset(r *Replay, _ Fault, targets []*stage.Node) {
	for _, n := range targets {
		r.stage.Network.Reset(n.Host)
	}
}

func cut(r *Replay, f Fault, _ []*stage.Node) {
	r.stage.Network.Cut()
	time.Sleep(f.For)
	r.stage.Network.Join()
}

func zoneOut(r *Replay, f Fault, _ []*stage.Node) {
	r.setZone(f.Zone, true)
	if f.For > 0 {
		time.Sleep(f.For)
		r.setZone(f.Zone, false)
	}
}

func zoneIn(r *Replay, f Fault, _ []*stage.Node) { r.setZone(f.Zone, false) }

func (r *Replay) setZone(zone string, out bool) {
	region := ""
	for _, n := range r.stage.Nodes {
		if n.Zone == zone {
			region = n.Region
		}
	}
	operator := r.stage.Nodes[0]
	r.stage.SetZone(context.Background(), operator, region, zone, out, zone)
}

func storeDown(r *Replay, f Fault, _ []*stage.Node) {
	r.stage.Platform.SetFaults(platform.Faults{Down: true})
	time.Sleep(f.For)
	r.stage.Platform.SetFaults(platform.Faults{})
}

func storeSlow(r *Replay, f Fault, _ []*stage.Node) {
	r.stage.Platform.SetFaults(platform.Faults{Delay: time.Second})
	time.Sleep(f.For)
	r.stage.Platform.SetFaults(platform.Faults{})
}

func cold(_ *Replay, _ Fault, targets []*stage.Node) {
	for _, n := range targets {
		n.Backend.Restart()
	}
}

// behave changes the behavior of the targets for a time.
func behave(f Fault, targets []*stage.Node, change func(b *backend.Behavior)) {
	forAWhile(f, targets,
		func(n *stage.Node) {
			b := n.Behavior()
			change(&b)
			n.Backend.SetBehavior(b)
		},
		func(n *stage.Node) { n.Backend.SetBehavior(n.Behavior()) })
}

func full(_ *Replay, f Fault, targets []*stage.Node) {
	behave(f, targets, func(b *backend.Behavior) { b.Full = true })
}

func failFast(_ *Replay, f Fault, targets []*stage.Node) {
	behave(f, targets, func(b *backend.Behavior) { b.FailFast = true })
}

// truncatedBytes is what a broken answer has of its body.
const truncatedBytes = 2000

func truncateAnswer(_ *Replay, f Fault, targets []*stage.Node) {
	behave(f, targets, func(b *backend.Behavior) { b.TruncateAfter = truncatedBytes })
}
