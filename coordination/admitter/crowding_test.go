package admitter_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/admitter"
	"eelgrasspoint/coordination/limiter"
)

// finish runs requests that took the time, one after the other, and returns how often it was told
// that the last slots are given up.
func finish(t *testing.T, a *admitter.Admitter, count int, sample eelgrasspoint.Sample) int {
	t.Helper()
	told := 0
	for range count {
		admitted, err := a.Admit(t.Context(), &eelgrasspoint.RequestMetadata{Insists: true})
		assert.NilError(t, err)
		sample.Admitted, sample.At = admitted, admitted.Add(sample.Duration)
		if _, crowded := a.Release(sample); crowded {
			told++
		}
	}
	return told
}

// room is how many requests that insist run at once.
func room(t *testing.T, a *admitter.Admitter) int {
	t.Helper()
	const slots = 10
	for n := range slots {
		deadline := time.Now().Add(time.Millisecond)
		if _, err := a.Admit(t.Context(), &eelgrasspoint.RequestMetadata{Insists: true, Deadline: deadline}); err != nil {
			return n
		}
	}
	return slots
}

// TestLastSlots shows that the last slots are given up where runs in them take longer, and only there.
func TestLastSlots(t *testing.T) {
	const usual = 100 * time.Millisecond
	cases := []struct {
		crowded      time.Duration
		atUsualSpeed bool
		room         int
	}{
		{104 * time.Millisecond, true, 10},
		{155 * time.Millisecond, true, 8},
		// What began at a slow backend server says nothing of the slots.
		{500 * time.Millisecond, false, 10},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.crowded), func(t *testing.T) {
			a := admitter.NewWithReportedLoad(limiter.NewFixed(10), time.Now)
			a.Reset(10)
			finish(t, a, 30, eelgrasspoint.Sample{Succeeded: true, Usual: true, Route: "r", Duration: usual})
			told := finish(t, a, 30, eelgrasspoint.Sample{Succeeded: true, Usual: c.atUsualSpeed, Crowded: true, Route: "r", Duration: c.crowded})
			assert.Equal(t, told == 1, c.room < 10)
			assert.Equal(t, room(t, a), c.room)
		})
	}
}

// TestLastSlotsOfAnotherLifetime shows that a backend server that starts anew is judged anew.
func TestLastSlotsOfAnotherLifetime(t *testing.T) {
	a := admitter.NewWithReportedLoad(limiter.NewFixed(10), time.Now)
	a.Reset(10)
	finish(t, a, 30, eelgrasspoint.Sample{Succeeded: true, Usual: true, Route: "r", Duration: time.Second})
	finish(t, a, 30, eelgrasspoint.Sample{Succeeded: true, Usual: true, Crowded: true, Route: "r", Duration: 2 * time.Second})
	a.Reset(10)
	assert.Equal(t, room(t, a), 10)
}
