package admitter

import (
	"time"

	"eelgrasspoint"
)

// coldWindow is the sliding window over which the requests to a cold backend server are limited.
const coldWindow = time.Second

// coldLimiter limits the request rate while the backend server is cold, that is, during its slow
// start. Requests are recorded at all times, since a slow start may be reported at any moment.
type coldLimiter struct {
	coldUntil time.Time
	// maxRequests is the number of requests allowed in one coldWindow. Zero means no limit.
	maxRequests int
	// historyUnknownUntil is the time before which the window may contain requests of an earlier
	// process of this node, which were not recorded.
	historyUnknownUntil time.Time
	admittedAt          []time.Time
}

// allows reports whether one more request may be admitted now.
func (c *coldLimiter) allows(now time.Time) bool {
	if !now.Before(c.coldUntil) || c.maxRequests <= 0 {
		return true
	}
	if now.Before(c.historyUnknownUntil) {
		return false
	}
	c.expire(now)
	return len(c.admittedAt) < c.maxRequests
}

// record adds an admitted request to the window.
func (c *coldLimiter) record(now time.Time) {
	c.expire(now)
	c.admittedAt = append(c.admittedAt, now)
}

// expire removes the requests that are older than the window.
func (c *coldLimiter) expire(now time.Time) {
	expired := 0
	for expired < len(c.admittedAt) && now.Sub(c.admittedAt[expired]) >= coldWindow {
		expired++
	}
	c.admittedAt = append(c.admittedAt[:0], c.admittedAt[expired:]...)
}

// SetCold sets the remaining time of the backend server's slow start.
func (a *Admitter) SetCold(remaining time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.coldLimiter.coldUntil = a.clock().Add(remaining)
}

// SetColdRateLimit sets the number of requests per second that are admitted during the backend server's
// slow start. Zero means no limit. The number is derived from Service.ColdRate.
func (a *Admitter) SetColdRateLimit(requestsPerSecond int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.coldLimiter.maxRequests = requestsPerSecond
}

// Cold reports whether the slow start set by SetCold is in progress.
func (a *Admitter) Cold() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.clock().Before(a.coldLimiter.coldUntil)
}

// refusal returns a ColdServer refusal. Its RetryAfter is the time until the oldest request leaves
// the window, at least one millisecond, or coldWindow if no request is recorded.
func (c *coldLimiter) refusal(now time.Time) error {
	retryAfter := coldWindow
	if len(c.admittedAt) > 0 {
		retryAfter = coldWindow - now.Sub(c.admittedAt[0])
	}
	err := eelgrasspoint.Refuse(eelgrasspoint.ColdServer, "")
	err.RetryAfter = max(retryAfter, time.Millisecond)
	return err
}
