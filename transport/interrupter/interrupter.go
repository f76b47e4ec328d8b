// Package interrupter interrupts reads of the body of a request that a server handles.
package interrupter

import (
	"context"
	"net/http"
	"time"
)

// longAgo is a read deadline that interrupts a read in progress.
var longAgo = time.Unix(1, 0)

// Interrupter interrupts the reads of one request's body. It must not be used once the handler has returned.
type Interrupter struct{ controller *http.ResponseController }

// New returns an interrupter of the request that w answers.
func New(w http.ResponseWriter) *Interrupter {
	return &Interrupter{controller: http.NewResponseController(w)}
}

// Interrupt ends the read in progress, if any, and the later ones with os.ErrDeadlineExceeded.
func (i *Interrupter) Interrupt() { _ = i.controller.SetReadDeadline(longAgo) }

// After calls Interrupt when ctx ends, until the returned function is called.
func (i *Interrupter) After(ctx context.Context) (release func()) {
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		i.Interrupt()
	})
	return func() {
		if !stop() {
			<-done
		}
	}
}
