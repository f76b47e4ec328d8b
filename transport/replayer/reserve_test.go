package replayer

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCloseReleasesBytesOfInterruptedRead guards against reserved bytes that are never released and use up
// MaxReplayTotalBytes: the read that Close interrupts may still receive bytes and reserve them, and Close must
// release these too.
func TestCloseReleasesBytesOfInterruptedRead(t *testing.T) {
	before := totalReserved.Load()
	source, writer := io.Pipe()
	r := New(source, 1<<20)
	readDone := make(chan struct{})
	go func() {
		_, _ = r.NewReader().Read(make([]byte, 100))
		close(readDone)
	}()
	// Replayable returns false once the read is in progress.
	for r.Replayable() {
		time.Sleep(time.Millisecond)
	}
	r.Close(func() { _, _ = writer.Write(make([]byte, 100)) })
	<-readDone
	assert.Equal(t, totalReserved.Load(), before)
}
