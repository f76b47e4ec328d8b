// Package admitter is the admission control of a backend server: it decides which requests are
// admitted, which wait in the queue and which are refused as not run.
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
	// loadReported is set if the backend server itself reports its load.
	loadReported bool

	mu      sync.Mutex
	limiter eelgrasspoint.Limiter
	// inUse is the number of requests that were admitted and not yet released.
	inUse   int
	queue   queue
	latency latencyEstimate
	// closedReason is why all requests are refused, or NoReason while the admitter is open.
	closedReason eelgrasspoint.Reason
	// startTimes is the sum of the admission times of the requests counted in inUse, each
	// relative to epoch.
	startTimes  time.Duration
	epoch       time.Time
	coldLimiter coldLimiter
	// coldTimer admits queued requests when a cold backend server may get the next one; nil if it is not set.
	coldTimer   *time.Timer
	rateLimiter rateLimiter
	saturation  saturationDetector
}

// New returns an admitter with an empty queue.
func New(limiter eelgrasspoint.Limiter, clock eelgrasspoint.Clock) *Admitter {
	return &Admitter{limiter: limiter, clock: clock, epoch: clock()}
}

// NewWithReportedLoad returns an admitter for a backend server that reports its load. Requests
// without Insists use only its FastSlots and are refused rather than queued.
func NewWithReportedLoad(limiter eelgrasspoint.Limiter, clock eelgrasspoint.Clock) *Admitter {
	a := New(limiter, clock)
	a.loadReported = true
	return a
}

// Admit waits until the request may run and returns the time of admission. If the error is nil, the
// caller must call Release once, with that time as Sample.Admitted. Any error is an
// *eelgrasspoint.OutcomeError with outcome NotRun.
func (a *Admitter) Admit(ctx context.Context, meta *eelgrasspoint.RequestMetadata) (time.Time, error) {
	w, admittedAt, err := a.admitOrQueue(meta)
	if w == nil || err != nil {
		return admittedAt, err
	}
	timer := time.NewTimer(w.timeout(a.clock()))
	defer timer.Stop()
	select {
	case reason := <-w.decision:
		return w.admittedAt, refusal(reason)
	case <-timer.C:
		return admittedAt, a.cancelWait(w, eelgrasspoint.Overloaded)
	case <-ctx.Done():
		return admittedAt, a.cancelWait(w, cancelReason(ctx))
	}
}

// Release frees the slot of a request and updates the estimates from its sample. It reports whether
// the limiter found the backend server cold (see eelgrasspoint.Limiter), which is independent of
// SetCold, and whether its last slots are given up from now on.
func (a *Admitter) Release(sample eelgrasspoint.Sample) (cold, lastSlotsGivenUp bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sample.InUse = a.inUse
	a.releaseSlot(sample.Admitted)
	cold = a.limiter.Observe(sample)
	if sample.Succeeded {
		a.latency.observe(sample.Duration, sample.At)
	}
	givenUpBefore := a.saturation.lastSlotsSlow()
	a.saturation.observe(&sample)
	a.admitWaiting()
	return cold, !givenUpBefore && a.saturation.lastSlotsSlow()
}

// Reset discards the estimates and the rate limit for a new incarnation of the backend server with the given slots.
func (a *Admitter) Reset(slots int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.Reset(slots)
	a.latency = latencyEstimate{}
	a.saturation = saturationDetector{}
	a.rateLimiter.clear()
	a.admitWaiting()
}

// SetSlots sets another number of slots of the same incarnation of the backend server.
func (a *Admitter) SetSlots(slots int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.Reset(slots)
	a.saturation = saturationDetector{}
	a.admitWaiting()
}

// Close refuses the queued requests, and all new ones until Open is called, with the reason.
func (a *Admitter) Close(reason eelgrasspoint.Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closedReason = reason
	for a.queue.Len() > 0 {
		a.queue.pop().decision <- reason
	}
}

// Open admits requests again after Close.
func (a *Admitter) Open() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closedReason = eelgrasspoint.NoReason
}

// Load returns the current load of the backend server.
func (a *Admitter) Load() eelgrasspoint.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	return eelgrasspoint.Load{
		InUse:  uint32(max(a.inUse, 0)),
		Limit:  uint32(a.limiter.Limit()),
		Queued: uint32(a.queue.Len()),

		Expected: a.latency.expected(a.meanAge(now), now),
		Pause:    max(a.rateLimiter.pause(now), a.coldLimiter.pause(now, a.queue.Len())),
	}
}

// admitOrQueue admits the request and returns the time of admission, or queues the request and
// returns its waiter, or returns the refusal.
func (a *Admitter) admitOrQueue(meta *eelgrasspoint.RequestMetadata) (*waiter, time.Time, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closedReason != eelgrasspoint.NoReason {
		return nil, time.Time{}, refusal(a.closedReason)
	}
	now := a.clock()
	age := a.meanAge(now)
	if age > 0 {
		a.limiter.ObserveInFlight(age, now)
	}
	coldPause := a.coldLimiter.pause(now, a.queue.Len())
	if coldPause > 0 && !meta.Insists {
		return nil, time.Time{}, a.coldLimiter.refusal(coldPause)
	}
	if err := a.rateLimiter.refusal(now); err != nil {
		return nil, time.Time{}, err
	}
	if !meta.Insists && !a.loadReported && a.latency.isSlow(age, now) {
		return nil, time.Time{}, refusal(eelgrasspoint.SlowServer)
	}
	if a.queue.Len() == 0 && coldPause == 0 && a.inUse < a.concurrencyLimit(meta.Insists) {
		a.takeSlot(now)
		return nil, now, nil
	}
	if a.loadReported && !meta.Insists {
		return nil, time.Time{}, refusal(eelgrasspoint.Overloaded)
	}
	w := &waiter{weight: meta.Weight, deadline: meta.Deadline, maxWait: a.maxWait(meta, now), decision: make(chan eelgrasspoint.Reason, 1)}
	if pause := a.coldLimiter.pause(now, a.queue.countBefore(w)); pause > w.maxWait {
		return nil, time.Time{}, a.coldLimiter.refusal(pause)
	}
	if !a.canFinishInTime(w) {
		return nil, time.Time{}, refusal(eelgrasspoint.Overloaded)
	}
	if a.queue.Len() >= a.queueCapacity() && !a.evictLighter(w) {
		return nil, time.Time{}, refusal(eelgrasspoint.Overloaded)
	}
	a.queue.push(w)
	a.setColdTimer(now)
	return w, time.Time{}, nil
}

// setColdTimer sets the timer for the next request that a cold backend server may get, if any waits.
func (a *Admitter) setColdTimer(now time.Time) {
	pause := a.coldLimiter.pause(now, 0)
	if a.coldTimer != nil || a.queue.Len() == 0 || pause == 0 {
		return
	}
	a.coldTimer = time.AfterFunc(pause, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.coldTimer = nil
		a.admitWaiting()
	})
}

// concurrencyLimit returns how many requests may run concurrently: the limit, or only FastSlots of it.
// If the load is reported, the remainder is reserved for requests with Insists. Once runs in the last
// slots proved slower, no request uses it.
func (a *Admitter) concurrencyLimit(insists bool) int {
	if a.loadReported && !insists || a.saturation.lastSlotsSlow() {
		return FastSlots(a.limiter.Limit())
	}
	return a.limiter.Limit()
}

func (a *Admitter) takeSlot(now time.Time) {
	a.inUse++
	a.coldLimiter.record(now)
	a.rateLimiter.record(now)
	a.startTimes += now.Sub(a.epoch)
}

func (a *Admitter) releaseSlot(admittedAt time.Time) {
	a.inUse--
	a.startTimes -= admittedAt.Sub(a.epoch)
	if a.inUse == 0 {
		a.startTimes = 0
	}
}

// meanAge returns the mean time since admission of the requests counted in inUse.
func (a *Admitter) meanAge(now time.Time) time.Duration {
	if a.inUse <= 0 {
		return 0
	}
	return now.Sub(a.epoch) - a.startTimes/time.Duration(a.inUse)
}

// evictLighter refuses the queued request of the lowest weight if that is below the weight of w,
// and reports whether it did.
func (a *Admitter) evictLighter(w *waiter) bool {
	lightest := a.queue.lightest()
	if lightest == nil || lightest.weight >= w.weight {
		return false
	}
	a.queue.remove(lightest)
	lightest.decision <- eelgrasspoint.Overloaded
	return true
}

// canFinishInTime estimates, from the recent latency and the waiters before w, whether w would get
// a slot within its maxWait and finish before its deadline.
func (a *Admitter) canFinishInTime(w *waiter) bool {
	if a.latency.recent == 0 {
		return true
	}
	limit := max(a.limiter.Limit(), 1)
	position := a.queue.countBefore(w) + 1
	wait := a.latency.recent * time.Duration(position) / time.Duration(limit)
	if wait > w.maxWait {
		return false
	}
	return w.deadline.IsZero() || !a.clock().Add(wait+a.latency.recent).After(w.deadline)
}

func (a *Admitter) queueCapacity() int {
	return max(eelgrasspoint.MinQueueCapacity, a.limiter.Limit()*eelgrasspoint.MaxQueuedPerSlot)
}

// admitWaiting admits queued requests to the free slots in the order of the queue. It refuses those
// that have less than half the recent latency left until their deadline.
func (a *Admitter) admitWaiting() {
	now := a.clock()
	defer a.setColdTimer(now)
	for a.queue.Len() > 0 && a.inUse < a.concurrencyLimit(true) && a.coldLimiter.pause(now, 0) == 0 && a.rateLimiter.pause(now) == 0 {
		w := a.queue.pop()
		if !w.deadline.IsZero() && now.Add(a.latency.recent/2).After(w.deadline) {
			w.decision <- eelgrasspoint.DeadlinePassed
			continue
		}
		w.admittedAt = now
		a.takeSlot(now)
		w.decision <- eelgrasspoint.NoReason
	}
}

// cancelWait removes the waiter from the queue, or releases its slot if it was admitted meanwhile,
// and returns the refusal.
func (a *Admitter) cancelWait(w *waiter, reason eelgrasspoint.Reason) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queue.remove(w) {
		return refusal(reason)
	}
	if decision := <-w.decision; decision != eelgrasspoint.NoReason {
		return refusal(decision)
	}
	a.releaseSlot(w.admittedAt)
	a.admitWaiting()
	return refusal(reason)
}

// maxWait returns how long a request may wait for a slot, regardless of its deadline. During a slow start most of
// the others are cold as well, so that a longer wait is worth more than a refusal.
func (a *Admitter) maxWait(meta *eelgrasspoint.RequestMetadata, now time.Time) time.Duration {
	if meta.TargetLatency == 0 {
		return eelgrasspoint.DefaultMaxQueueWait
	}
	ratio := eelgrasspoint.MaxQueueWaitRatio
	if a.coldLimiter.active(now) {
		ratio = eelgrasspoint.MaxColdWaitRatio
	}
	return time.Duration(ratio * float64(meta.TargetLatency))
}

// refusal returns the error for a reason, or nil for NoReason.
func refusal(reason eelgrasspoint.Reason) error {
	if reason == eelgrasspoint.NoReason {
		return nil
	}
	return eelgrasspoint.Refuse(reason, "")
}

// cancelReason returns the reason for which a context ended.
func cancelReason(ctx context.Context) eelgrasspoint.Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return eelgrasspoint.DeadlinePassed
	}
	return eelgrasspoint.Canceled
}
