// Package restricter bounds the requests that a server handles at once, and the memory that their heads and bodies use.
package restricter

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"eelgrasspoint/state/reserver"
	"eelgrasspoint/transport/accepter"
)

// Restricter is an http.Handler that refuses requests above its limits, before the handler that it wraps begins.
type Restricter struct {
	options Options
	handler http.Handler
	streams atomic.Int64
}

// Options are the limits of a Restricter.
type Options struct {
	// MaxStreams is the maximum number of requests over HTTP/2. In HTTP/1, each has a connection.
	MaxStreams int64
	// Bodies is the memory for the bodies of requests whose handlers keep them whole, as far as one is longer than
	// FreeBodyBytes; nil if they don't.
	Bodies *reserver.Reserver
	// BodyTime is how long a body may take; zero means without a bound.
	BodyTime time.Duration
	// Refuse answers a request that has not run.
	Refuse func(w http.ResponseWriter, r *http.Request)
}

// FreeBodyBytes is the memory for the body of a request that is not reserved.
const FreeBodyBytes = 8 << 10

// New returns a restricter that wraps the handler.
func New(options Options, handler http.Handler) *Restricter {
	return &Restricter{options: options, handler: handler}
}

// ServeHTTP implements http.Handler.
func (s *Restricter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor > 1 {
		defer s.streams.Add(-1)
		if s.streams.Add(1) > s.options.MaxStreams {
			s.options.Refuse(w, r)
			return
		}
	}
	end, ok := accepter.BeginRequest(r.Context(), headCost(r))
	if !ok {
		s.options.Refuse(w, r)
		return
	}
	defer end()
	// Without a body, net/http reads already, in order to notice that the client leaves.
	if s.options.BodyTime > 0 && r.Body != http.NoBody {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.options.BodyTime))
	}
	if s.options.Bodies != nil {
		body := &reservedBody{ReadCloser: r.Body, memory: s.options.Bodies, left: FreeBodyBytes}
		defer body.release()
		r.Body = body
	}
	s.handler.ServeHTTP(w, r)
}

// byteFactor is for the copies of a head, and for a reader that grows its buffer and holds it twice for a moment.
const byteFactor = 2

// headCost returns the memory that the head of a request uses.
func headCost(r *http.Request) int64 {
	return int64(len(r.RequestURI))*byteFactor + reserver.HeaderBytes(r.Header)
}

// errNoMemory is the error of a body for which no memory is left.
var errNoMemory = errors.New("no memory is left for the body of the request")

// reservedBody is a body whose bytes are reserved as they are read.
type reservedBody struct {
	io.ReadCloser
	memory *reserver.Reserver
	// left is the part of FreeBodyBytes that is not used.
	left     int64
	reserved int64
}

// Read implements io.Reader.
func (b *reservedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	free := min(b.left, int64(n))
	b.left -= free
	needed := int64(n) - free
	if needed == 0 {
		return n, err
	}
	needed *= byteFactor
	if !b.memory.Reserve(needed) {
		return 0, errNoMemory
	}
	b.reserved += needed
	return n, err
}

func (b *reservedBody) release() { b.memory.Release(b.reserved) }
