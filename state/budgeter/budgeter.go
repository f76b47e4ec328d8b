// Package budgeter limits traffic to a number of bytes per second.
package budgeter

import (
	"sync"
	"time"

	"eelgrasspoint"
)

// Budgeter is a token bucket. Charge never refuses, so the number of tokens may become negative;
// Allows then returns false until they are refilled. It is safe for concurrent use.
type Budgeter struct {
	clock eelgrasspoint.Clock

	mu             sync.Mutex
	bytesPerSecond float64
	// burst is the size of the bucket in bytes, tokens the bytes left in it.
	burst      float64
	tokens     float64
	refilledAt time.Time
}

// New returns a budgeter whose bucket is full: it holds the bytes of one second.
func New(bytesPerSecond uint32, clock eelgrasspoint.Clock) *Budgeter {
	b := &Budgeter{clock: clock, refilledAt: clock()}
	b.SetRate(bytesPerSecond)
	b.tokens = b.burst
	return b
}

// SetRate changes the rate, and with it the size of the bucket; tokens above the new size are lost.
func (b *Budgeter) SetRate(bytesPerSecond uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytesPerSecond = float64(bytesPerSecond)
	b.burst = b.bytesPerSecond
	b.tokens = min(b.tokens, b.burst)
}

// Allows reports whether more than the given share (0 to 1) of the bucket is left.
func (b *Budgeter) Allows(share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	return b.tokens > share*b.burst
}

// Charge takes one token for each byte out of the bucket, even if fewer are left.
func (b *Budgeter) Charge(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.tokens -= float64(bytes)
}

func (b *Budgeter) refill() {
	now := b.clock()
	b.tokens = min(b.burst, b.tokens+b.bytesPerSecond*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}
