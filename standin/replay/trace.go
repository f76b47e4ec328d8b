// Package replay runs recorded traces of requests and faults through whole nodes in virtual
// time and compares what callers saw with the outcomes that the trace states.
package replay

import (
	"bufio"
	"bytes"
	"fmt"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/state/decoder"
)

// Trace is what a file of JSON lines says; docs/TRACES.md describes it.
type Trace struct {
	Seed     uint64
	Servers  []Servers
	Requests []Requests
	Faults   []Fault
	Expects  []Expect
}

// Servers is a group of backend servers, each with its node.
type Servers struct {
	Region      string
	Zone        string
	Service     string
	Count       int
	Slots       int
	ServiceTime time.Duration
	ColdTime    time.Duration
	ColdFactor  float64
	ColdSlots   int
	NoiseEvery  time.Duration
	NoiseShare  float64
	NoiseFactor float64
}

// Requests is a stream of requests at random moments.
type Requests struct {
	At     time.Duration
	For    time.Duration
	Rate   float64
	Method string
	Path   string
	Client string
	// Zone is where the callers enter.
	Zone    string
	Bytes   int
	Timeout time.Duration
	Weight  float64
	// Once is set for requests that may run only once.
	Once bool
	// Resend makes callers send a request again, under the same identifier, after a failure.
	Resend int
	Crash  bool
	// Hedge lets the requests be sent a second time when the first is slow.
	Hedge bool
	// Home are the regions that the requests may run in; none means all.
	Home []string
}

// Fault is something that goes wrong, or that operators do.
type Fault struct {
	At   time.Duration
	For  time.Duration
	Kind string
	// Zone and Service choose the servers, Count how many of them; zero means all.
	Zone    string
	Service string
	Count   int
}

// Expect bounds one measure.
type Expect struct {
	Measure string
	Path    string
	AtLeast *float64
	AtMost  *float64
}

// line is one line of a trace: exactly one of its fields is set.
type line struct {
	Seed     *uint64
	Servers  *Servers
	Requests *Requests
	Fault    *Fault
	Expect   *Expect
}

// maxLineBytes bounds one line of a trace.
const maxLineBytes = 1 << 20

// Parse reads a trace. Mistakes are listed with the number of their line.
func Parse(data []byte) (*Trace, error) {
	trace := &Trace{}
	var mistakes []eelgrasspoint.Mistake
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		for _, m := range trace.add(scanner.Bytes()) {
			m.Path = fmt.Sprintf("line %d: %s", number, m.Path)
			mistakes = append(mistakes, m)
		}
	}
	if err := scanner.Err(); err != nil {
		mistakes = append(mistakes, eelgrasspoint.Mistake{Path: "file", Message: err.Error()})
	}
	if len(mistakes) > 0 {
		return nil, &eelgrasspoint.InvalidError{Mistakes: mistakes}
	}
	return trace, nil
}

func (t *Trace) add(data []byte) []eelgrasspoint.Mistake {
	var l line
	if err := decoder.Decode(data, &l); err != nil {
		return eelgrasspoint.Mistakes(err)
	}
	mistakes := l.check()
	if len(mistakes) > 0 {
		return mistakes
	}
	switch {
	case l.Seed != nil:
		t.Seed = *l.Seed
	case l.Servers != nil:
		t.Servers = append(t.Servers, *l.Servers)
	case l.Requests != nil:
		t.Requests = append(t.Requests, *l.Requests)
	case l.Fault != nil:
		t.Faults = append(t.Faults, *l.Fault)
	case l.Expect != nil:
		t.Expects = append(t.Expects, *l.Expect)
	}
	return nil
}

func (l *line) check() []eelgrasspoint.Mistake {
	var mistakes []eelgrasspoint.Mistake
	require := func(ok bool, path, message string) {
		if !ok {
			mistakes = append(mistakes, eelgrasspoint.Mistake{Path: path, Message: message})
		}
	}
	if s := l.Servers; s != nil {
		require(s.Count > 0, "Servers.Count", "must be at least 1")
		require(s.Slots > 0, "Servers.Slots", "must be at least 1")
		require(s.Zone != "" && s.Region != "" && s.Service != "", "Servers", "needs Region, Zone and Service")
	}
	if r := l.Requests; r != nil {
		require(r.Rate > 0, "Requests.Rate", "must be above 0 (requests per second)")
		require(r.For > 0, "Requests.For", "must be above 0s")
		require(r.Zone != "", "Requests.Zone", "is required")
	}
	if f := l.Fault; f != nil {
		_, known := faults[f.Kind]
		require(known, "Fault.Kind", fmt.Sprintf("%q is not a kind of fault", f.Kind))
	}
	if e := l.Expect; e != nil {
		_, known := measures[e.Measure]
		require(known, "Expect.Measure", fmt.Sprintf("%q is not a measure", e.Measure))
		require(e.AtLeast != nil || e.AtMost != nil, "Expect", "needs AtLeast or AtMost")
	}
	empty := l.Seed == nil && l.Servers == nil && l.Requests == nil && l.Fault == nil && l.Expect == nil
	require(!empty, "line", "needs one of Seed, Servers, Requests, Fault, Expect")
	return mistakes
}
