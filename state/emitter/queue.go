package emitter

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// queue holds the lines of one kind until they are written.
type queue struct {
	out io.Writer
	// kind is what the lines are about, for the reports of dropped ones.
	kind    string
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}

	// Only run accesses the fields below: the clock second, the lines written in it, and the dropped lines that are reported.
	second   int64
	written  int
	reported uint64
}

func newQueue(out io.Writer, kind string) *queue {
	q := &queue{out: out, kind: kind, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go q.run()
	return q
}

// Write implements io.Writer. It never blocks.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte{}, line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// close ends run once the queued lines are written, and waits for that until ctx ends.
func (q *queue) close(ctx context.Context) {
	select {
	case q.lines <- nil:
	case <-ctx.Done():
		return
	}
	select {
	case <-q.done:
	case <-ctx.Done():
	}
}

// reportDelay is the time after which dropped lines are reported, with those that are dropped until then.
const reportDelay = time.Second

// run writes the queued lines and reports the dropped ones, also at the end.
func (q *queue) run() {
	defer close(q.done)
	defer q.reportDropped()
	var report <-chan time.Time
	for {
		select {
		case line := <-q.lines:
			if line == nil {
				return
			}
			q.writeLine(line)
		case <-report:
			q.reportDropped()
			report = nil
		}
		if report == nil && q.dropped.Load() > q.reported {
			report = time.After(reportDelay)
		}
	}
}

// writeLine writes the line, or drops and counts it above maxLinesPerSecond within a clock second.
func (q *queue) writeLine(line []byte) {
	if now := time.Now().Unix(); now != q.second {
		q.second, q.written = now, 0
	}
	if q.written >= maxLinesPerSecond {
		q.dropped.Add(1)
		return
	}
	q.written++
	// An error of writing the log can't itself be logged.
	_, _ = q.out.Write(line)
}

// reportDropped writes one line with the number of lines dropped since the last report, if there are any.
func (q *queue) reportDropped() {
	dropped := q.dropped.Load()
	if dropped == q.reported {
		return
	}
	_, _ = fmt.Fprintf(q.out, `{"Time":%q,"Level":"warning","Event":"LinesDropped","Kind":%q,"Lines":%d,"Detail":"%d log lines of %s dropped since the last report: the queue of %d lines was full or the rate was above %d lines per second"}`+"\n",
		time.Now().Format(time.RFC3339Nano), q.kind, dropped-q.reported, dropped-q.reported, q.kind, maxQueuedLines, maxLinesPerSecond)
	q.reported = dropped
}
