package admitter

import (
	"time"

	"eelgrasspoint"
)

// coldWindow is the time over which the requests to a cold backend server are counted.
const coldWindow = time.Second

// cold bounds the rate of requests while the backend server is cold. Requests are counted at
// all times, since it may turn cold at any moment.
type cold struct {
	until time.Time
	// limit is how many requests it bears in one window.
	limit int
	// blindUntil ends the time in which an earlier process may have sent requests too.
	blindUntil time.Time
	admitted   []time.Time
}

// admits reports whether one more request may be sent now.
func (c *cold) admits(now time.Time) bool {
	if !now.Before(c.until) || c.limit <= 0 {
		return true
	}
	if now.Before(c.blindUntil) {
		return false
	}
	c.expire(now)
	return len(c.admitted) < c.limit
}

// count notes a request that was admitted.
func (c *cold) count(now time.Time) {
	c.expire(now)
	c.admitted = append(c.admitted, now)
}

func (c *cold) expire(now time.Time) {
	gone := 0
	for gone < len(c.admitted) && now.Sub(c.admitted[gone]) >= coldWindow {
		gone++
	}
	c.admitted = append(c.admitted[:0], c.admitted[gone:]...)
}

// SetCold tells how long the backend server will be cold, from now on.
func (a *Admitter) SetCold(left time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cold.until = a.clock().Add(left)
}

// SetColdLimit tells how many requests a cold backend server bears in one second.
func (a *Admitter) SetColdLimit(limit int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cold.limit = limit
}

// Cold reports whether the backend server is cold.
func (a *Admitter) Cold() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.clock().Before(a.cold.until)
}

// refuseCold is the refusal of a request that a cold backend server can't take now.
func (c *cold) refuse(now time.Time) error {
	pause := coldWindow
	if len(c.admitted) > 0 {
		pause = coldWindow - now.Sub(c.admitted[0])
	}
	refusal := eelgrasspoint.Refuse(eelgrasspoint.ColdServer, "")
	refusal.RetryAfter = max(pause, time.Millisecond)
	return refusal
}
