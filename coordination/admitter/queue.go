package admitter

import (
	"slices"
	"time"

	"eelgrasspoint"
)

// waiter is one request in the queue. The verdict NoReason admits it.
type waiter struct {
	weight   uint32
	deadline time.Time
	patience time.Duration
	began    time.Time
	verdict  chan eelgrasspoint.Reason
}

// queue is ordered: heavier first, then earlier arrival. It is short, so a slice serves.
type queue struct{ waiters []*waiter }

func (q *queue) Len() int { return len(q.waiters) }

func (q *queue) push(w *waiter) {
	q.waiters = slices.Insert(q.waiters, q.ahead(w), w)
}

// ahead counts the waiters that go before w.
func (q *queue) ahead(w *waiter) int {
	for i, other := range q.waiters {
		if other.weight < w.weight {
			return i
		}
	}
	return len(q.waiters)
}

func (q *queue) popBest() *waiter {
	w := q.waiters[0]
	q.waiters = slices.Delete(q.waiters, 0, 1)
	return w
}

// lightest returns the last arrival among the lightest.
func (q *queue) lightest() *waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	return q.waiters[len(q.waiters)-1]
}

func (q *queue) remove(w *waiter) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}
