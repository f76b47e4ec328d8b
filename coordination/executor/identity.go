package executor

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"eelgrasspoint"
	"eelgrasspoint/coordination/fingerprinter"
	"eelgrasspoint/coordination/quarantiner"
)

// identity tells a request from others at crashes. The fingerprint of one with an open body is known once the whole body
// was read.
type identity struct {
	// head is the hash of the request's head.
	head uint64

	mu    sync.Mutex
	whole uint64
	known bool
	// reserved is the number of bytes of the body in heldTotal, and released is set once no more are reserved.
	reserved int64
	released bool
}

// heldTotal is the number of bytes of the bodies that are held by all requests of the process.
var heldTotal atomic.Int64

// fingerprint returns the fingerprint of the request, and whether it is known.
func (i *identity) fingerprint() (uint64, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.whole, i.known
}

func (i *identity) setFingerprint(fingerprint uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.whole, i.known = fingerprint, true
}

// reserve reserves n bytes of MaxHeldTotalBytes and reports whether that many were left.
func (i *identity) reserve(n int64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.released || i.reserved+n > eelgrasspoint.MaxHeldBodyBytes {
		return false
	}
	if heldTotal.Add(n) > eelgrasspoint.MaxHeldTotalBytes {
		heldTotal.Add(-n)
		return false
	}
	i.reserved += n
	return true
}

// release releases what the request holds.
func (i *identity) release() {
	i.mu.Lock()
	defer i.mu.Unlock()
	heldTotal.Add(-i.reserved)
	i.reserved, i.released = 0, true
}

// identify returns the attempt with a body that is identified while it is read. If a request with the same head was in flight
// at a crash, the body is read before the request runs, as far as it can be held; of a longer one, the last part is held back
// until the whole is known not to be quarantined.
func (e *Executor) identify(ctx context.Context, attempt *eelgrasspoint.Attempt) (*eelgrasspoint.Attempt, *identity, error) {
	id := &identity{head: fingerprinter.Head(attempt.Method, attempt.Host, attempt.Target, attempt.Meta.Client, attempt.Header.Get("Idempotency-Key"))}
	if !attempt.Meta.BodyOpen {
		id.setFingerprint(attempt.Meta.Fingerprint)
		return attempt, id, nil
	}
	identified := *attempt
	body := &identifiedBody{source: attempt.Body, left: attempt.Length, identity: id, fingerprinter: fingerprinter.New(id.head)}
	identified.Body = body
	if !e.options.Quarantiner.NeedsFingerprint(id.head) {
		return &identified, id, nil
	}
	held, err := holdBody(ctx, body)
	if err != nil {
		id.release()
		return nil, nil, err
	}
	rest := io.Reader(body)
	if fingerprint, known := id.fingerprint(); known {
		identified.Meta.Fingerprint, identified.Meta.BodyOpen = fingerprint, false
	} else {
		rest = &withheldBody{source: body, check: func() error { return e.checkFingerprint(id) }}
	}
	identified.Body = &heldBody{Reader: io.MultiReader(bytes.NewReader(held), rest), source: body}
	return &identified, id, nil
}

// checkFingerprint returns an error if the request is quarantined.
func (e *Executor) checkFingerprint(id *identity) error {
	fingerprint, known := id.fingerprint()
	if known && e.options.Quarantiner.Status(fingerprint) == quarantiner.Quarantined {
		return &quarantinedBodyError{}
	}
	return nil
}

// quarantinedBodyError ends a request whose body turned out to be that of a quarantined one after a part of it was sent.
type quarantinedBodyError struct{}

func (*quarantinedBodyError) Error() string { return "the request is quarantined" }

// holdPartBytes is the size of the parts in which a body is read to hold it, and of the part that is held back.
const holdPartBytes = 32 << 10

// holdBody reads the body to its end, or as far as it can be held, unless ctx ends before that.
func holdBody(ctx context.Context, body *identifiedBody) ([]byte, error) {
	type result struct {
		held []byte
		err  error
	}
	read := make(chan result, 1)
	go func() {
		held, err := readHeld(body)
		read <- result{held, err}
	}()
	select {
	case r := <-read:
		if r.err != nil {
			return nil, eelgrasspoint.Refuse(eelgrasspoint.BodyCutShort, r.err.Error())
		}
		return r.held, nil
	case <-ctx.Done():
		// The read ends with the caller's request.
		return nil, eelgrasspoint.Refuse(eelgrasspoint.NotSentReason(ctx), "the body did not arrive in time")
	}
}

func readHeld(body *identifiedBody) ([]byte, error) {
	var held []byte
	for body.identity.reserve(holdPartBytes) {
		part, err := readPart(body)
		held = append(held, part...)
		switch {
		case errors.Is(err, io.EOF):
			return held, body.endError()
		case err != nil:
			return nil, err
		}
	}
	return held, nil
}

// readPart reads holdPartBytes, or less if the error says why. Unlike io.ReadFull, it returns the error of the source: a body
// that was cut short is no complete one.
func readPart(source io.Reader) ([]byte, error) {
	part := make([]byte, holdPartBytes)
	read := 0
	for read < len(part) {
		n, err := source.Read(part[read:])
		read += n
		if err != nil {
			return part[:read], err
		}
	}
	return part, nil
}

// identifiedBody computes the fingerprint of a request while its body is read.
type identifiedBody struct {
	source io.ReadCloser
	// left is the number of bytes that are to come, negative if it is unknown.
	left          int64
	identity      *identity
	fingerprinter *fingerprinter.Fingerprinter
}

// Read implements io.Reader.
func (b *identifiedBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	_, _ = b.fingerprinter.Write(p[:n])
	if b.left > 0 {
		b.left = max(0, b.left-int64(n))
	}
	if b.left == 0 || errors.Is(err, io.EOF) && b.left < 0 {
		b.identity.setFingerprint(b.fingerprinter.Sum())
	}
	return n, err
}

// endError returns an error if the body ended before its length.
func (b *identifiedBody) endError() error {
	if b.left > 0 {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// Close implements io.Closer.
func (b *identifiedBody) Close() error { return b.source.Close() }

// heldBody reads what is held of a body, and then the rest.
type heldBody struct {
	io.Reader
	source io.Closer
}

// Close implements io.Closer.
func (b *heldBody) Close() error { return b.source.Close() }

// withheldBody holds back the last part that it has read, until the end of the body is known and the check has passed.
type withheldBody struct {
	source io.Reader
	check  func() error
	// ready is what may be read, withheld the part after that, and end the error after that part.
	ready, withheld []byte
	end             error
}

// Read implements io.Reader.
func (b *withheldBody) Read(p []byte) (int, error) {
	for len(b.ready) == 0 {
		if b.end != nil {
			return 0, b.end
		}
		b.advance()
	}
	n := copy(p, b.ready)
	b.ready = b.ready[n:]
	return n, nil
}

// advance reads the next part, and makes the one before ready.
func (b *withheldBody) advance() {
	part := make([]byte, holdPartBytes)
	n, err := b.source.Read(part)
	if err == nil {
		if n > 0 {
			b.ready, b.withheld = b.withheld, part[:n]
		}
		return
	}
	b.end = err
	if !errors.Is(err, io.EOF) {
		return
	}
	if checkErr := b.check(); checkErr != nil {
		b.end = checkErr
		return
	}
	b.ready = append(b.withheld, part[:n]...)
	b.withheld = nil
}
