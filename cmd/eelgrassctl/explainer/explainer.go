// Package explainer prints the log lines of one request from all nodes in order of time and marks the
// line that explains the outcome.
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

// maxLineBytes bounds the length of one log line.
const maxLineBytes = 1 << 20

// Explainer collects the log lines of one request. Lines may come from any number of nodes, in any
// order, with a prefix before the JSON object as log collectors add it.
type Explainer struct {
	request    string
	lines      []line
	unreadable int
}

// line is one log line of the request.
type line struct {
	at     time.Time
	event  eelgrasspoint.EventNumber
	fields map[string]any
}

// New returns an explainer for the request with the given identifier.
func New(request string) *Explainer { return &Explainer{request: request} }

// Read adds the request's lines of a log. It skips lines without an opening brace. It counts lines with
// invalid JSON, and lines of the request with an invalid time, as unreadable. It returns an error if the
// log can't be read or a line is longer than maxLineBytes.
func (e *Explainer) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		e.addLine(scanner.Text())
	}
	return scanner.Err()
}

func (e *Explainer) addLine(text string) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		e.unreadable++
		return
	}
	if fields["RequestId"] != e.request {
		return
	}
	number, _ := fields["Number"].(float64)
	at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(fields["Time"]))
	if err != nil {
		e.unreadable++
		return
	}
	e.lines = append(e.lines, line{at: at, event: eelgrasspoint.EventNumber(number), fields: fields})
}

// finalEvents are the events that record the end of a request.
var finalEvents = []eelgrasspoint.EventNumber{
	eelgrasspoint.EventRequestFailed, eelgrasspoint.EventRequestRefused, eelgrasspoint.EventRequestAnswered,
	eelgrasspoint.EventAnswerCutShort, eelgrasspoint.EventHandlerPanicked,
}

// Write prints the request's lines in order of time and marks with > the line that explains the outcome.
// It reports whether there are lines; without them it doesn't print the number of unreadable lines.
func (e *Explainer) Write(w io.Writer) bool {
	if len(e.lines) == 0 {
		fmt.Fprintf(w, "no log lines for request %s\n", e.request)
		return false
	}
	slices.SortStableFunc(e.lines, func(a, b line) int { return a.at.Compare(b.at) })
	deciding := e.decidingIndex()
	for i, l := range e.lines {
		mark := " "
		if i == deciding {
			mark = ">"
		}
		fmt.Fprintf(w, "%s %s %s %s: %s\n", mark, l.at.Format("15:04:05.000"), l.stringField("Node"), l.event, l.stringField("Detail"))
		fmt.Fprintf(w, "    %s\n", l.formatInputs())
	}
	if e.unreadable > 0 {
		fmt.Fprintf(w, "unreadable lines: %d\n", e.unreadable)
	}
	return true
}

// decidingIndex returns the index of the line that explains the outcome: of a failed or refused request the
// last failed attempt, else the last refused attempt, else the line that records the end; of any other
// request the line that records the end. Of several attempts that ended alike, it is the first. If no line records
// the end, it returns 0.
func (e *Explainer) decidingIndex() int {
	end := e.lastIndex(finalEvents...)
	if end < 0 {
		return 0
	}
	switch e.lines[end].event {
	case eelgrasspoint.EventRequestFailed, eelgrasspoint.EventRequestRefused:
	default:
		return end
	}
	attempt := e.lastIndex(eelgrasspoint.EventAttemptFailed)
	if attempt < 0 {
		attempt = e.lastIndex(eelgrasspoint.EventAttemptRefused)
	}
	if attempt >= 0 {
		return e.firstLike(attempt)
	}
	return end
}

// firstLike returns the index of the first line with the event and the detail of the line at the index.
func (e *Explainer) firstLike(index int) int {
	like := e.lines[index]
	return slices.IndexFunc(e.lines, func(l line) bool {
		return l.event == like.event && l.stringField("Detail") == like.stringField("Detail")
	})
}

// lastIndex returns the index of the last line with one of the events, or -1.
func (e *Explainer) lastIndex(events ...eelgrasspoint.EventNumber) int {
	for i := len(e.lines) - 1; i >= 0; i-- {
		if slices.Contains(events, e.lines[i].event) {
			return i
		}
	}
	return -1
}

func (l line) stringField(name string) string {
	text, _ := l.fields[name].(string)
	return text
}

// headerFields are left out of the inputs, because Write prints them in the line above or they don't
// explain a decision.
var headerFields = []string{"Time", "Level", "Node", "Event", "Number", "Detail", "RequestId"}

// formatInputs lists the fields that are not in headerFields, sorted by name.
func (l line) formatInputs() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if !slices.Contains(headerFields, name) {
			parts = append(parts, fmt.Sprintf("%s=%v", name, l.fields[name]))
		}
	}
	return strings.Join(parts, " ")
}
