package observer

import (
	"time"

	"eelgrasspoint"
)

// The methods in this file access the state of the peers under the lock mu.

// peerState returns the state of a member and creates it if necessary. The caller must hold mu.
func (o *Observer) peerState(name string) *peerState {
	p := o.peers[name]
	if p == nil {
		p = &peerState{}
		o.peers[name] = p
	}
	return p
}

func (o *Observer) addFailure(name string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.peerState(name)
	p.failures++
	return p.failures
}

func (o *Observer) setFailures(name string, n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.peerState(name).failures = n
}

func (o *Observer) setMismatches(name string, n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.peerState(name).mismatches = n
}

// syncDue counts a digest mismatch and reports whether a synchronization is due: at least
// minMismatches were counted, and the last synchronization is at least minInterval ago. If it is
// due, the count and the interval start anew.
func (o *Observer) syncDue(name string, minMismatches int, minInterval time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.peerState(name)
	p.mismatches++
	now := o.options.Clock()
	if p.mismatches < minMismatches || now.Sub(p.syncedAt) < minInterval {
		return false
	}
	p.mismatches = 0
	p.syncedAt = now
	return true
}

// setLagging stores whether a member has an older configuration, and reports whether it has begun
// to lag.
func (o *Observer) setLagging(name string, lagging bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.peerState(name)
	wasLagging := p.lagging
	p.lagging = lagging
	return lagging && !wasLagging
}

func (o *Observer) isLagging(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.peerState(name).lagging
}

// lacksConfiguration reports whether the member had an older or another configuration when it last answered, or has not
// answered yet.
func (o *Observer) lacksConfiguration(view *eelgrasspoint.MembershipView, name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.peerState(name)
	return p.revision.Before(view.Revision) || p.revision == view.Revision && p.stateDigest != 0 && p.stateDigest != view.StateDigest
}

func (o *Observer) setRevision(name string, revision eelgrasspoint.Revision, stateDigest uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.peerState(name)
	p.revision, p.stateDigest = revision, stateDigest
}
