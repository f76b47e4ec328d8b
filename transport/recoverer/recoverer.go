// Package recoverer recovers from panics in the handlers of requests.
package recoverer

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"eelgrasspoint"
)

// Recoverer is an http.Handler that records a panic of the handler that it wraps, and answers the request.
type Recoverer struct {
	options Options
	handler http.Handler
}

// Options are the dependencies of a Recoverer.
type Options struct {
	// Server is the name of the server in events and metrics.
	Server   string
	Recorder eelgrasspoint.Recorder
	// Count is called with the name of the server for each panic.
	Count func(server string)
	// RequestID returns the identifier of a request, or "".
	RequestID func(r *http.Request) string
	// Respond writes the answer to a request whose handler panicked. The request may have run.
	Respond func(w http.ResponseWriter, requestID string)
}

// New returns a recoverer that wraps the handler.
func New(options Options, handler http.Handler) *Recoverer {
	return &Recoverer{options: options, handler: handler}
}

// ServeHTTP implements http.Handler. A panic with http.ErrAbortHandler passes unrecorded: the handler that
// aborts its answer records why. An answer that has begun is aborted, too.
func (r *Recoverer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	tracked := &trackedWriter{ResponseWriter: w}
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if cause == http.ErrAbortHandler {
			panic(cause)
		}
		r.record(request, cause)
		if tracked.begun {
			panic(http.ErrAbortHandler)
		}
		r.respond(w, request)
	}()
	r.handler.ServeHTTP(tracked, request)
}

// respond answers a request on a connection that is closed afterwards, since its body may be unread.
func (r *Recoverer) respond(w http.ResponseWriter, request *http.Request) {
	clear(w.Header())
	if request.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	r.options.Respond(w, r.options.RequestID(request))
}

// trackedWriter notes whether an answer has begun.
type trackedWriter struct {
	http.ResponseWriter
	begun bool
}

// Unwrap is called by http.ResponseController.
func (t *trackedWriter) Unwrap() http.ResponseWriter { return t.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (t *trackedWriter) WriteHeader(status int) {
	t.begun = t.begun || status >= http.StatusOK
	t.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (t *trackedWriter) Write(p []byte) (int, error) {
	t.begun = true
	return t.ResponseWriter.Write(p)
}

// maxStackBytes bounds the stack in an event.
const maxStackBytes = 4 << 10

func (r *Recoverer) record(request *http.Request, cause any) {
	r.options.Count(r.options.Server)
	stack := debug.Stack()
	r.options.Recorder.Record(eelgrasspoint.Event{
		Number:    eelgrasspoint.EventHandlerPanicked,
		RequestID: r.options.RequestID(request),
		Detail:    fmt.Sprint(cause),
		Inputs: []eelgrasspoint.Input{
			{Name: "Server", Value: r.options.Server},
			{Name: "Stack", Value: string(stack[:min(len(stack), maxStackBytes)])},
		},
	})
}
