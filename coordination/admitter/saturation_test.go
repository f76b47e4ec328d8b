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

// runSequentially admits and releases requests one after the other, all with the given sample. It
// returns the number of times that Release reported that the last slots are given up.
func runSequentially(t *testing.T, a *admitter.Admitter, count int, sample eelgrasspoint.Sample) int {
	t.Helper()
	reported := 0
	for range count {
		admitted, err := a.Admit(t.Context(), &eelgrasspoint.RequestMetadata{Insists: true})
		assert.NilError(t, err)
		sample.Admitted, sample.At = admitted, admitted.Add(sample.Duration)
		if _, givenUp := a.Release(sample); givenUp {
			reported++
		}
	}
	return reported
}

// countAdmitted returns how many requests with Insists are admitted concurrently.
func countAdmitted(t *testing.T, a *admitter.Admitter) int {
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

// TestSlowLastSlotsAreGivenUp checks that the last slots are given up if runs in them take longer,
// and only then.
func TestSlowLastSlotsAreGivenUp(t *testing.T) {
	const baseline = 100 * time.Millisecond
	cases := []struct {
		lastSlotsDuration time.Duration
		atUsualSpeed      bool
		wantAdmitted      int
	}{
		{104 * time.Millisecond, true, 10},
		{155 * time.Millisecond, true, 8},
		// Runs that started while the backend server was slow are no measure of the last slots.
		{500 * time.Millisecond, false, 10},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.lastSlotsDuration), func(t *testing.T) {
			a := admitter.NewWithReportedLoad(limiter.NewFixed(10), time.Now)
			a.Reset(10)
			runSequentially(t, a, 30, eelgrasspoint.Sample{Succeeded: true, Usual: true, Route: "r", Duration: baseline})
			reported := runSequentially(t, a, 30, eelgrasspoint.Sample{Succeeded: true, Usual: c.atUsualSpeed, Crowded: true, Route: "r", Duration: c.lastSlotsDuration})
			assert.Equal(t, reported == 1, c.wantAdmitted < 10, "Release reported %d times that the last slots are given up", reported)
			assert.Equal(t, countAdmitted(t, a), c.wantAdmitted)
		})
	}
}

// TestResetRestoresLastSlots checks that the last slots of a new incarnation are used again.
func TestResetRestoresLastSlots(t *testing.T) {
	a := admitter.NewWithReportedLoad(limiter.NewFixed(10), time.Now)
	a.Reset(10)
	runSequentially(t, a, 30, eelgrasspoint.Sample{Succeeded: true, Usual: true, Route: "r", Duration: time.Second})
	runSequentially(t, a, 30, eelgrasspoint.Sample{Succeeded: true, Usual: true, Crowded: true, Route: "r", Duration: 2 * time.Second})
	a.Reset(10)
	assert.Equal(t, countAdmitted(t, a), 10)
}
