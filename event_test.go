package eelgrasspoint_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
)

// TestEventCatalogue guards against an event that docs/EVENTS.md lacks, misnames or has out of order.
func TestEventCatalogue(t *testing.T) {
	page, err := os.ReadFile("docs/EVENTS.md")
	assert.NilError(t, err)
	number := eelgrasspoint.EventNodeStarted
	for line := range strings.Lines(string(page)) {
		if !strings.HasPrefix(line, fmt.Sprintf("| %d | %s |", number, number)) {
			continue
		}
		// A row of six columns has seven bars.
		assert.Equal(t, strings.Count(line, "|"), 7, line)
		number++
	}
	// Numbers that are not events have no name.
	assert.Equal(t, number.String(), fmt.Sprintf("EventNumber(%d)", number), "docs/EVENTS.md has no line for event %d in order", number)
}

// TestParseNames checks that ParseReason and ParseOutcome recognize the names that nodes send to each
// other.
func TestParseNames(t *testing.T) {
	// The name after the last reason is that of their number.
	for r := eelgrasspoint.NoReason; r.String() != "reasonCount"; r++ {
		assert.Equal(t, eelgrasspoint.ParseReason(r.String()), r)
	}
	for o := eelgrasspoint.Answered; o <= eelgrasspoint.MayHaveRun; o++ {
		got, ok := eelgrasspoint.ParseOutcome(o.String())
		assert.Assert(t, ok)
		assert.Equal(t, got, o)
	}
	_, ok := eelgrasspoint.ParseOutcome("Perhaps")
	assert.Assert(t, !ok)
}

// TestStatusOfOutcomes checks the HTTP statuses that callers rely on.
func TestStatusOfOutcomes(t *testing.T) {
	cases := []struct {
		outcome eelgrasspoint.Outcome
		reason  eelgrasspoint.Reason
		status  int
	}{
		{eelgrasspoint.NotRun, eelgrasspoint.Overloaded, 503},
		{eelgrasspoint.NotRun, eelgrasspoint.NoServer, 503},
		{eelgrasspoint.NotRun, eelgrasspoint.NoRoute, 404},
		{eelgrasspoint.NotRun, eelgrasspoint.WrongRegion, 421},
		{eelgrasspoint.NotRun, eelgrasspoint.BadHeader, 400},
		{eelgrasspoint.NotRun, eelgrasspoint.BodyTooLarge, 413},
		{eelgrasspoint.NotRun, eelgrasspoint.TooDeep, 508},
		{eelgrasspoint.MayHaveRun, eelgrasspoint.ConnectionLost, 502},
		{eelgrasspoint.MayHaveRun, eelgrasspoint.TimedOut, 504},
	}
	for _, c := range cases {
		assert.Equal(t, eelgrasspoint.Status(c.outcome, c.reason), c.status, "%v %v", c.outcome, c.reason)
	}
}
