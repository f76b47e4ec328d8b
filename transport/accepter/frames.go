package accepter

import (
	"slices"
	"time"

	"eelgrasspoint/state/reserver"
)

// Bounds on what a connection that uses HTTP/2 holds. Header blocks are compressed: a byte can stand for a field.
const (
	// blockByteFactor is the memory of a byte of a block.
	blockByteFactor = 128
	// freeBlockBytes is the memory for the heads of a connection, until their handlers run, that is not reserved.
	freeBlockBytes = 256 << 10
	// freeUnreadBytes is the same for the parts of bodies that handlers have not read.
	freeUnreadBytes = 64 << 10
	// maxTrailerBytes bounds the block of the trailers of a request, which are not passed on.
	maxTrailerBytes = 512
	// reserveTime is how long a connection waits for memory that others use.
	reserveTime  = time.Second
	reserveRetry = 2 * time.Millisecond
	// leftoverTime is how long a connection is without streams before its heads without a handler count as dropped.
	leftoverTime = time.Second
)

// frames follows the frames on a connection. It reserves memory for the head of a request before net/http decodes it,
// until the handler of the request begins, which then has the exact cost; and for bodies until they are read.
type frames struct {
	conn            *conn
	read, written   scanner
	admitted        bool
	lastStream      uint32
	inTrailers      bool
	trailers        int
	windowAnnounced bool

	// The lock of the connection guards these.
	// blocks is the memory of each head whose handler has not begun, unread the length of the bodies' unread parts.
	blocks         []int64
	unread         int64
	reservedHeads  int64
	reservedUnread int64
	idleSince      time.Time
}

func newFrames(c *conn) *frames {
	return &frames{conn: c, admitted: c.accepter.addHTTP2(c)}
}

// inspectRead reports whether what was read may be passed on.
func (f *frames) inspectRead(p []byte) bool {
	return f.admitted && f.read.scan(p, f.beginRead)
}

// beginRead handles a frame of the client, and reports whether it may be read.
func (f *frames) beginRead(r frame) bool {
	switch {
	case r.kind == frameData:
		return f.reserveUnread(int64(r.length))
	case r.kind == frameHeaders && r.stream > f.lastStream:
		f.lastStream, f.inTrailers = r.stream, false
		return f.reserveBlock(r.length, true)
	case r.kind == frameHeaders:
		f.inTrailers, f.trailers = true, r.length
		return f.trailers <= maxTrailerBytes
	case r.kind == frameContinuation && f.inTrailers:
		f.trailers += r.length
		return f.trailers <= maxTrailerBytes
	case r.kind == frameContinuation:
		return f.reserveBlock(r.length, false)
	}
	return true
}

// inspectWritten notes how much of the bodies the server's handlers have read: it extends the window of the connection by
// as much. The first extension is a part of the window itself.
func (f *frames) inspectWritten(p []byte) {
	f.written.scan(p, func(w frame) bool {
		if w.kind != frameWindowUpdate || w.stream != 0 {
			return true
		}
		if !f.windowAnnounced {
			f.windowAnnounced = true
			return true
		}
		f.conn.mu.Lock()
		defer f.conn.mu.Unlock()
		f.unread = max(0, f.unread-int64(w.increment))
		f.reservedUnread = shrinkTo(f.conn.accepter.options.Unread, f.reservedUnread, f.unread-freeUnreadBytes)
		return true
	})
}

// reserveBlock reserves memory for a part of a header block, the first one or another. It reports whether there was any
// in time.
func (f *frames) reserveBlock(length int, first bool) bool {
	needed := int64(length) * blockByteFactor
	return f.await(func() bool {
		f.dropLeftovers()
		heads := f.conn.accepter.options.Heads
		if !growTo(heads, &f.reservedHeads, f.total()+needed-freeBlockBytes) {
			return false
		}
		if first || len(f.blocks) == 0 {
			f.blocks = append(f.blocks, 0)
		}
		f.blocks[len(f.blocks)-1] += needed
		return true
	})
}

// reserveUnread reserves memory for a part of a body. It reports whether there was any in time.
func (f *frames) reserveUnread(length int64) bool {
	return f.await(func() bool {
		if !growTo(f.conn.accepter.options.Unread, &f.reservedUnread, f.unread+length-freeUnreadBytes) {
			return false
		}
		f.unread += length
		return true
	})
}

// await calls reserve under the lock until it returns true, for reserveTime at most.
func (f *frames) await(reserve func() bool) bool {
	for deadline := time.Now().Add(reserveTime); ; time.Sleep(reserveRetry) {
		f.conn.mu.Lock()
		closed := f.conn.closed
		done := !closed && reserve()
		f.conn.mu.Unlock()
		if done {
			return true
		}
		if closed || time.Now().After(deadline) {
			return false
		}
	}
}

// beginRequest ends the reservation for one head. Handlers don't tell which one, so the smallest is taken. The caller
// holds the lock.
func (f *frames) beginRequest() {
	if len(f.blocks) == 0 {
		return
	}
	i := slices.Index(f.blocks, slices.Min(f.blocks))
	f.blocks = slices.Delete(f.blocks, i, i+1)
	f.releaseHeads()
}

// dropLeftovers drops the heads that net/http refused without a handler. The caller holds the lock.
func (f *frames) dropLeftovers() {
	if f.idleSince.IsZero() || time.Since(f.idleSince) < leftoverTime {
		return
	}
	f.blocks = f.blocks[:0]
	f.releaseHeads()
}

// releaseHeads releases what is reserved beyond the heads. The caller holds the lock.
func (f *frames) releaseHeads() {
	f.reservedHeads = shrinkTo(f.conn.accepter.options.Heads, f.reservedHeads, f.total()-freeBlockBytes)
}

// setIdle notes whether the connection is without streams. The caller holds the lock.
func (f *frames) setIdle(idle bool) {
	f.idleSince = time.Time{}
	if idle {
		f.idleSince = time.Now()
	}
}

// release releases all that is reserved. The caller holds the lock.
func (f *frames) release() {
	f.reservedHeads = shrinkTo(f.conn.accepter.options.Heads, f.reservedHeads, 0)
	f.reservedUnread = shrinkTo(f.conn.accepter.options.Unread, f.reservedUnread, 0)
}

// total returns the memory of all heads whose handlers have not begun. The caller holds the lock.
func (f *frames) total() int64 {
	var total int64
	for _, block := range f.blocks {
		total += block
	}
	return total
}

// growTo reserves what is missing to the bytes, and reports whether that was possible.
func growTo(memory *reserver.Reserver, reserved *int64, bytes int64) bool {
	missing := bytes - *reserved
	if missing <= 0 {
		return true
	}
	if !memory.Reserve(missing) {
		return false
	}
	*reserved += missing
	return true
}

// shrinkTo releases what is reserved beyond the bytes, and returns what is still reserved.
func shrinkTo(memory *reserver.Reserver, reserved, bytes int64) int64 {
	bytes = max(0, bytes)
	if reserved <= bytes {
		return reserved
	}
	memory.Release(reserved - bytes)
	return bytes
}
