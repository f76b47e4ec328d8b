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

// stuck blocks until it is released.
type stuck struct {
	bytes.Buffer
	release chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

func TestWriteNeverWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuck{release: make(chan struct{})}
		e := emitter.New(out)
		for i := range 3000 {
			_, err := fmt.Fprintf(e, "line %d\n", i)
			assert.NilError(t, err)
		}
		assert.Assert(t, e.Dropped() >= 3000-1024-1, "%d", e.Dropped())
		close(out.release)
		e.Close()
		assert.Assert(t, strings.Contains(out.String(), "LinesDropped"))
	})
}

func TestVolumeIsBounded(t *testing.T) {
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
		assert.Assert(t, lines <= 3*400, "%d lines in two seconds", lines)
		assert.Equal(t, uint64(2000-lines), e.Dropped())
	})
}

// TestCloseDoesNotHang ends while the output takes nothing.
func TestCloseDoesNotHang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuck{release: make(chan struct{})}
		e := emitter.New(out)
		for range 3000 {
			_, _ = e.Write([]byte("x\n"))
		}
		began := time.Now()
		e.Close()
		assert.Assert(t, time.Since(began) <= time.Second, "%v", time.Since(began))
		close(out.release)
		e.Close()
	})
}
