package transcriber_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/state/transcriber"
)

// eventList keeps what is recorded.
type eventList struct{ events []eelgrasspoint.Event }

func (l *eventList) Record(event eelgrasspoint.Event) { l.events = append(l.events, event) }

// TestLoggedLineIsRecorded guards against errors of net/http that appear only as text on standard error.
func TestLoggedLineIsRecorded(t *testing.T) {
	list := &eventList{}
	transcriber.NewLogger(list, "peers").Printf("http2: server: error reading preface from client %s: EOF", "10.0.0.1:1")
	assert.DeepEqual(t, list.events, []eelgrasspoint.Event{{
		Number: eelgrasspoint.EventServerError,
		Detail: "http2: server: error reading preface from client 10.0.0.1:1: EOF",
		Inputs: []eelgrasspoint.Input{{Name: "Source", Value: "peers"}},
	}})
}
