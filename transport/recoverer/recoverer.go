// Package recoverer recovers from panics in the handlers of requests.
package recoverer

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"eelgrasspoint"
)

// Recoverer is an http.Handler that records a panic of the handler that it wraps.
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
}

// New returns a recoverer that wraps the handler.
func New(options Options, handler http.Handler) *Recoverer {
	return &Recoverer{options: options, handler: handler}
}

// ServeHTTP implements http.Handler. A panic with http.ErrAbortHandler passes unrecorded: the handler that
// aborts its answer records why.
func (r *Recoverer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if cause != http.ErrAbortHandler {
			r.record(request, cause)
		}
		panic(http.ErrAbortHandler)
	}()
	r.handler.ServeHTTP(w, request)
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
