// Package admitter decides which requests a backend server may run now, which wait and
// which are refused as not run.
package admitter

import (
	"context"
	"sync"
	"time"

	"eelgrasspoint"
)

// Admitter is safe for concurrent use.
type Admitter struct {
	clock eelgrasspoint.Clock
	// tellsLoad is set if the backend server itself says how slow it is.
	tellsLoad bool

	mu      sync.Mutex
	limiter eelgrasspoint.Limiter
	inUse   int
	queue   queue
	service speed
	closed  eelgrasspoint.Reason
	// begun sums up when the requests in use began, counted from epoch.
	begun time.Duration
	epoch time.Time
	cold  cold
	crowd crowding
}

// New returns an admitter with an empty queue.
func New(limiter eelgrasspoint.Limiter, clock eelgrasspoint.Clock) *Admitter {
	return &Admitter{limiter: limiter, clock: clock, epoch: clock()}
}

// NewWithReportedLoad returns an admitter for a backend server that reports its load. Requests
// that do not insist take only its fast slots and never wait.
func NewWithReportedLoad(limiter eelgrasspoint.Limiter, clock eelgrasspoint.Clock) *Admitter {
	a := New(limiter, clock)
	a.tellsLoad = true
	a.cold.blindUntil = clock().Add(coldWindow)
	return a
}

// Admit returns when the request may run, and that moment, which goes into the sample of the
// one Release that must follow. The error is an *eelgrasspoint.OutcomeError with outcome NotRun.
func (a *Admitter) Admit(ctx context.Context, meta *eelgrasspoint.RequestMetadata) (time.Time, error) {
	w, began, err := a.enter(meta)
	if w == nil || err != nil {
		return began, err
	}
	timer := time.NewTimer(a.waitLimit(meta))
	defer timer.Stop()
	select {
	case reason := <-w.verdict:
		return w.began, refusal(reason)
	case <-timer.C:
		return began, a.abandon(w, eelgrasspoint.Overloaded)
	case <-ctx.Done():
		return began, a.abandon(w, abandonReason(ctx))
	}
}

// Release gives the slot back and learns from the run. It reports whether the backend server
// turned cold, and whether its last slots are given up from now on.
func (a *Admitter) Release(sample eelgrasspoint.Sample) (cold, crowded bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sample.InUse = a.inUse
	a.leave(sample.Admitted)
	cold = a.limiter.Observe(sample)
	if sample.Succeeded {
		a.service.learn(sample.Duration, sample.At)
	}
	before := a.crowd.slows()
	a.crowd.learn(&sample)
	a.grant()
	return cold, !before && a.crowd.slows()
}

// Reset starts again for a new incarnation with the slots.
func (a *Admitter) Reset(slots int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.Reset(slots)
	a.service = speed{}
	a.crowd = crowding{}
	a.grant()
}

// Close refuses everything that waits or comes, until Open.
func (a *Admitter) Close(reason eelgrasspoint.Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = reason
	for a.queue.Len() > 0 {
		a.queue.popBest().verdict <- reason
	}
}

// Open takes requests again.
func (a *Admitter) Open() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = eelgrasspoint.NoReason
}

// Load returns the present counts.
func (a *Admitter) Load() eelgrasspoint.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	return eelgrasspoint.Load{
		InUse:  uint32(max(a.inUse, 0)),
		Limit:  uint32(a.limiter.Limit()),
		Queued: uint32(a.queue.Len()),

		Expected: a.service.expected(a.age(now), now),
	}
}

// enter takes a slot, or a place in the queue, or refuses.
func (a *Admitter) enter(meta *eelgrasspoint.RequestMetadata) (*waiter, time.Time, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed != eelgrasspoint.NoReason {
		return nil, time.Time{}, refusal(a.closed)
	}
	now := a.clock()
	age := a.age(now)
	if age > 0 {
		a.limiter.ObserveInFlight(age, now)
	}
	if !a.cold.admits(now) {
		return nil, time.Time{}, a.cold.refuse(now)
	}
	if !meta.Insists && !a.tellsLoad && a.service.slow(age, now) {
		return nil, time.Time{}, refusal(eelgrasspoint.SlowServer)
	}
	if a.queue.Len() == 0 && a.inUse < a.limit(meta.Insists) {
		a.take(now)
		return nil, now, nil
	}
	if a.tellsLoad && !meta.Insists {
		return nil, time.Time{}, refusal(eelgrasspoint.Overloaded)
	}
	w := &waiter{weight: meta.Weight, deadline: meta.Deadline, patience: patience(meta), verdict: make(chan eelgrasspoint.Reason, 1)}
	if !a.canFinish(w) {
		return nil, time.Time{}, refusal(eelgrasspoint.Overloaded)
	}
	if a.queue.Len() >= a.maxQueue() && !a.shedLighter(w) {
		return nil, time.Time{}, refusal(eelgrasspoint.Overloaded)
	}
	a.queue.push(w)
	return w, time.Time{}, nil
}

// limit is how many requests may run at once. The last slots are left to requests that insist,
// and to none where runs in them slow down.
func (a *Admitter) limit(insists bool) int {
	if a.tellsLoad && !insists || a.crowd.slows() {
		return FastSlots(a.limiter.Limit())
	}
	return a.limiter.Limit()
}

func (a *Admitter) take(now time.Time) {
	a.inUse++
	a.cold.count(now)
	a.begun += now.Sub(a.epoch)
}

func (a *Admitter) leave(began time.Time) {
	a.inUse--
	a.begun -= began.Sub(a.epoch)
	if a.inUse == 0 {
		a.begun = 0
	}
}

// age is how long the requests in use have been so on average.
func (a *Admitter) age(now time.Time) time.Duration {
	if a.inUse <= 0 {
		return 0
	}
	return now.Sub(a.epoch) - a.begun/time.Duration(a.inUse)
}

// shedLighter makes room by refusing the lightest waiter if it is lighter than w.
func (a *Admitter) shedLighter(w *waiter) bool {
	lightest := a.queue.lightest()
	if lightest == nil || lightest.weight >= w.weight {
		return false
	}
	a.queue.remove(lightest)
	lightest.verdict <- eelgrasspoint.Overloaded
	return true
}

// canFinish estimates whether the waiter would be answered in time behind those that go first.
func (a *Admitter) canFinish(w *waiter) bool {
	if a.service.recent == 0 {
		return true
	}
	limit := max(a.limiter.Limit(), 1)
	ahead := a.queue.ahead(w) + 1
	wait := a.service.recent * time.Duration(ahead) / time.Duration(limit)
	if wait > w.patience {
		return false
	}
	return w.deadline.IsZero() || !a.clock().Add(wait+a.service.recent).After(w.deadline)
}

func (a *Admitter) maxQueue() int {
	return max(eelgrasspoint.MinQueueCapacity, a.limiter.Limit()*eelgrasspoint.MaxQueuedPerSlot)
}

// grant hands free slots to the waiters that go first, refusing those that are too late.
func (a *Admitter) grant() {
	now := a.clock()
	for a.queue.Len() > 0 && a.inUse < a.limit(true) && a.cold.admits(now) {
		w := a.queue.popBest()
		if !w.deadline.IsZero() && now.Add(a.service.recent/2).After(w.deadline) {
			w.verdict <- eelgrasspoint.DeadlinePassed
			continue
		}
		w.began = now
		a.take(now)
		w.verdict <- eelgrasspoint.NoReason
	}
}

// abandon takes the waiter out of the queue, or gives back the slot that it was just granted.
func (a *Admitter) abandon(w *waiter, reason eelgrasspoint.Reason) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queue.remove(w) {
		return refusal(reason)
	}
	if verdict := <-w.verdict; verdict != eelgrasspoint.NoReason {
		return refusal(verdict)
	}
	a.leave(w.began)
	a.grant()
	return refusal(reason)
}

func (a *Admitter) waitLimit(meta *eelgrasspoint.RequestMetadata) time.Duration {
	if meta.Deadline.IsZero() {
		return patience(meta)
	}
	return min(patience(meta), eelgrasspoint.Remaining(meta.Deadline, a.clock()))
}

// patience is how long a request may wait for a slot.
func patience(meta *eelgrasspoint.RequestMetadata) time.Duration {
	if meta.TargetLatency == 0 {
		return eelgrasspoint.DefaultMaxQueueWait
	}
	return time.Duration(eelgrasspoint.MaxQueueWaitRatio * float64(meta.TargetLatency))
}

func refusal(reason eelgrasspoint.Reason) error {
	if reason == eelgrasspoint.NoReason {
		return nil
	}
	return eelgrasspoint.Refuse(reason, "")
}

func abandonReason(ctx context.Context) eelgrasspoint.Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return eelgrasspoint.DeadlinePassed
	}
	return eelgrasspoint.Canceled
}
