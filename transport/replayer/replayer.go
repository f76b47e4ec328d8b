// Package replayer lets a request body be read again by a later attempt, within a bound.
package replayer

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"eelgrasspoint"
)

// total counts the bytes held for replay by all requests of the process.
var total atomic.Int64

// errDetached ends the reads of an attempt that was given up.
var errDetached = errors.New("the attempt was given up")

// Replayer reads a body once and keeps its beginning. It is safe for concurrent use.
type Replayer struct {
	limit    int64
	reserved atomic.Int64

	// turn guards what follows. It is held while the source is read, which may take long.
	turn     turn
	source   io.ReadCloser
	kept     []byte
	consumed int64
	ended    error
	current  *reader
}

// New returns a replayer of a body that may have at most limit bytes.
func New(source io.ReadCloser, limit int64) *Replayer {
	return &Replayer{source: source, limit: limit, turn: make(turn, 1)}
}

// Prefetch reads the whole of a body with the length into memory, if the bound allows, so that its
// fingerprint is known.
func (p *Replayer) Prefetch(length int64) error {
	if length <= 0 || length > eelgrasspoint.MaxReplayBytes {
		return nil
	}
	p.turn.take()
	defer p.turn.give()
	if !p.reserve(length) {
		return nil
	}
	p.kept = make([]byte, length)
	n, err := io.ReadFull(p.source, p.kept)
	p.kept = p.kept[:n]
	p.consumed = int64(n)
	if err != nil {
		return err
	}
	p.ended = io.EOF
	return nil
}

// Buffered returns the part of the body that was read and buffered from its beginning.
func (p *Replayer) Buffered() []byte {
	p.turn.take()
	defer p.turn.give()
	return p.kept
}

// Replayable reports whether another attempt can read the body from its beginning. It does
// not wait for a read that is under way.
func (p *Replayer) Replayable() bool {
	if !p.turn.try() {
		return false
	}
	defer p.turn.give()
	return p.consumed == int64(len(p.kept))
}

// Err returns why the source ended early, or nil.
func (p *Replayer) Err() error {
	if !p.turn.try() {
		return nil
	}
	defer p.turn.give()
	if errors.Is(p.ended, io.EOF) {
		return nil
	}
	return p.ended
}

// NewReader returns a reader of the body for a new attempt; reads of the previous one fail.
func (p *Replayer) NewReader() io.ReadCloser {
	p.turn.take()
	defer p.turn.give()
	p.current = &reader{replayer: p}
	return p.current
}

// NewSharedReader returns a reader for an attempt that runs concurrently with others. The whole
// body must be buffered.
func (p *Replayer) NewSharedReader() io.ReadCloser { return &reader{replayer: p, shared: true} }

// Complete reports whether the whole body is buffered.
func (p *Replayer) Complete() bool {
	return p.Replayable() && p.Err() == nil && (p.AtEOF() || p.source == http.NoBody)
}

// AtEOF reports whether the source was read to its end.
func (p *Replayer) AtEOF() bool {
	if !p.turn.try() {
		return false
	}
	defer p.turn.give()
	return p.ended == io.EOF
}

// Close gives up what was kept. A read that is under way is interrupted and waited for: the
// source may not be read after its server's handler has returned.
func (p *Replayer) Close(interrupt func()) {
	if !p.turn.try() {
		interrupt()
		p.turn.take()
	}
	// Only now: the read that was under way may have reserved more.
	total.Add(-p.reserved.Swap(0))
	p.current = nil
	if p.ended == nil {
		p.ended = errDetached
	}
	p.turn.give()
}

// reserve takes the bytes from the bound of the process.
func (p *Replayer) reserve(n int64) bool {
	if total.Add(n) > eelgrasspoint.MaxReplayTotalBytes {
		total.Add(-n)
		return false
	}
	p.reserved.Add(n)
	return true
}

// keep appends what was read while the bounds allow and nothing before it was lost.
func (p *Replayer) keep(b []byte) {
	whole := p.consumed == int64(len(p.kept))
	p.consumed += int64(len(b))
	if !whole || len(p.kept)+len(b) > eelgrasspoint.MaxReplayBytes {
		return
	}
	if p.reserve(int64(len(b))) {
		p.kept = append(p.kept, b...)
	}
}

// pull reads from the source with the lock held, so that two attempts never share a byte.
func (p *Replayer) pull(b []byte) (int, error) {
	if p.ended != nil {
		return 0, p.ended
	}
	n, err := p.source.Read(b)
	p.keep(b[:n])
	if p.consumed > p.limit {
		err = eelgrasspoint.Refuse(eelgrasspoint.BodyTooLarge, "")
	}
	p.ended = err
	return n, err
}

// turn is a lock that can be tried.
type turn chan struct{}

func (t turn) take() { t <- struct{}{} }
func (t turn) give() { <-t }

func (t turn) try() bool {
	select {
	case t <- struct{}{}:
		return true
	default:
		return false
	}
}

type reader struct {
	replayer *Replayer
	shared   bool
	offset   int
}

func (r *reader) Read(b []byte) (int, error) {
	p := r.replayer
	p.turn.take()
	defer p.turn.give()
	if !r.shared && p.current != r {
		return 0, errDetached
	}
	if r.offset < len(p.kept) {
		n := copy(b, p.kept[r.offset:])
		r.offset += n
		return n, nil
	}
	if int64(r.offset) != p.consumed {
		return 0, errDetached
	}
	n, err := p.pull(b)
	r.offset += n
	return n, err
}

// Close implements io.Closer. The source belongs to the server, which closes it.
func (r *reader) Close() error { return nil }
