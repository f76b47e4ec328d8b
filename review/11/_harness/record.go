package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// record is the account of a play: what was sent, answered and run.
type record struct {
	startedAt time.Time
	mu        sync.Mutex
	out       io.Writer
	arrivals  []arrival
	// statuses are those of the answers that clients got, by the identifiers of the requests; zero is no answer.
	statuses map[string]int
}

func newRecord(out io.Writer) *record {
	return &record{startedAt: time.Now(), out: out, statuses: make(map[string]int)}
}

func (r *record) write(at time.Time, line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", at.Sub(r.startedAt).Seconds(), line)
}

// note writes a step of the play, which is also printed.
func (r *record) note(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	r.write(time.Now(), line)
	fmt.Fprintf(os.Stderr, "%8.3f %s\n", time.Since(r.startedAt).Seconds(), line)
}

func (r *record) ran(a arrival) {
	end := ""
	if a.Crashes {
		end = ", which crashes"
	}
	r.write(a.At, fmt.Sprintf("run %s %s at %s in %s%s", a.ID, a.Path, a.Instance, a.Zone, end))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
}

// answered notes the status that a client got, zero without an answer.
func (r *record) answered(id string, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses[id] = status
}

// matching returns the arrivals that match; the function may read the record.
func (r *record) matching(matches func(a arrival) bool) []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []arrival
	for _, a := range r.arrivals {
		if matches(a) {
			found = append(found, a)
		}
	}
	return found
}
