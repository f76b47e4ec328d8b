package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"eelgrasspoint"
)

// bufferBody buffers the body for replay. It waits for a silent caller until the request's deadline.
func (p *proxiedRequest) bufferBody(ctx context.Context) *eelgrasspoint.OutcomeError {
	ctx, cancel := context.WithDeadline(ctx, p.meta.Deadline)
	defer cancel()
	defer p.interruptAfter(ctx)()
	err := p.body.BufferAll(p.request.ContentLength)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return eelgrasspoint.Refuse(eelgrasspoint.NotSentReason(ctx), err.Error())
	default:
		return eelgrasspoint.Refuse(eelgrasspoint.BodyCutShort, err.Error())
	}
}

// interruptAfter interrupts a read of the caller's body once ctx ends, until the returned function is called.
func (p *proxiedRequest) interruptAfter(ctx context.Context) (release func()) {
	if p.body.Complete() {
		return func() {}
	}
	return p.interrupter.After(ctx)
}

// prefetch buffers the first MaxPrefetchBytes of an answer before any of it is relayed, so that the
// request can still be sent elsewhere if reading the answer fails. Event streams, answers known to be
// longer, answers to HEAD and answers beyond MaxPrefetchTotalBytes are not buffered.
func (p *proxiedRequest) prefetch(answer *eelgrasspoint.Answer) error {
	response := answer.Response
	stream := eelgrasspoint.IsEventStream(response.Header)
	if stream || response.ContentLength > eelgrasspoint.MaxPrefetchBytes || p.request.Method == http.MethodHead {
		return nil
	}
	expected := response.ContentLength
	if expected < 0 {
		expected = eelgrasspoint.MaxPrefetchBytes
	}
	body := &prefetchedBody{body: response.Body, prefetched: &p.forwarder.prefetched}
	if !body.reserve(expected) {
		return nil
	}
	prefix, err := io.ReadAll(io.LimitReader(response.Body, eelgrasspoint.MaxPrefetchBytes))
	if err != nil {
		body.Close()
		return err
	}
	body.release(expected - int64(len(prefix)))
	body.Reader = io.MultiReader(bytes.NewReader(prefix), response.Body)
	response.Body = body
	return nil
}

// prefetchedBody reads the buffered prefix of a body and then the rest of it. Close releases the bytes that
// are reserved for the prefix.
type prefetchedBody struct {
	io.Reader
	body io.Closer
	// prefetched counts the bytes that are reserved by all answers.
	prefetched *atomic.Int64
	reserved   int64
}

// reserve reserves n bytes of MaxPrefetchTotalBytes and reports whether that many were left.
func (b *prefetchedBody) reserve(n int64) bool {
	if b.prefetched.Add(n) > eelgrasspoint.MaxPrefetchTotalBytes {
		b.prefetched.Add(-n)
		return false
	}
	b.reserved = n
	return true
}

func (b *prefetchedBody) release(n int64) {
	b.reserved -= n
	b.prefetched.Add(-n)
}

// Close implements io.Closer.
func (b *prefetchedBody) Close() error {
	b.release(b.reserved)
	return b.body.Close()
}

// setConnectionClose marks the caller's HTTP/1.1 connection to be closed if the node is stopping, or if the
// request body is not fully read: net/http can't safely read the next request from the connection then.
func (p *proxiedRequest) setConnectionClose(header http.Header) {
	if p.request.ProtoMajor == 1 && (p.bodyUnread() || p.forwarder.Stopping()) {
		header["Connection"] = []string{"close"}
	}
}

func (p *proxiedRequest) bodyUnread() bool {
	return p.request.ContentLength != 0 && !p.body.AtEOF()
}

// resetOldCaller resets the connection of a caller that uses HTTP/1.0 and whose answer was cut short: such a
// caller takes the end of the connection for the end of an answer without a length.
func (p *proxiedRequest) resetOldCaller(w http.ResponseWriter) {
	if p.request.ProtoAtLeast(1, 1) {
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// countedBody charges what is read to the link budget. Close ends the attempt in the candidate's
// count of requests in flight.
type countedBody struct {
	io.ReadCloser
	proxied   *proxiedRequest
	candidate *eelgrasspoint.Candidate
	start     time.Time
	closed    bool
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.proxied.chargeLink(b.candidate, int64(n))
	return n, err
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	if !b.closed {
		b.closed = true
		b.candidate.Gauge.End(b.start)
	}
	return b.ReadCloser.Close()
}
