// Package emitter writes log lines asynchronously from bounded queues, so that logging never blocks on the output, and
// lines of requests don't displace those of changes.
package emitter

import (
	"context"
	"io"
	"sync"
	"time"
)

// Limits of each queue, of its output rate and of the time to close.
const (
	maxQueuedLines    = 1024
	maxLinesPerSecond = 400
	// closeTimeout bounds the time for which Close waits for a blocked output.
	closeTimeout = 200 * time.Millisecond
)

// Emitter is an io.Writer of the lines of changes; each write is one log line. It is safe for concurrent use.
type Emitter struct {
	changes, requests *queue
}

// New returns an emitter that writes to out until Close is called.
func New(out io.Writer) *Emitter {
	shared := &lockedWriter{out: out}
	return &Emitter{changes: newQueue(shared, "changes"), requests: newQueue(shared, "requests")}
}

// Write implements io.Writer. It never blocks; the line is dropped and counted if the queue is full.
func (e *Emitter) Write(line []byte) (int, error) { return e.changes.Write(line) }

// Requests returns a writer like the emitter, for the lines of requests. They have a queue and a rate of their own.
func (e *Emitter) Requests() io.Writer { return e.requests }

// Dropped returns the number of lines of both kinds dropped so far, because a queue was full or a rate was exceeded.
func (e *Emitter) Dropped() uint64 { return e.changes.dropped.Load() + e.requests.dropped.Load() }

// Close flushes the queues, but returns after closeTimeout if the output blocks. Lines written after
// Close are lost.
func (e *Emitter) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	e.changes.close(ctx)
	e.requests.close(ctx)
}

// lockedWriter makes one write at a time.
type lockedWriter struct {
	mu  sync.Mutex
	out io.Writer
}

// Write implements io.Writer.
func (w *lockedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(line)
}
