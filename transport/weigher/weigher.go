// Package weigher bounds the memory that the heads of answers use.
package weigher

import (
	"context"
	"io"
	"sync"

	"eelgrasspoint"
	"eelgrasspoint/state/reserver"
)

// Weigher is a RoundTripper that reserves memory for the head of each answer until its body is closed.
type Weigher struct {
	next   eelgrasspoint.RoundTripper
	memory *reserver.Reserver
}

var _ eelgrasspoint.RoundTripper = (*Weigher)(nil)

// FreeHeadBytes is the memory for the head of an answer that is not reserved, so that answers of an ordinary length are
// relayed whatever others send.
const FreeHeadBytes = 32 << 10

// New returns a weigher of the answers of next.
func New(next eelgrasspoint.RoundTripper, memory *reserver.Reserver) *Weigher {
	return &Weigher{next: next, memory: memory}
}

// RoundTrip implements eelgrasspoint.RoundTripper. An answer for whose head no memory is left is dropped.
func (w *Weigher) RoundTrip(ctx context.Context, candidate *eelgrasspoint.Candidate, attempt *eelgrasspoint.Attempt) (*eelgrasspoint.Answer, error) {
	answer, err := w.next.RoundTrip(ctx, candidate, attempt)
	if err != nil {
		return answer, err
	}
	needed := reserver.HeaderBytes(answer.Response.Header) - FreeHeadBytes
	if needed <= 0 {
		return answer, nil
	}
	if !w.memory.Reserve(needed) {
		answer.Response.Body.Close()
		return nil, &eelgrasspoint.OutcomeError{
			Outcome: eelgrasspoint.MayHaveRun, Reason: eelgrasspoint.BadAnswer, Detail: "no memory is left for the head of the answer",
		}
	}
	answer.Response.Body = &weighedBody{ReadCloser: answer.Response.Body, release: sync.OnceFunc(func() { w.memory.Release(needed) })}
	return answer, nil
}

// weighedBody releases the memory for the head of its answer when it is closed.
type weighedBody struct {
	io.ReadCloser
	release func()
}

// Close implements io.Closer.
func (b *weighedBody) Close() error {
	defer b.release()
	return b.ReadCloser.Close()
}
