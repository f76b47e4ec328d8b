package replayer_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/transport/replayer"
)

func newBody(n int) io.ReadCloser { return io.NopCloser(bytes.NewReader(bytes.Repeat([]byte("x"), n))) }

// TestBufferedBodyIsReplayable checks that three attempts each read the whole of a buffered body.
func TestBufferedBodyIsReplayable(t *testing.T) {
	r := replayer.New(newBody(1000), 1<<20)
	assert.NilError(t, r.BufferAll(1000))
	for range 3 {
		data, err := io.ReadAll(r.NewReader())
		assert.NilError(t, err)
		assert.Equal(t, len(data), 1000)
		assert.Assert(t, r.Replayable() && r.Complete())
	}
	r.Close(func() {})
}

// TestLongBodyIsReplayableWithinBound checks that a second attempt reads a body whose beginning is buffered, and
// that the reader of the first attempt then fails. Once more than MaxReplayBytes were read, no attempt can read
// the body again.
func TestLongBodyIsReplayableWithinBound(t *testing.T) {
	r := replayer.New(newBody(1<<20), 2<<20)
	first := r.NewReader()
	_, err := io.ReadFull(first, make([]byte, 1000))
	assert.NilError(t, err)
	assert.Assert(t, r.Replayable())
	second := r.NewReader()
	_, err = first.Read(make([]byte, 10))
	assert.ErrorContains(t, err, "can no longer be read")
	data, err := io.ReadAll(second)
	assert.NilError(t, err)
	assert.Equal(t, len(data), 1<<20)
	assert.Assert(t, !r.Replayable(), "still replayable after more than the bound was read")
	_, err = io.ReadAll(r.NewReader())
	assert.ErrorContains(t, err, "can no longer be read")
	r.Close(func() {})
}

// TestBodyOverLimit checks that a body longer than the limit is refused.
func TestBodyOverLimit(t *testing.T) {
	r := replayer.New(newBody(5000), 4096)
	_, err := io.ReadAll(r.NewReader())
	assert.Equal(t, eelgrasspoint.AsOutcome(err).Reason, eelgrasspoint.BodyTooLarge)
	r.Close(func() {})
}

// TestBufferAllOfTruncatedBody checks that BufferAll fails if the body ends before the announced length.
func TestBufferAllOfTruncatedBody(t *testing.T) {
	r := replayer.New(io.NopCloser(strings.NewReader("half")), 1<<20)
	assert.ErrorIs(t, r.BufferAll(8), io.ErrUnexpectedEOF)
}

// TestCloseInterruptsRead checks that Close interrupts a read in progress, which then returns the error that the
// interrupt gave to the source. Without the interrupt, Close would wait for the read forever.
func TestCloseInterruptsRead(t *testing.T) {
	source, writer := io.Pipe()
	r := replayer.New(source, 1<<20)
	readErr := make(chan error)
	go func() {
		_, err := r.NewReader().Read(make([]byte, 10))
		readErr <- err
	}()
	// Replayable returns false once the read is in progress.
	for r.Replayable() {
		time.Sleep(time.Millisecond)
	}
	r.Close(func() { _ = writer.CloseWithError(io.ErrClosedPipe) })
	assert.ErrorIs(t, <-readErr, io.ErrClosedPipe)
}
