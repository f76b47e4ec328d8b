package admitter_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/admitter"
	"eelgrasspoint/coordination/limiter"
)

// refusalReason returns the reason of the OutcomeError in the chain of err, or NoReason.
func refusalReason(err error) eelgrasspoint.Reason {
	var outcome *eelgrasspoint.OutcomeError
	if errors.As(err, &outcome) {
		return outcome.Reason
	}
	return eelgrasspoint.NoReason
}

// fillSlots admits as many requests as there are slots.
func fillSlots(t *testing.T, a *admitter.Admitter, slots int) {
	t.Helper()
	for range slots {
		mustAdmit(t, a)
	}
}

func mustAdmit(t *testing.T, a *admitter.Admitter) time.Time {
	t.Helper()
	admittedAt, err := a.Admit(t.Context(), &eelgrasspoint.RequestMetadata{})
	assert.NilError(t, err)
	return admittedAt
}

// admitInBackground starts Admit in a goroutine and returns the channel that receives its error.
func admitInBackground(t *testing.T, a *admitter.Admitter, weight uint32) <-chan error {
	t.Helper()
	result := make(chan error, 1)
	go func() {
		_, err := a.Admit(context.Background(), &eelgrasspoint.RequestMetadata{Weight: weight, Insists: true})
		result <- err
	}()
	synctest.Wait()
	return result
}

func release(a *admitter.Admitter) {
	a.Release(eelgrasspoint.Sample{At: time.Now(), Succeeded: true, Admitted: time.Now(), Duration: time.Millisecond})
}

func TestHeavierRequestIsAdmittedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitter.New(limiter.NewFixed(2), time.Now)
		fillSlots(t, a, 2)
		light := admitInBackground(t, a, 1)
		heavy := admitInBackground(t, a, 9)
		release(a)
		assert.NilError(t, <-heavy)
		release(a)
		assert.NilError(t, <-light)
	})
}

func TestFullQueueEvictsLightestRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitter.New(limiter.NewFixed(1), time.Now)
		fillSlots(t, a, 1)
		light := admitInBackground(t, a, 1)
		middle := make([]<-chan error, eelgrasspoint.MinQueueCapacity-1)
		for i := range middle {
			middle[i] = admitInBackground(t, a, 3)
		}
		heavy := admitInBackground(t, a, 5)
		assert.Equal(t, refusalReason(<-light), eelgrasspoint.Overloaded)
		another := admitInBackground(t, a, 2)
		assert.Equal(t, refusalReason(<-another), eelgrasspoint.Overloaded)
		release(a)
		assert.NilError(t, <-heavy)
		for i := range middle {
			release(a)
			assert.NilError(t, <-middle[i])
		}
	})
}

func TestRequestThatCannotMeetDeadlineIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitter.New(limiter.NewFixed(1), time.Now)
		fillSlots(t, a, 1)
		a.Release(eelgrasspoint.Sample{At: time.Now(), Succeeded: true, Duration: 100 * time.Millisecond})
		fillSlots(t, a, 1)
		_, err := a.Admit(t.Context(), &eelgrasspoint.RequestMetadata{Deadline: time.Now().Add(150 * time.Millisecond)})
		assert.Equal(t, refusalReason(err), eelgrasspoint.Overloaded)
	})
}

func TestWaitEndsAtContextDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitter.New(limiter.NewFixed(1), time.Now)
		fillSlots(t, a, 1)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, err := a.Admit(ctx, &eelgrasspoint.RequestMetadata{})
		assert.Equal(t, refusalReason(err), eelgrasspoint.DeadlinePassed)
		assert.Equal(t, a.Load().Queued, uint32(0))
	})
}

func TestCloseRefusesQueuedAndNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitter.New(limiter.NewFixed(1), time.Now)
		fillSlots(t, a, 1)
		result := admitInBackground(t, a, 1)
		a.Close(eelgrasspoint.Draining)
		assert.Equal(t, refusalReason(<-result), eelgrasspoint.Draining)
		release(a)
		_, err := a.Admit(t.Context(), &eelgrasspoint.RequestMetadata{})
		assert.Equal(t, refusalReason(err), eelgrasspoint.Draining)
		a.Open()
		mustAdmit(t, a)
	})
}

// ageRecorder is a limiter that records the greatest mean age passed to ObserveInFlight.
type ageRecorder struct {
	eelgrasspoint.Limiter
	maxAge time.Duration
}

func (r *ageRecorder) ObserveInFlight(age time.Duration, _ time.Time) { r.maxAge = max(r.maxAge, age) }

// TestMeanAgeDoesNotDrift guards against a mean age that grows with the number of runs while a
// slot is always in use. That once happened when the clock advanced between the admission and the
// start of a run.
func TestMeanAgeDoesNotDrift(t *testing.T) {
	now := time.Unix(0, 0)
	clock := func() time.Time {
		now = now.Add(10 * time.Microsecond)
		return now
	}
	recorder := &ageRecorder{Limiter: limiter.NewFixed(2)}
	a := admitter.New(recorder, clock)
	previous := mustAdmit(t, a)
	for range 10_000 {
		next := mustAdmit(t, a)
		a.Release(eelgrasspoint.Sample{At: clock(), Admitted: previous, Succeeded: true, Duration: time.Millisecond})
		previous = next
	}
	assert.Assert(t, recorder.maxAge < 10*time.Millisecond, "greatest mean age %v, want less than 10ms", recorder.maxAge)
}

func BenchmarkAdmit(b *testing.B) {
	a := admitter.New(limiter.NewFixed(16), time.Now)
	meta := &eelgrasspoint.RequestMetadata{Weight: 1}
	for b.Loop() {
		if _, err := a.Admit(b.Context(), meta); err != nil {
			b.Fatal(err)
		}
		release(a)
	}
}
