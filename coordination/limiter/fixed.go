package limiter

import (
	"time"

	"eelgrasspoint"
)

// fixed is for comparison with the adaptive Limiter.
type fixed struct{ slots int }

// NewFixed returns a limiter whose limit is always the announced number of slots.
func NewFixed(slots int) eelgrasspoint.Limiter { return &fixed{slots: slots} }

func (f *fixed) Limit() int                               { return f.slots }
func (f *fixed) Observe(eelgrasspoint.Sample) bool        { return false }
func (f *fixed) ObserveInFlight(time.Duration, time.Time) {}
func (f *fixed) Reset(slots int)                          { f.slots = slots }
