package observer

import "time"

// The functions here guard what is remembered of each peer.

func (o *Observer) peer(name string) *peer {
	p := o.peers[name]
	if p == nil {
		p = &peer{}
		o.peers[name] = p
	}
	return p
}

func (o *Observer) addFailure(name string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.peer(name)
	p.failures++
	return p.failures
}

func (o *Observer) setFailures(name string, n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.peer(name).failures = n
}

func (o *Observer) setMismatches(name string, n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.peer(name).mismatches = n
}

// syncDue counts a mismatch and reports whether it has lasted long enough to be repaired.
func (o *Observer) syncDue(name string, mismatches int, interval time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.peer(name)
	p.mismatches++
	now := o.options.Clock()
	if p.mismatches < mismatches || now.Sub(p.syncedAt) < interval {
		return false
	}
	p.mismatches = 0
	p.syncedAt = now
	return true
}

// setBehind notes whether a member has an older configuration, and reports whether that is new.
func (o *Observer) setBehind(name string, behind bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.peer(name)
	was := p.behind
	p.behind = behind
	return behind && !was
}

func (o *Observer) isBehind(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.peer(name).behind
}
