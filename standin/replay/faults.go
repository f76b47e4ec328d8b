package replay

import (
	"context"
	"time"

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

// killBackend ends the processes and, after a time, starts new ones in their place.
func killBackend(_ *Replay, f Fault, targets []*stage.Node) {
	for _, n := range targets {
		n.KillBackend()
	}
	if f.For > 0 {
		time.Sleep(f.For)
		for _, n := range targets {
			n.StartBackend()
		}
	}
}

func stopBackend(_ *Replay, f Fault, targets []*stage.Node) {
	for _, n := range targets {
		n.StopBackend()
	}
	if f.For > 0 {
		time.Sleep(f.For)
		for _, n := range targets {
			n.StartBackend()
		}
	}
}

func killNode(_ *Replay, f Fault, targets []*stage.Node) {
	for _, n := range targets {
		n.KillNode()
	}
	if f.For > 0 {
		time.Sleep(f.For)
		for _, n := range targets {
			n.StartNode()
		}
	}
}

func stopNode(_ *Replay, f Fault, targets []*stage.Node) {
	for _, n := range targets {
		n.StopNode()
	}
	if f.For > 0 {
		time.Sleep(f.For)
		for _, n := range targets {
			n.StartNode()
		}
	}
}

func loseHost(r *Replay, f Fault, targets []*stage.Node) {
	for _, n := range targets {
		r.stage.Network.Lose(n.Host)
	}
	if f.For > 0 {
		time.Sleep(f.For)
		for _, n := range targets {
			r.stage.Network.Restore(n.Host)
		}
	}
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
func behave(f Fault, targets []*stage.Node, change func(*stage.Node, bool)) {
	for _, n := range targets {
		change(n, true)
	}
	time.Sleep(f.For)
	for _, n := range targets {
		change(n, false)
	}
}

func full(_ *Replay, f Fault, targets []*stage.Node) {
	behave(f, targets, func(n *stage.Node, on bool) {
		b := n.Behavior()
		b.Full = on
		n.Backend.SetBehavior(b)
	})
}

func failFast(_ *Replay, f Fault, targets []*stage.Node) {
	behave(f, targets, func(n *stage.Node, on bool) {
		b := n.Behavior()
		b.FailFast = on
		n.Backend.SetBehavior(b)
	})
}

func truncateAnswer(_ *Replay, f Fault, targets []*stage.Node) {
	behave(f, targets, func(n *stage.Node, on bool) {
		b := n.Behavior()
		if on {
			b.TruncateAfter = 2000
		}
		n.Backend.SetBehavior(b)
	})
}
