package eelgrasspoint

import (
	"math/rand/v2"
	"sync"
)

// lockedSource guards a random source with a mutex.
type lockedSource struct {
	mu     sync.Mutex
	source *rand.PCG
}

// Uint64 implements rand.Source.
func (l *lockedSource) Uint64() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.source.Uint64()
}

// NewRandom returns a seeded generator that is safe for concurrent use.
func NewRandom(seed uint64) *rand.Rand {
	return rand.New(&lockedSource{source: rand.NewPCG(seed, seed)})
}
