// Package timer measures how long the answers of calls take.
package timer

import (
	"context"
	"net/http/httptrace"
	"sync"
	"time"
)

// Timer measures the latest call with its context. It is safe for concurrent use.
type Timer struct {
	mu                              sync.Mutex
	startedAt, firstByteAt, endedAt time.Time
}

type contextKey struct{}

// New returns a timer without a call.
func New() *Timer { return &Timer{} }

// Context returns a context for the calls that are to be timed.
func (t *Timer) Context(ctx context.Context) context.Context {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: t.noteFirstByte})
	return context.WithValue(ctx, contextKey{}, t)
}

// Begin notes that a call with the context begins, and returns the function that is to be called once its answer has been
// read as a whole.
func Begin(ctx context.Context) (end func()) {
	t, ok := ctx.Value(contextKey{}).(*Timer)
	if !ok {
		return func() {}
	}
	t.begin()
	return t.end
}

func (t *Timer) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startedAt = time.Now()
	t.firstByteAt, t.endedAt = t.startedAt, time.Time{}
}

func (t *Timer) noteFirstByte() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.firstByteAt = time.Now()
}

func (t *Timer) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endedAt = time.Now()
}

// Durations are the parts of the time since the latest call began.
type Durations struct {
	// Call is the whole call, Answer the part of it since the first byte of its answer, and Rest the time since its end.
	Call, Answer, Rest time.Duration
}

// Durations returns the parts of the time since the latest call began. It reports false if no call has ended.
func (t *Timer) Durations() (Durations, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.endedAt.IsZero() {
		return Durations{}, false
	}
	return Durations{Call: t.endedAt.Sub(t.startedAt), Answer: t.endedAt.Sub(t.firstByteAt), Rest: time.Since(t.endedAt)}, true
}
