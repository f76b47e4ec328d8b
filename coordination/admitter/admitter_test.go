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
		assert.NilError(t, a.Admit(t.Context(), &eelgrasspoint.Meta{}))
	}
}

// waiting admits in the background and returns where the verdict arrives.
func waiting(t *testing.T, a *admitter.Admitter, weight uint32) <-chan error {
	t.Helper()
	verdict := make(chan error, 1)
	go func() { verdict <- a.Admit(context.Background(), &eelgrasspoint.Meta{Weight: weight, Insists: true}) }()
	synctest.Wait()
	return verdict
}

func release(a *admitter.Admitter) {
	a.Release(eelgrasspoint.Sample{At: time.Now(), Succeeded: true, Duration: time.Millisecond, Held: time.Millisecond})
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
		light, middle := waiting(t, a, 1), waiting(t, a, 3)
		heavy := waiting(t, a, 5)
		assert.Equal(t, reason(<-light), eelgrasspoint.Overloaded)
		another := waiting(t, a, 2)
		assert.Equal(t, reason(<-another), eelgrasspoint.Overloaded)
		release(a)
		assert.NilError(t, <-heavy)
		release(a)
		assert.NilError(t, <-middle)
	})
}

func TestQueueHoldsNothingTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitter.New(limiter.NewFixed(1), time.Now)
		fill(t, a, 1)
		a.Release(eelgrasspoint.Sample{At: time.Now(), Succeeded: true, Duration: 100 * time.Millisecond})
		fill(t, a, 1)
		err := a.Admit(t.Context(), &eelgrasspoint.Meta{Deadline: time.Now().Add(150 * time.Millisecond)})
		assert.Equal(t, reason(err), eelgrasspoint.Overloaded)
	})
}

func TestWaitEndsWithTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := admitter.New(limiter.NewFixed(1), time.Now)
		fill(t, a, 1)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		assert.Equal(t, reason(a.Admit(ctx, &eelgrasspoint.Meta{})), eelgrasspoint.DeadlinePassed)
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
		assert.Equal(t, reason(a.Admit(t.Context(), &eelgrasspoint.Meta{})), eelgrasspoint.Draining)
		a.Open()
		assert.NilError(t, a.Admit(t.Context(), &eelgrasspoint.Meta{}))
	})
}

func BenchmarkAdmit(b *testing.B) {
	a := admitter.New(limiter.NewFixed(16), time.Now)
	meta := &eelgrasspoint.Meta{Weight: 1}
	for b.Loop() {
		if err := a.Admit(b.Context(), meta); err != nil {
			b.Fatal(err)
		}
		release(a)
	}
}
