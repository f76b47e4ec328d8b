// Package emitter writes log lines asynchronously from a bounded queue, so that logging never
// blocks on the output.
package emitter

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Limits of the queue, the output rate and the time to close.
const (
	maxQueuedLines    = 1024
	maxLinesPerSecond = 400
	// closeTimeout bounds the time for which Close waits for a blocked output.
	closeTimeout = 200 * time.Millisecond
)

// Emitter is an io.Writer; each write is one log line. It is safe for concurrent use.
type Emitter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// New returns an emitter that writes to out until Close is called.
func New(out io.Writer) *Emitter {
	e := &Emitter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go e.run()
	return e
}

// Write implements io.Writer. It never blocks; the line is dropped and counted if the queue is full.
func (e *Emitter) Write(line []byte) (int, error) {
	select {
	case e.lines <- append([]byte{}, line...):
	default:
		e.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far, because the queue was full or the rate was
// exceeded.
func (e *Emitter) Dropped() uint64 { return e.dropped.Load() }

// Close flushes the queue, but returns after closeTimeout if the output blocks. Lines written after
// Close are lost.
func (e *Emitter) Close() {
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case e.lines <- nil:
	case <-timer.C:
		return
	}
	select {
	case <-e.done:
	case <-timer.C:
	}
}

// run writes the queued lines. It drops and counts those above maxLinesPerSecond within a clock
// second, and reports the number of dropped lines at most once per second and at the end.
func (e *Emitter) run() {
	defer close(e.done)
	var currentSecond int64
	var written int
	var reported uint64
	for line := range e.lines {
		if line == nil {
			break
		}
		now := time.Now()
		if now.Unix() != currentSecond {
			currentSecond, written = now.Unix(), 0
			reported = e.reportDropped(reported, now)
		}
		if written >= maxLinesPerSecond {
			e.dropped.Add(1)
			continue
		}
		written++
		// An error of writing the log can't itself be logged.
		_, _ = e.out.Write(line)
	}
	e.reportDropped(reported, time.Now())
}

// reportDropped writes one line with the number of lines dropped since the last report, if there
// are any, and returns the total that has been reported.
func (e *Emitter) reportDropped(reported uint64, now time.Time) uint64 {
	dropped := e.dropped.Load()
	if dropped > reported {
		_, _ = fmt.Fprintf(e.out, `{"Time":%q,"Level":"warning","Event":"LinesDropped","Detail":"%d log lines dropped since the last report: the queue of %d lines was full or the rate was above %d lines per second"}`+"\n",
			now.Format(time.RFC3339Nano), dropped-reported, maxQueuedLines, maxLinesPerSecond)
	}
	return dropped
}
