package messenger

import (
	"context"
	"io"
	"net/http"
	"slices"

	"eelgrasspoint"
)

// sending is a request on one connection.
type sending struct {
	cancel   context.CancelFunc
	response *http.Response
	err      error
}

// without returns the sendings other than s.
func without(all []*sending, s *sending) []*sending {
	return slices.DeleteFunc(all, func(other *sending) bool { return other == s })
}

// choose returns the result of the sending. It cancels the others, whose responses may still arrive at ended.
func (s *sending) choose(others []*sending, ended <-chan *sending) (*http.Response, error) {
	for _, other := range others {
		other.cancel()
	}
	go func() {
		for range others {
			if late := <-ended; late.err == nil {
				late.response.Body.Close()
			}
		}
	}()
	if s.err != nil {
		s.cancel()
		return nil, s.err
	}
	bounded := http.MaxBytesReader(nil, s.response.Body, eelgrasspoint.MaxExchangeAnswerBytes)
	s.response.Body = &body{ReadCloser: bounded, cancel: s.cancel}
	return s.response, nil
}

// body is that of a response whose sending ends with it.
type body struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *body) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
