// Package replayer buffers the beginning of a request body, within bounds, so that another attempt can
// read it again.
package replayer

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"eelgrasspoint"
)

// totalReserved is the number of bytes reserved for replay buffers by all requests of the process.
var totalReserved atomic.Int64

// errNotReadable is returned by a read if a later attempt has replaced the reader, if the next bytes were
// read from the source but not buffered, or if the replayer was closed; a shared reader can still read the
// buffered bytes of a closed replayer.
var errNotReadable = errors.New("request body can no longer be read by this attempt")

// Replayer reads a body once from its source and buffers its beginning. It is safe for concurrent use.
type Replayer struct {
	// limit is the longest body in bytes.
	limit int64
	// reserved is the number of bytes of this body in totalReserved.
	reserved atomic.Int64

	// mu guards the fields below. It is held while the source is read, which may take long.
	mu        tryMutex
	source    io.ReadCloser
	buffered  []byte
	bytesRead int64
	// sourceErr is io.EOF after the whole body. Close sets it if it is nil.
	sourceErr error
	current   *reader
}

// New returns a replayer for a body of at most limit bytes. A read beyond the limit fails with BodyTooLarge.
func New(source io.ReadCloser, limit int64) *Replayer {
	return &Replayer{source: source, limit: limit, mu: make(tryMutex, 1)}
}

// BufferAll buffers the whole body, of length bytes, so that its fingerprint can be computed. It reads
// nothing if the length is zero or unknown, or if the body doesn't fit within the bounds of the replay
// buffers. An error means that the source failed or ended early.
func (r *Replayer) BufferAll(length int64) error {
	if length <= 0 || length > eelgrasspoint.MaxReplayBytes {
		return nil
	}
	r.mu.lock()
	defer r.mu.unlock()
	if !r.reserve(length) {
		return nil
	}
	r.buffered = make([]byte, length)
	n, err := io.ReadFull(r.source, r.buffered)
	r.buffered = r.buffered[:n]
	r.bytesRead = int64(n)
	if err != nil {
		return err
	}
	r.sourceErr = io.EOF
	return nil
}

// Buffered returns the buffered beginning of the body. It waits for a read in progress.
func (r *Replayer) Buffered() []byte {
	r.mu.lock()
	defer r.mu.unlock()
	return r.buffered
}

// Replayable reports whether another attempt can read the body from its beginning. It returns false while
// a read is in progress.
func (r *Replayer) Replayable() bool {
	if !r.mu.tryLock() {
		return false
	}
	defer r.mu.unlock()
	return r.bytesRead == int64(len(r.buffered))
}

// Err returns why the source ended early, or nil. It returns nil while a read is in progress.
func (r *Replayer) Err() error {
	if !r.mu.tryLock() {
		return nil
	}
	defer r.mu.unlock()
	if errors.Is(r.sourceErr, io.EOF) {
		return nil
	}
	return r.sourceErr
}

// NewReader returns a reader of the body for a new attempt. It waits for a read in progress. Later reads
// of the previous reader fail.
func (r *Replayer) NewReader() io.ReadCloser {
	r.mu.lock()
	defer r.mu.unlock()
	r.current = &reader{replayer: r}
	return r.current
}

// NewSharedReader returns a reader of the body for an attempt that runs concurrently with others. The whole
// body must be buffered.
func (r *Replayer) NewSharedReader() io.ReadCloser { return &reader{replayer: r, shared: true} }

// Complete reports whether the whole body is buffered.
func (r *Replayer) Complete() bool {
	return r.Replayable() && r.Err() == nil && (r.AtEOF() || r.source == http.NoBody)
}

// AtEOF reports whether the source was read to its end. It returns false while a read is in progress.
func (r *Replayer) AtEOF() bool {
	if !r.mu.tryLock() {
		return false
	}
	defer r.mu.unlock()
	return r.sourceErr == io.EOF
}

// Close releases the reserved bytes and ends the reads of the source. It calls interrupt if a read is in
// progress and waits for the read to end: the source must not be read after the handler of its server has
// returned.
func (r *Replayer) Close(interrupt func()) {
	if !r.mu.tryLock() {
		interrupt()
		r.mu.lock()
	}
	// Released only under the lock: a read in progress may have reserved more bytes.
	totalReserved.Add(-r.reserved.Swap(0))
	r.current = nil
	if r.sourceErr == nil {
		r.sourceErr = errNotReadable
	}
	r.mu.unlock()
}

// reserve reserves n bytes of MaxReplayTotalBytes and reports whether that many were left.
func (r *Replayer) reserve(n int64) bool {
	if totalReserved.Add(n) > eelgrasspoint.MaxReplayTotalBytes {
		totalReserved.Add(-n)
		return false
	}
	r.reserved.Add(n)
	return true
}

// buffer counts bytes that were read from the source, and buffers them if the bounds allow and all earlier
// bytes are buffered.
func (r *Replayer) buffer(b []byte) {
	complete := r.bytesRead == int64(len(r.buffered))
	r.bytesRead += int64(len(b))
	if !complete || len(r.buffered)+len(b) > eelgrasspoint.MaxReplayBytes {
		return
	}
	if r.reserve(int64(len(b))) {
		r.buffered = append(r.buffered, b...)
	}
}

// readSource reads and buffers the next bytes of the source; more than limit bytes are an error. The caller
// holds the lock, so that the bytes of the source aren't divided between two attempts.
func (r *Replayer) readSource(b []byte) (int, error) {
	if r.sourceErr != nil {
		return 0, r.sourceErr
	}
	n, err := r.source.Read(b)
	r.buffer(b[:n])
	if r.bytesRead > r.limit {
		err = eelgrasspoint.Refuse(eelgrasspoint.BodyTooLarge, "")
	}
	r.sourceErr = err
	return n, err
}

// tryMutex is a mutex with a try operation. It is a channel of capacity 1.
type tryMutex chan struct{}

func (m tryMutex) lock()   { m <- struct{}{} }
func (m tryMutex) unlock() { <-m }

func (m tryMutex) tryLock() bool {
	select {
	case m <- struct{}{}:
		return true
	default:
		return false
	}
}

// reader reads the buffer first and then the source.
type reader struct {
	replayer *Replayer
	shared   bool
	offset   int
}

func (rd *reader) Read(b []byte) (int, error) {
	r := rd.replayer
	r.mu.lock()
	defer r.mu.unlock()
	if !rd.shared && r.current != rd {
		return 0, errNotReadable
	}
	if rd.offset < len(r.buffered) {
		n := copy(b, r.buffered[rd.offset:])
		rd.offset += n
		return n, nil
	}
	if int64(rd.offset) != r.bytesRead {
		return 0, errNotReadable
	}
	n, err := r.readSource(b)
	rd.offset += n
	return n, err
}

// Close implements io.Closer. The source belongs to the server, which closes it.
func (rd *reader) Close() error { return nil }
