package emitter_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint/state/emitter"
)

// blockingWriter blocks every write until release is closed.
type blockingWriter struct {
	bytes.Buffer
	release chan struct{}
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(p)
}

// TestWriteDoesNotBlock guards against logging that waits for a blocked output, and against lines
// that are dropped without a report.
func TestWriteDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockingWriter{release: make(chan struct{})}
		e := emitter.New(out)
		for i := range 3000 {
			_, err := fmt.Fprintf(e, "line %d\n", i)
			assert.NilError(t, err)
		}
		// 1024 lines fit in the queue, and the blocked write may hold one more.
		assert.Assert(t, e.Dropped() >= 3000-1024-1, "%d lines dropped", e.Dropped())
		close(out.release)
		e.Close()
		assert.Assert(t, strings.Contains(out.String(), "LinesDropped"))
	})
}

// TestOutputRateIsLimited guards against output above the limit of lines per second, and against a
// wrong count of dropped lines.
func TestOutputRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		e := emitter.New(&out)
		for range 20 {
			for range 100 {
				_, _ = e.Write([]byte("x\n"))
				synctest.Wait()
			}
			time.Sleep(100 * time.Millisecond)
		}
		e.Close()
		lines := strings.Count(out.String(), "x\n")
		// 2 s can touch three clock seconds, each with its own limit of 400 lines.
		assert.Assert(t, lines <= 3*400, "%d lines written within 2 s", lines)
		assert.Equal(t, uint64(2000-lines), e.Dropped())
	})
}

// TestCloseDoesNotHang guards against a process that can't stop while the log output blocks.
func TestCloseDoesNotHang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockingWriter{release: make(chan struct{})}
		e := emitter.New(out)
		for range 3000 {
			_, _ = e.Write([]byte("x\n"))
		}
		start := time.Now()
		e.Close()
		assert.Assert(t, time.Since(start) <= time.Second, "Close took %v", time.Since(start))
		close(out.release)
		// The first Close timed out; this one ends the emitter's goroutine, as synctest requires.
		e.Close()
	})
}
