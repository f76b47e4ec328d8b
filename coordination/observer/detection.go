package observer

import (
	"context"
	"math/rand/v2"

	"eelgrasspoint"
	"eelgrasspoint/coordination/controller"
)

// maxIsolationProbes is the highest number of members that a node probes to find out whether it is
// isolated.
const maxIsolationProbes = 2

// deadContactsPerRound is the mean number of members that left or failed which all nodes together contact in one
// round.
const deadContactsPerRound = 8

// contactDead sends heartbeats to a few members that left or failed, chosen at random in each round. A node that
// restarts while the store is down has no member entries but its own, and it is no heartbeat target of other nodes,
// which know it as a member that left in a planned stop, or failed. So these heartbeats let it rejoin.
func (o *Observer) contactDead(ctx context.Context, view *eelgrasspoint.MembershipView) {
	var dead []eelgrasspoint.Member
	for _, m := range view.Members {
		if !m.Alive() && m.Name != view.Self.Name {
			dead = append(dead, m)
		}
	}
	alive := len(view.Members) - len(dead)
	// expected is the mean number of dead members that this node contacts: its integer part is
	// certain, its fractional part is the probability of one more.
	expected := float64(deadContactsPerRound) / float64(max(1, alive))
	for _, i := range rand.Perm(len(dead)) {
		if expected <= 0 || rand.Float64() >= expected {
			return
		}
		expected--
		go func() { _ = o.sendHeartbeat(ctx, view, dead[i]) }()
	}
}

// markFresh marks the control state as fresh once the commands submitted so far are applied. After a
// pause of the process, it does so only once a member has answered, or after staleRoundsAfterPause
// further rounds without an answer. A node without heartbeat targets counts as answered.
func (o *Observer) markFresh(paused, answered bool) {
	switch {
	case paused && !answered:
		o.staleRounds = staleRoundsAfterPause
	case answered:
		o.staleRounds = 0
	case o.staleRounds > 0:
		o.staleRounds--
	}
	if o.staleRounds > 0 {
		return
	}
	if o.options.Controller.WaitApplied() {
		o.options.Refreshed(o.options.Clock())
	}
}

// staleRoundsAfterPause is the number of further rounds without an answer after which a node that
// was paused assumes that no other node is alive, and its control state counts as fresh.
const staleRoundsAfterPause = 3

// detectPause reports whether this process was paused: more than two heartbeat intervals have
// passed since the last check. Missing answers then do not mean that members failed.
func (o *Observer) detectPause() bool {
	now := o.options.Clock()
	paused := now.Sub(o.lastPauseCheck) > 2*eelgrasspoint.HeartbeatInterval
	o.lastPauseCheck = now
	return paused
}

// detectFailures marks heartbeat targets that failed to answer HeartbeatFailures times in a row. A
// node that reaches no other member marks none and records that it may be isolated.
func (o *Observer) detectFailures(ctx context.Context, view *eelgrasspoint.MembershipView, answers []bool) {
	var failed []eelgrasspoint.Member
	answered := 0
	for i, m := range view.Observed {
		switch {
		case answers[i]:
			answered++
			o.setFailures(m.Name, 0)
		default:
			o.options.Recorder.Record(eelgrasspoint.Event{
				Number: eelgrasspoint.EventPeerSilent, AvailabilityZone: m.AvailabilityZone,
				Detail: m.Name + " did not answer a heartbeat",
			})
			if o.addFailure(m.Name) >= eelgrasspoint.HeartbeatFailures {
				failed = append(failed, m)
			}
		}
	}
	if len(failed) == 0 {
		return
	}
	if answered == 0 && !o.reachesOthers(ctx, view) {
		o.options.Recorder.Record(eelgrasspoint.Event{
			Number: eelgrasspoint.EventIsolationSuspected, AvailabilityZone: view.Self.AvailabilityZone,
		})
		return
	}
	for _, m := range failed {
		o.reportFailure(view, m)
	}
}

// reportFailure marks a member of this region as failed. For a member of another region, which only
// nodes of that region mark, it switches to other heartbeat targets there.
func (o *Observer) reportFailure(view *eelgrasspoint.MembershipView, m eelgrasspoint.Member) {
	o.setFailures(m.Name, 0)
	if m.Region != view.Self.Region {
		o.options.Controller.Submit(controller.RotateRemoteTargets{})
		return
	}
	o.options.Controller.Submit(controller.MarkFailed{Member: m})
}

// reachesOthers probes up to maxIsolationProbes alive members that are not heartbeat targets. It
// reports whether one answers or there is none to probe.
func (o *Observer) reachesOthers(ctx context.Context, view *eelgrasspoint.MembershipView) bool {
	probed := 0
	for _, m := range view.Members {
		if probed == maxIsolationProbes {
			return false
		}
		if m.Name == view.Self.Name || !m.Alive() || contains(view.Observed, m.Name) {
			continue
		}
		probed++
		if o.sendHeartbeat(ctx, view, m) == nil {
			return true
		}
	}
	// Without another member to probe, the node does not count as isolated.
	return probed == 0
}

func contains(members []eelgrasspoint.Member, name string) bool {
	for _, m := range members {
		if m.Name == name {
			return true
		}
	}
	return false
}
