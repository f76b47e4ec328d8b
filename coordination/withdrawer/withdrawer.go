// Package withdrawer keeps, at an exit node, which attempts have arrived and which were withdrawn before they did.
package withdrawer

import (
	"sync"
	"time"

	"eelgrasspoint"
)

const (
	// memory is how long an attempt is remembered after its deadline: longer than its entry node asks for it.
	memory = 10 * time.Second
	// withdrawnMemory is how long a withdrawn attempt is refused: longer than a network holds its bytes back.
	withdrawnMemory = 10 * time.Minute
	// maxTransit is the longest time that a withdrawal is under way; its entry node ignores a later answer.
	maxTransit = time.Second
	// maxRemembered bounds the attempts that have arrived, and those that were withdrawn.
	maxRemembered = 1 << 17
	// sweepInterval is the pause between two removals of what need not be remembered any more.
	sweepInterval = time.Second
)

// Withdrawer decides for each attempt whether it may begin or is withdrawn, whichever comes first. An attempt that was
// withdrawn has not run and never will, so that its entry node may send the request to another backend server, whatever
// became of the bytes on a connection that fell silent. It is safe for concurrent use.
type Withdrawer struct {
	clock     eelgrasspoint.Clock
	startedAt time.Time

	mu sync.Mutex
	// arrived and withdrawn hold the time until which an attempt is remembered.
	arrived   map[string]time.Time
	withdrawn map[string]time.Time
	sweptAt   time.Time
}

// New returns a withdrawer of a process that starts now.
func New(clock eelgrasspoint.Clock) *Withdrawer {
	return &Withdrawer{
		clock: clock, startedAt: clock(),
		arrived: make(map[string]time.Time), withdrawn: make(map[string]time.Time),
	}
}

// Begin notes the arrival of an attempt and reports whether it may begin. It may not if there are too many to remember, so
// that no withdrawal of it is wrong.
func (w *Withdrawer) Begin(key string, deadline time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock()
	w.sweep(now)
	if _, found := w.withdrawn[key]; found {
		return false
	}
	if len(w.arrived) >= maxRemembered {
		return false
	}
	w.arrived[key] = deadline.Add(memory)
	return true
}

// Withdraw withdraws an attempt that was sent that long ago, and reports whether it is certain that it has not begun. It
// is not if the attempt has arrived, or may have arrived at an earlier process of the node.
func (w *Withdrawer) Withdraw(key string, age time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock()
	if _, found := w.arrived[key]; found {
		return false
	}
	w.sweep(now)
	if len(w.withdrawn) >= maxRemembered {
		return false
	}
	w.withdrawn[key] = now.Add(withdrawnMemory)
	return age >= 0 && w.uptime(now) > age+maxTransit
}

// uptime returns the least time for which the process has certainly run, by the steady clock and by the time of day.
func (w *Withdrawer) uptime(now time.Time) time.Duration {
	return min(now.Sub(w.startedAt), now.Round(0).Sub(w.startedAt.Round(0)))
}

// sweep removes what need not be remembered any more. The caller holds the lock.
func (w *Withdrawer) sweep(now time.Time) {
	if now.Sub(w.sweptAt) < sweepInterval {
		return
	}
	w.sweptAt = now
	for _, remembered := range []map[string]time.Time{w.arrived, w.withdrawn} {
		for key, until := range remembered {
			if now.After(until) {
				delete(remembered, key)
			}
		}
	}
}
