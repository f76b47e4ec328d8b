// Package replay runs traces of requests and faults against simulated clusters of complete nodes in
// virtual time and compares the results that callers saw with the expectations in the trace.
package replay

import (
	"bufio"
	"bytes"
	"fmt"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/state/decoder"
)

// Trace is the content of a trace file, which has one JSON object per line; docs/TRACES.md describes
// the format.
type Trace struct {
	Seed     uint64
	Servers  []Servers
	Requests []Requests
	Faults   []Fault
	Expects  []Expect
}

// Servers is a group of Count equal backend servers, each with a node beside it. Slots and ServiceTime
// are those of each server. The Cold fields are those of backend.Behavior, except that a ColdFactor below
// 1 counts as 1; the Noise fields are those of backend.Noise.
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

// Requests is a stream of requests at random times. Rate is in requests per second.
type Requests struct {
	At     time.Duration
	For    time.Duration
	Rate   float64
	Method string
	Path   string
	Client string
	// Zone is the zone of the entry nodes.
	Zone    string
	Bytes   int
	Timeout time.Duration
	Weight  float64
	// Once is set for requests that are not idempotent: each may run only once per send.
	Once bool
	// Resend is the maximum number of times that a caller resends a failed request, under the same
	// identifier.
	Resend int
	// Crash makes each run of a request crash the backend server.
	Crash bool
	// Hedge turns on hedging: a second attempt is sent when the first is slow.
	Hedge bool
	// Home are the home regions of the requests; if empty, they may run in any region.
	Home []string
}

// Fault is one fault or one action of an operator.
type Fault struct {
	At time.Duration
	// For is the duration of the fault. If it is zero, faults of servers, nodes, hosts and zones last
	// until the end of the replay; Cut, StoreDown and StoreSlow are reverted at once. Silence, Reset,
	// Cold and ZoneIn ignore it.
	For  time.Duration
	Kind string
	// Zone and Service select the servers; an empty one selects all. The fault affects at most Count of
	// the selected servers, drawn at random, or all of them if Count is zero. ZoneOut and ZoneIn use Zone
	// only; Cut, StoreDown and StoreSlow use none of them.
	Zone    string
	Service string
	Count   int
}

// Expect bounds one measure over the requests of a path, or over all requests if Path is empty.
type Expect struct {
	Measure string
	Path    string
	AtLeast *float64
	AtMost  *float64
}

// line is one line of a trace file. It must set at least one of the fields; if it sets several, all are
// validated, but only the first in this order is added to the trace.
type line struct {
	Seed     *uint64
	Servers  *Servers
	Requests *Requests
	Fault    *Fault
	Expect   *Expect
}

const maxLineBytes = 1 << 20

// Parse parses a trace file. An error is an InvalidError that lists all mistakes with their line numbers.
func Parse(data []byte) (*Trace, error) {
	trace := &Trace{}
	var mistakes []eelgrasspoint.Mistake
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		for _, m := range trace.addLine(scanner.Bytes()) {
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

// addLine decodes one line and adds it to the trace, unless it has mistakes.
func (t *Trace) addLine(data []byte) []eelgrasspoint.Mistake {
	var l line
	if err := decoder.Decode(data, &l); err != nil {
		return eelgrasspoint.Mistakes(err)
	}
	mistakes := l.validate()
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

// validate returns the mistakes in the values of the line.
func (l *line) validate() []eelgrasspoint.Mistake {
	var mistakes []eelgrasspoint.Mistake
	require := func(ok bool, path, message string) {
		if !ok {
			mistakes = append(mistakes, eelgrasspoint.Mistake{Path: path, Message: message})
		}
	}
	if s := l.Servers; s != nil {
		require(s.Count > 0, "Servers.Count", "must be at least 1")
		require(s.Slots > 0, "Servers.Slots", "must be at least 1")
		require(s.Zone != "" && s.Region != "" && s.Service != "", "Servers", "Region, Zone and Service are required")
	}
	if r := l.Requests; r != nil {
		require(r.Rate > 0, "Requests.Rate", "must be above 0 (requests per second)")
		require(r.For > 0, "Requests.For", "must be above 0s")
		require(r.Zone != "", "Requests.Zone", "is required")
	}
	if f := l.Fault; f != nil {
		_, known := faultInjectors[f.Kind]
		require(known, "Fault.Kind", fmt.Sprintf("unknown kind of fault %q", f.Kind))
	}
	if e := l.Expect; e != nil {
		_, known := measures[e.Measure]
		require(known, "Expect.Measure", fmt.Sprintf("unknown measure %q", e.Measure))
		require(e.AtLeast != nil || e.AtMost != nil, "Expect", "AtLeast or AtMost is required")
	}
	empty := l.Seed == nil && l.Servers == nil && l.Requests == nil && l.Fault == nil && l.Expect == nil
	require(!empty, "line", "one of Seed, Servers, Requests, Fault and Expect is required")
	return mistakes
}
