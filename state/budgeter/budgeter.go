// Package budgeter keeps spending within a number of bytes per second.
package budgeter

import (
	"sync"
	"time"

	"eelgrasspoint"
)

// Budgeter is a bucket that is charged after the spending, so it may be in debt: then
// nothing is allowed until the debt is paid. It is safe for concurrent use.
type Budgeter struct {
	clock eelgrasspoint.Clock

	mu     sync.Mutex
	rate   float64
	burst  float64
	tokens float64
	at     time.Time
}

// New returns a budget with one second's bytes to spend at first.
func New(bytesPerSecond uint32, clock eelgrasspoint.Clock) *Budgeter {
	b := &Budgeter{clock: clock, at: clock()}
	b.SetRate(bytesPerSecond)
	b.tokens = b.burst
	return b
}

// SetRate changes the bytes per second.
func (b *Budgeter) SetRate(bytesPerSecond uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rate = float64(bytesPerSecond)
	b.burst = b.rate
	b.tokens = min(b.tokens, b.burst)
}

// Allows reports whether at least the share of one second's bytes is left.
func (b *Budgeter) Allows(share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	return b.tokens > share*b.burst
}

// Charge takes the bytes that were spent.
func (b *Budgeter) Charge(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.tokens -= float64(bytes)
}

func (b *Budgeter) refill() {
	now := b.clock()
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
}
