// Package emitter writes log lines from a bounded queue, so that whoever logs never waits for
// the output.
package emitter

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Bounds of the queue and of the volume.
const (
	maxQueuedLines    = 1024
	maxLinesPerSecond = 400
	// closeTimeout bounds the wait for an output that takes nothing.
	closeTimeout = 200 * time.Millisecond
)

// Emitter is an io.Writer for whole lines. It is safe for concurrent use.
type Emitter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	ended   chan struct{}
}

// New returns an emitter that writes to out until Close.
func New(out io.Writer) *Emitter {
	e := &Emitter{out: out, lines: make(chan []byte, maxQueuedLines), ended: make(chan struct{})}
	go e.run()
	return e
}

// Write implements io.Writer. A line that finds the queue full is dropped and counted.
func (e *Emitter) Write(line []byte) (int, error) {
	select {
	case e.lines <- append([]byte{}, line...):
	default:
		e.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (e *Emitter) Dropped() uint64 { return e.dropped.Load() }

// Close writes what is queued, if the output takes it in time. What is written after it is lost.
func (e *Emitter) Close() {
	limit := time.NewTimer(closeTimeout)
	defer limit.Stop()
	select {
	case e.lines <- nil:
	case <-limit.C:
		return
	}
	select {
	case <-e.ended:
	case <-limit.C:
	}
}

// run writes the lines, within a number for each second, and says how many were dropped.
func (e *Emitter) run() {
	defer close(e.ended)
	var second int64
	var written int
	var told uint64
	for line := range e.lines {
		if line == nil {
			break
		}
		now := time.Now()
		if now.Unix() != second {
			second, written = now.Unix(), 0
			told = e.tell(told, now)
		}
		if written >= maxLinesPerSecond {
			e.dropped.Add(1)
			continue
		}
		written++
		// A log that can't be written has nowhere to say so.
		_, _ = e.out.Write(line)
	}
	e.tell(told, time.Now())
}

// tell writes one line on the lines dropped since the last and returns how many are told now.
func (e *Emitter) tell(told uint64, now time.Time) uint64 {
	dropped := e.dropped.Load()
	if dropped > told {
		_, _ = fmt.Fprintf(e.out, `{"Time":%q,"Level":"warning","Event":"LinesDropped","Detail":"%d lines"}`+"\n",
			now.Format(time.RFC3339Nano), dropped-told)
	}
	return dropped
}
