// Package explainer finds in collected logs what became of one request.
package explainer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"eelgrasspoint"
)

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// Explainer collects the lines on one request. Lines may come from any number of nodes and in
// any order, and may have text before the JSON object, as log collectors add it.
type Explainer struct {
	request string
	lines   []line
	foreign int
}

// line is one log line on the request.
type line struct {
	at     time.Time
	event  eelgrasspoint.EventNumber
	fields map[string]any
}

// New returns an explainer of the request with the identifier.
func New(request string) *Explainer { return &Explainer{request: request} }

// Read takes the lines of a log. What is no log line of a node is counted and left out.
func (e *Explainer) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		e.take(scanner.Text())
	}
	return scanner.Err()
}

func (e *Explainer) take(text string) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		e.foreign++
		return
	}
	if fields["RequestId"] != e.request {
		return
	}
	number, _ := fields["Number"].(float64)
	at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(fields["Time"]))
	if err != nil {
		e.foreign++
		return
	}
	e.lines = append(e.lines, line{at: at, event: eelgrasspoint.EventNumber(number), fields: fields})
}

// decisive ranks the events by how much they say of the end of a request.
var decisive = []eelgrasspoint.EventNumber{
	eelgrasspoint.EventRequestFailed, eelgrasspoint.EventRequestRefused, eelgrasspoint.EventRequestAnswered,
}

// Write prints the lines in order of time, the deciding one marked, and reports whether there
// was any. An attempt that failed or was refused last decides over the end that followed from it.
func (e *Explainer) Write(w io.Writer) bool {
	if len(e.lines) == 0 {
		fmt.Fprintf(w, "no line on request %s\n", e.request)
		return false
	}
	slices.SortStableFunc(e.lines, func(a, b line) int { return a.at.Compare(b.at) })
	deciding := e.deciding()
	for i, l := range e.lines {
		mark := " "
		if i == deciding {
			mark = ">"
		}
		fmt.Fprintf(w, "%s %s %s %s: %s\n", mark, l.at.Format("15:04:05.000"), l.text("Node"), l.event, l.text("Detail"))
		fmt.Fprintf(w, "    %s\n", l.inputs())
	}
	if e.foreign > 0 {
		fmt.Fprintf(w, "%d lines could not be read\n", e.foreign)
	}
	return true
}

// deciding returns the place of the line that says why the request ended as it did.
func (e *Explainer) deciding() int {
	end := e.last(decisive...)
	if end < 0 || e.lines[end].event == eelgrasspoint.EventRequestAnswered {
		return max(end, 0)
	}
	attempt := e.last(eelgrasspoint.EventAttemptFailed)
	if attempt < 0 {
		attempt = e.last(eelgrasspoint.EventAttemptRefused)
	}
	if attempt >= 0 {
		return attempt
	}
	return end
}

// last returns the place of the last line of one of the events, or -1.
func (e *Explainer) last(events ...eelgrasspoint.EventNumber) int {
	for i := len(e.lines) - 1; i >= 0; i-- {
		if slices.Contains(events, e.lines[i].event) {
			return i
		}
	}
	return -1
}

func (l line) text(name string) string {
	text, _ := l.fields[name].(string)
	return text
}

// common fields are printed in the head of a line or say nothing on the decision.
var common = []string{"Time", "Level", "Node", "Event", "Number", "Detail", "RequestId"}

// inputs lists what decided, by name.
func (l line) inputs() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if !slices.Contains(common, name) {
			parts = append(parts, fmt.Sprintf("%s=%v", name, l.fields[name]))
		}
	}
	return strings.Join(parts, " ")
}
