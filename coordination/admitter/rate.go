package admitter

import (
	"time"

	"golang.org/x/time/rate"

	"eelgrasspoint"
)

const (
	// rateBurstTime is the time whose requests may be admitted at once after a pause.
	rateBurstTime = 250 * time.Millisecond
	// minRate, in requests per second, is admitted at the least, so that an answer can tell that the limit has ended.
	minRate = 0.5
	// maxRate, in requests per second, is more than a backend server gets, so that a higher limit has no effect.
	maxRate = 1e6
	// maxRatePause bounds the pause that a refused caller is told, since the limit may end before.
	maxRatePause = time.Second
)

// rateLimiter bounds the requests per second by the limit that the backend server names.
type rateLimiter struct {
	// tokens is nil without a limit.
	tokens *rate.Limiter
}

// set sets the requests per second. The tokens of a limit that only changes are kept.
func (r *rateLimiter) set(now time.Time, perSecond float64) {
	limit := rate.Limit(min(max(perSecond, minRate), maxRate))
	burst := max(1, int(float64(limit)*rateBurstTime.Seconds()))
	switch {
	case r.tokens == nil:
		r.tokens = rate.NewLimiter(limit, burst)
	case r.tokens.Limit() != limit:
		r.tokens.SetLimitAt(now, limit)
		r.tokens.SetBurstAt(now, burst)
	}
}

// clear ends the limit.
func (r *rateLimiter) clear() { r.tokens = nil }

// pause returns the time until one more request may be admitted.
func (r *rateLimiter) pause(now time.Time) time.Duration {
	if r.tokens == nil {
		return 0
	}
	missing := 1 - r.tokens.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	pause := time.Duration(missing / float64(r.tokens.Limit()) * float64(time.Second))
	return min(max(pause, time.Millisecond), maxRatePause)
}

// record counts an admitted request.
func (r *rateLimiter) record(now time.Time) {
	if r.tokens != nil {
		r.tokens.AllowN(now, 1)
	}
}

// refusal returns the refusal of a request, or nil if it may be admitted.
func (r *rateLimiter) refusal(now time.Time) error {
	pause := r.pause(now)
	if pause == 0 {
		return nil
	}
	err := eelgrasspoint.Refuse(eelgrasspoint.RateLimited, "")
	err.RetryAfter = pause
	return err
}

// SetRateLimit sets the requests per second that the backend server takes.
func (a *Admitter) SetRateLimit(perSecond float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rateLimiter.set(a.clock(), perSecond)
}

// ClearRateLimit ends the limit of SetRateLimit, as Reset does.
func (a *Admitter) ClearRateLimit() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rateLimiter.clear()
}

// CheckRate returns the refusal of a request that the rate limit does not admit now, or nil. It admits nothing.
func (a *Admitter) CheckRate() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rateLimiter.refusal(a.clock())
}
