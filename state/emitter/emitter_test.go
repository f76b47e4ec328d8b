package emitter_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/state/emitter"
	"eelgrasspoint/state/recorder"
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

// TestRequestsDontDisplaceChanges guards against a change that is missing from the log because of many refused requests.
func TestRequestsDontDisplaceChanges(t *testing.T) {
	cases := map[string]struct {
		blocked  bool
		requests int
	}{
		"output too slow":             {true, 3000},
		"rate of requests exceeded":   {false, 3000},
		"rate exceeded, queue filled": {true, 10000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				out := &blockingWriter{release: make(chan struct{})}
				e := emitter.New(out)
				requests, changes := newRecorder(e)
				if !c.blocked {
					close(out.release)
				}
				for range c.requests {
					requests()
					if !c.blocked {
						synctest.Wait()
					}
				}
				changes()
				if c.blocked {
					close(out.release)
				}
				e.Close()
				log := out.String()
				assert.Equal(t, strings.Count(log, `"Event":"RevisionInForce"`), 1)
				assert.Assert(t, strings.Contains(log, `"Event":"LinesDropped","Kind":"requests"`))
				assert.Assert(t, !strings.Contains(log, `"Kind":"changes"`))
			})
		})
	}
}

// TestDroppedChangesAreReported guards against a dropped line that is reported only with the next one, which may come much
// later.
func TestDroppedChangesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		e := emitter.New(&out)
		for range 500 {
			_, _ = e.Write([]byte("x\n"))
			synctest.Wait()
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Assert(t, strings.Contains(out.String(), `"Event":"LinesDropped","Kind":"changes","Lines":100,`), "%s", out.String())
		e.Close()
	})
}

// newRecorder returns functions that record an event of a request, without an identifier, and one of a change.
func newRecorder(e *emitter.Emitter) (request, change func()) {
	newLog := func(output io.Writer) logrus.FieldLogger {
		log := logrus.New()
		log.SetOutput(output)
		log.SetFormatter(&logrus.JSONFormatter{})
		return log
	}
	r := recorder.NewWithRequestLog("n", time.Now, newLog(e), newLog(e.Requests()))
	request = func() { r.Record(eelgrasspoint.Event{Number: eelgrasspoint.EventRequestRefused}) }
	change = func() { r.Record(eelgrasspoint.Event{Number: eelgrasspoint.EventRevisionInForce}) }
	return request, change
}
