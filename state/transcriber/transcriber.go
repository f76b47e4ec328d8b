// Package transcriber records the lines that the standard library logs as text.
package transcriber

import (
	"log"
	"strings"

	"eelgrasspoint"
)

// Transcriber is an io.Writer that records each line as an EventServerError.
type Transcriber struct {
	recorder eelgrasspoint.Recorder
	// source is what logs the lines, such as the name of a server.
	source string
}

// New returns a transcriber of the lines of a source.
func New(recorder eelgrasspoint.Recorder, source string) *Transcriber {
	return &Transcriber{recorder: recorder, source: source}
}

// NewLogger returns a logger of the standard library whose lines are recorded, for http.Server.ErrorLog.
func NewLogger(recorder eelgrasspoint.Recorder, source string) *log.Logger {
	return log.New(New(recorder, source), "", 0)
}

// Write implements io.Writer.
func (t *Transcriber) Write(line []byte) (int, error) {
	t.recorder.Record(eelgrasspoint.Event{
		Number: eelgrasspoint.EventServerError,
		Detail: strings.TrimSuffix(string(line), "\n"),
		Inputs: []eelgrasspoint.Input{{Name: "Source", Value: t.source}},
	})
	return len(line), nil
}
