package replayer

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCloseGivesBackWhatALateReadReserved lets bytes arrive in the read that Close interrupts:
// nothing of the process's bound may stay taken.
func TestCloseGivesBackWhatALateReadReserved(t *testing.T) {
	before := total.Load()
	source, writer := io.Pipe()
	p := New(source, 1<<20)
	ended := make(chan struct{})
	go func() {
		_, _ = p.NewReader().Read(make([]byte, 100))
		close(ended)
	}()
	for p.Replayable() {
		time.Sleep(time.Millisecond)
	}
	p.Close(func() { _, _ = writer.Write(make([]byte, 100)) })
	<-ended
	assert.Equal(t, total.Load(), before)
}
