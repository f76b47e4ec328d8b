package admitter

import (
	"time"

	"golang.org/x/time/rate"

	"eelgrasspoint"
)

const (
	// coldWindow is the sliding window over which the requests to a cold backend server are limited.
	coldWindow = time.Second
	// coldBurstDivisor sets the part of the requests of one window that may be admitted at once.
	coldBurstDivisor = 8
	// maxColdPause bounds the pause that a refused caller is told, since the slow start may end before.
	maxColdPause = time.Second
)

// coldLimiter limits the request rate while the backend server is cold, that is, during its slow
// start. Requests are recorded at all times, since a slow start may be reported at any moment.
//
// Two bounds apply. The window bounds the requests of any second, those before the slow start was known included. The
// tokens pace them: a process can have admitted no more than the burst and what the tokens allowed since, so that the one
// that follows it on the same node keeps the bound of the window, too, if it begins without tokens.
type coldLimiter struct {
	coldUntil time.Time
	// maxRequests is the number of requests allowed in one coldWindow. Zero means no limit.
	maxRequests int
	tokens      *rate.Limiter
	admittedAt  []time.Time
}

// setMaxRequests sets the number of requests allowed in one coldWindow. A limit that is new begins without tokens.
func (c *coldLimiter) setMaxRequests(now time.Time, requests int) {
	if requests == c.maxRequests {
		return
	}
	c.maxRequests = requests
	if requests <= 0 {
		return
	}
	burst := max(1, requests/coldBurstDivisor)
	// With one request in a window, no token is left for the pace.
	pace := rate.Limit(max(float64(requests-burst), 1) / coldWindow.Seconds())
	if c.tokens == nil {
		c.tokens = rate.NewLimiter(pace, burst)
		c.tokens.AllowN(now, burst)
		return
	}
	c.tokens.SetLimitAt(now, pace)
	c.tokens.SetBurstAt(now, burst)
}

// active reports whether the limit applies now.
func (c *coldLimiter) active(now time.Time) bool { return now.Before(c.coldUntil) && c.maxRequests > 0 }

// pause returns the time until one more request may be admitted after the given number of waiting ones.
func (c *coldLimiter) pause(now time.Time, waiting int) time.Duration {
	if !c.active(now) {
		return 0
	}
	c.expire(now)
	missing := float64(waiting+1) - c.tokens.TokensAt(now)
	pause := time.Duration(max(missing, 0) / float64(c.tokens.Limit()) * float64(time.Second))
	if excess := len(c.admittedAt) - c.maxRequests; excess >= 0 {
		pause = max(pause, coldWindow-now.Sub(c.admittedAt[excess]))
	}
	return min(pause, maxColdPause, c.coldUntil.Sub(now))
}

// record adds an admitted request to the window.
func (c *coldLimiter) record(now time.Time) {
	c.expire(now)
	c.admittedAt = append(c.admittedAt, now)
	if c.active(now) {
		c.tokens.AllowN(now, 1)
	}
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
	a.admitWaiting()
}

// SetColdRateLimit sets the number of requests that are admitted in any second of the backend server's slow start. Zero
// means no limit. The number is derived from Service.ColdRate.
func (a *Admitter) SetColdRateLimit(requestsPerSecond int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.coldLimiter.setMaxRequests(a.clock(), requestsPerSecond)
}

// Cold reports whether the slow start set by SetCold is in progress.
func (a *Admitter) Cold() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.clock().Before(a.coldLimiter.coldUntil)
}

// refusal returns a ColdServer refusal. Its RetryAfter is the pause.
func (c *coldLimiter) refusal(pause time.Duration) error {
	err := eelgrasspoint.Refuse(eelgrasspoint.ColdServer, "")
	err.RetryAfter = max(pause, time.Millisecond)
	return err
}
