package admitter

import (
	"slices"
	"time"

	"eelgrasspoint"
)

// waiter is a queued request.
type waiter struct {
	weight     uint32
	deadline   time.Time
	maxWait    time.Duration
	admittedAt time.Time
	// decision receives NoReason on admission, or the reason of the refusal.
	decision chan eelgrasspoint.Reason
}

// timeout returns how long the request waits at most, not beyond its deadline.
func (w *waiter) timeout(now time.Time) time.Duration {
	if w.deadline.IsZero() {
		return w.maxWait
	}
	return min(w.maxWait, eelgrasspoint.Remaining(w.deadline, now))
}

// queue is ordered by descending weight, then by arrival. It is short, so a slice is fast enough.
type queue struct{ waiters []*waiter }

func (q *queue) Len() int { return len(q.waiters) }

func (q *queue) push(w *waiter) {
	q.waiters = slices.Insert(q.waiters, q.countBefore(w), w)
}

// countBefore returns the number of queued requests that would be admitted before w.
func (q *queue) countBefore(w *waiter) int {
	for i, other := range q.waiters {
		if other.weight < w.weight {
			return i
		}
	}
	return len(q.waiters)
}

// pop removes and returns the first waiter. The queue must not be empty.
func (q *queue) pop() *waiter {
	w := q.waiters[0]
	q.waiters = slices.Delete(q.waiters, 0, 1)
	return w
}

// lightest returns the latest arrival among the waiters of the lowest weight, or nil.
func (q *queue) lightest() *waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	return q.waiters[len(q.waiters)-1]
}

// remove reports whether w was in the queue.
func (q *queue) remove(w *waiter) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}
