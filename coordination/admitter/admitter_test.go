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

func reason(err error) eelgrasspoint.Reason {
	var outcome *eelgrasspoint.OutcomeError
	if errors.As(err, &outcome) {
		return outcome.Reason
	}
	return eelgrasspoint.NoReason
}

// fill takes all slots.
func fill(t *testing.T, a *admitter.Admitter, slots int) {
	t.Helper()
	for range slots {
		admit(t, a)
	}
}

func admit(t *testing.T, a *admitter.Admitter) time.Time {
	t.Helper()
	began, err := a.Admit(t.Context(), &eelgrasspoint.RequestMetadata{})
	assert.NilError(t, err)
	return began
}

// waiting admits in the background and returns where the verdict arrives.
func waiting(t *testing.T, a *admitter.Admitter, weight uint32) <-chan error {
	t.Helper()
	verdict := make(chan error, 1)
	go func() {
		_, err := a.Admit(context.Background(), &eelgrasspoint.RequestMetadata{Weight: weight, Insists: true})
		verdict <- err
	}()
	synctest.Wait()
	return verdict
}

func release(a *admitter.Admitter) {
	a.Release(eelgrasspoint.Sample{At: time.Now(), Succeeded: true, Admitted: time.Now(), Duration: time.Millisecond})
}

func TestHeavierGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitter.New(limiter.NewFixed(2), time.Now)
		fill(t, a, 2)
		light := waiting(t, a, 1)
		heavy := waiting(t, a, 9)
		release(a)
		assert.NilError(t, <-heavy)
		release(a)
		assert.NilError(t, <-light)
	})
}

func TestLightestIsShedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitter.New(limiter.NewFixed(1), time.Now)
		fill(t, a, 1)
		light := waiting(t, a, 1)
		middle := make([]<-chan error, eelgrasspoint.MinQueueCapacity-1)
		for i := range middle {
			middle[i] = waiting(t, a, 3)
		}
		heavy := waiting(t, a, 5)
		assert.Equal(t, reason(<-light), eelgrasspoint.Overloaded)
		another := waiting(t, a, 2)
		assert.Equal(t, reason(<-another), eelgrasspoint.Overloaded)
		release(a)
		assert.NilError(t, <-heavy)
		for i := range middle {
			release(a)
			assert.NilError(t, <-middle[i])
		}
	})
}

func TestQueueHoldsNothingTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitter.New(limiter.NewFixed(1), time.Now)
		fill(t, a, 1)
		a.Release(eelgrasspoint.Sample{At: time.Now(), Succeeded: true, Duration: 100 * time.Millisecond})
		fill(t, a, 1)
		_, err := a.Admit(t.Context(), &eelgrasspoint.RequestMetadata{Deadline: time.Now().Add(150 * time.Millisecond)})
		assert.Equal(t, reason(err), eelgrasspoint.Overloaded)
	})
}

func TestWaitEndsWithTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitter.New(limiter.NewFixed(1), time.Now)
		fill(t, a, 1)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, err := a.Admit(ctx, &eelgrasspoint.RequestMetadata{})
		assert.Equal(t, reason(err), eelgrasspoint.DeadlinePassed)
		assert.Equal(t, a.Load().Queued, uint32(0))
	})
}

func TestCloseRefusesWhatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitter.New(limiter.NewFixed(1), time.Now)
		fill(t, a, 1)
		verdict := waiting(t, a, 1)
		a.Close(eelgrasspoint.Draining)
		assert.Equal(t, reason(<-verdict), eelgrasspoint.Draining)
		release(a)
		_, err := a.Admit(t.Context(), &eelgrasspoint.RequestMetadata{})
		assert.Equal(t, reason(err), eelgrasspoint.Draining)
		a.Open()
		admit(t, a)
	})
}

// watcher is a limiter that keeps the greatest age that it was told of.
type watcher struct {
	eelgrasspoint.Limiter
	oldest time.Duration
}

func (w *watcher) ObserveInFlight(age time.Duration, _ time.Time) { w.oldest = max(w.oldest, age) }

// TestAgeDoesNotDrift keeps a slot in use without a break: the age of what runs must not grow
// with the number of runs. A clock that moves between admission and run once made it do so.
func TestAgeDoesNotDrift(t *testing.T) {
	now := time.Unix(0, 0)
	clock := func() time.Time {
		now = now.Add(10 * time.Microsecond)
		return now
	}
	w := &watcher{Limiter: limiter.NewFixed(2)}
	a := admitter.New(w, clock)
	previous := admit(t, a)
	for range 10_000 {
		next := admit(t, a)
		a.Release(eelgrasspoint.Sample{At: clock(), Admitted: previous, Succeeded: true, Duration: time.Millisecond})
		previous = next
	}
	assert.Assert(t, w.oldest < 10*time.Millisecond, "%v", w.oldest)
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
