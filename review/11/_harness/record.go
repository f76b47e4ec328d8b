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
}

func newRecord(out io.Writer) *record { return &record{startedAt: time.Now(), out: out} }

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
	r.write(a.At, fmt.Sprintf("run %s %s at %s in %s for %s", a.ID, a.Path, a.Instance, a.Zone, a.Caller))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
}

// matching returns the arrivals that match.
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
