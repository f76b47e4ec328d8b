package observer

import "time"

// The methods in this file access the state of the peers under the lock mu.

// peer returns the state of a member and creates it if necessary. The caller must hold mu.
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

// syncDue counts a digest mismatch. It reports whether there were as many as given and the last
// synchronization is at least the interval ago.
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

// setLagging stores whether a member has an older configuration, and reports whether it has begun
// to lag.
func (o *Observer) setLagging(name string, lagging bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.peer(name)
	wasLagging := p.lagging
	p.lagging = lagging
	return lagging && !wasLagging
}

func (o *Observer) isLagging(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.peer(name).lagging
}
