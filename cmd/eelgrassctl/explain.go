package main

import (
	"context"
	"io"
	"os"

	"eelgrasspoint/cmd/eelgrassctl/explainer"
)

// explain prints the log lines of one request and marks the line that explains its outcome.
func (s *session) explain(context.Context) int {
	e := explainer.New(s.options.object)
	if err := s.readLogs(e); err != nil {
		return s.fail(err)
	}
	if !e.Write(s.out) {
		return exitFailed
	}
	return exitOK
}

// readLogs reads the log lines from --file, or from standard input without it.
func (s *session) readLogs(e *explainer.Explainer) error {
	var log io.Reader = os.Stdin
	if s.options.file != "" {
		file, err := os.Open(s.options.file)
		if err != nil {
			return err
		}
		defer file.Close()
		log = file
	}
	return e.Read(log)
}
