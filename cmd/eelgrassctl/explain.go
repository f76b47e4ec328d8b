package main

import (
	"context"
	"io"
	"os"

	"eelgrasspoint/cmd/eelgrassctl/explainer"
)

// explain prints what collected logs say of one request.
func (s *session) explain(context.Context) int {
	e := explainer.New(s.options.object)
	if err := s.readLogs(e); err != nil {
		return s.fail(err)
	}
	if !e.Write(s.out) {
		return exitFailed
	}
	return exitDone
}

// readLogs reads the file of the options, or the standard input.
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
