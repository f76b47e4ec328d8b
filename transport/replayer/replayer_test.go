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

func body(n int) io.ReadCloser { return io.NopCloser(bytes.NewReader(bytes.Repeat([]byte("x"), n))) }

func TestShortBodyIsReadAgain(t *testing.T) {
	p := replayer.New(body(1000), 1<<20)
	assert.NilError(t, p.Prefetch(1000))
	for range 3 {
		data, err := io.ReadAll(p.NewReader())
		assert.NilError(t, err)
		assert.Equal(t, len(data), 1000)
		assert.Assert(t, p.Replayable() && p.Complete())
	}
	p.Close(func() {})
}

func TestBeginningOfALongBodyIsReadAgain(t *testing.T) {
	p := replayer.New(body(1<<20), 2<<20)
	first := p.NewReader()
	_, err := io.ReadFull(first, make([]byte, 1000))
	assert.NilError(t, err)
	assert.Assert(t, p.Replayable())
	second := p.NewReader()
	_, err = first.Read(make([]byte, 10))
	assert.ErrorContains(t, err, "given up")
	data, err := io.ReadAll(second)
	assert.NilError(t, err)
	assert.Equal(t, len(data), 1<<20)
	assert.Assert(t, !p.Replayable(), "more than the bound was read")
	_, err = io.ReadAll(p.NewReader())
	assert.ErrorContains(t, err, "given up")
	p.Close(func() {})
}

func TestTooLongIsAnError(t *testing.T) {
	p := replayer.New(body(5000), 4096)
	_, err := io.ReadAll(p.NewReader())
	assert.Equal(t, eelgrasspoint.AsOutcome(err).Reason, eelgrasspoint.BodyTooLarge)
	p.Close(func() {})
}

func TestCutShortWhileFilling(t *testing.T) {
	p := replayer.New(io.NopCloser(strings.NewReader("half")), 1<<20)
	assert.ErrorIs(t, p.Prefetch(8), io.ErrUnexpectedEOF)
}

// TestCloseInterruptsARead waits for the read that it interrupts.
func TestCloseInterruptsARead(t *testing.T) {
	source, writer := io.Pipe()
	p := replayer.New(source, 1<<20)
	reading := make(chan error)
	go func() {
		_, err := p.NewReader().Read(make([]byte, 10))
		reading <- err
	}()
	for p.Replayable() {
		time.Sleep(time.Millisecond)
	}
	p.Close(func() { _ = writer.CloseWithError(io.ErrClosedPipe) })
	assert.ErrorIs(t, <-reading, io.ErrClosedPipe)
}
