package executor_test

import (
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/admitter"
	"eelgrasspoint/coordination/executor"
	"eelgrasspoint/coordination/limiter"
	"eelgrasspoint/coordination/quarantiner"
	"eelgrasspoint/protocol/parser"
	"eelgrasspoint/standin/babbler"
	"eelgrasspoint/state/holder"
	"eelgrasspoint/state/recorder"
)

// startBabbler starts a babbler and returns it with an executor whose backend server it is.
func startBabbler(t *testing.T, script babbler.Script) (*babbler.Babbler, *executor.Executor) {
	t.Helper()
	return startBabblerWithReport(t, script, nil)
}

// startBabblerWithReport is startBabbler with a function that gets the crashes of the backend server.
func startBabblerWithReport(t *testing.T, script babbler.Script, report func(executor.Crash)) (*babbler.Babbler, *executor.Executor) {
	t.Helper()
	b, err := babbler.New(script)
	assert.NilError(t, err)
	t.Cleanup(b.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := executor.New(executor.Options{
		Holder: holder.New(&eelgrasspoint.Snapshot{
			Self:          eelgrasspoint.Member{Name: "n", Region: "r"},
			Configuration: &eelgrasspoint.Configuration{Revision: eelgrasspoint.Revision{Version: 1}},
		}),
		Admitter: admitter.New(limiter.NewFixed(64), time.Now), Quarantiner: quarantiner.New(time.Now),
		Recorder: recorder.New("n", time.Now, log), Clock: time.Now, Dial: (&net.Dialer{}).DialContext,
		Contract: parser.New(), CountCheck: func() {}, CountArrival: func() {}, Report: report,
	})
	t.Cleanup(e.Close)
	e.SetBackend(&eelgrasspoint.BackendServer{Service: "s", Address: b.Address(), Incarnation: 1, Slots: 64, Connections: 64})
	return b, e
}

// waitClosed fails the test if a connection to the babbler is still open after a second.
func waitClosed(t *testing.T, b *babbler.Babbler) {
	t.Helper()
	for deadline := time.Now().Add(time.Second); b.Open() > 0; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "%d connections to the backend server are still open", b.Open())
	}
}

const okHead = "HTTP/1.1 200 OK\r\n"

// TestAnswerHeadWithoutEnd guards against an answer whose head is read without a useful bound or leaves its
// connection open.
func TestAnswerHeadWithoutEnd(t *testing.T) {
	// The operating system buffers some megabytes of what is never read.
	const maxWrittenBytes = 10 << 20
	cases := []struct {
		name   string
		script babbler.Script
	}{
		{"status line", babbler.Script{Begin: "HTTP/1.1 200 ", Repeat: "O"}},
		{"no status line", babbler.Script{Repeat: "x"}},
		{"header lines", babbler.Script{Begin: okHead, Repeat: "A: b\r\n"}},
		{"one header line", babbler.Script{Begin: okHead + "A: ", Repeat: "b"}},
		{"continuation lines", babbler.Script{Begin: okHead + "A: b\r\n", Repeat: " c\r\n"}},
		{"100 Continue", babbler.Script{Repeat: "HTTP/1.1 100 Continue\r\n\r\n"}},
		{"103 Early Hints", babbler.Script{Repeat: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"}},
		{"empty lines", babbler.Script{Repeat: "\r\n"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b, e := startBabbler(t, c.script)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := e.RoundTrip(ctx, nil, newAttempt(false, 0))
			outcome := eelgrasspoint.AsOutcome(err)
			t.Logf("%v", err)
			assert.Equal(t, outcome.Outcome, eelgrasspoint.MayHaveRun)
			assert.Equal(t, outcome.Reason, eelgrasspoint.MalformedAnswer)
			assert.Assert(t, b.Written() < maxWrittenBytes, "%d bytes were written", b.Written())
			waitClosed(t, b)
		})
	}
}

// TestMalformedAnswerIsNoCrash guards against counting a crash of the backend server for an answer that is
// none, which quarantines the requests in flight if the server is replaced soon afterwards.
func TestMalformedAnswerIsNoCrash(t *testing.T) {
	for _, c := range []struct {
		name, begin, reason string
		crashes             int
	}{
		{"no HTTP", "garbage\r\n\r\n", "MayHaveRun MalformedAnswer", 0},
		{"bad header line", okHead + "no colon\r\n\r\n", "MayHaveRun MalformedAnswer", 0},
		{"bad chunk", okHead + "Transfer-Encoding: chunked\r\n\r\nno size\r\n", "body: invalid byte in chunk length", 0},
		{"broken off", okHead + "Content-Length: 5\r\n\r\nabc", "body: unexpected EOF", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			crashes := make(chan executor.Crash, 1)
			b, e := startBabblerWithReport(t, babbler.Script{Begin: c.begin, HangUp: true}, func(crash executor.Crash) { crashes <- crash })
			assert.Equal(t, readAnswer(e), c.reason)
			e.SetBackend(&eelgrasspoint.BackendServer{Service: "s", Address: b.Address(), Incarnation: 2, Slots: 64, Connections: 64})
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, len(crashes), c.crashes)
		})
	}
}

// TestMemoryOfAnswerHeadsWithoutEnd guards against many answers at once whose heads have no end and use up
// the memory of the process.
func TestMemoryOfAnswerHeadsWithoutEnd(t *testing.T) {
	const requests, maxGrowthBytes = 64, 32 << 20
	for _, script := range []babbler.Script{{Begin: "HTTP/1.1 200 ", Repeat: "O"}, {Begin: okHead, Repeat: "A: b\r\n"}} {
		_, e := startBabbler(t, script)
		done := make(chan string, requests)
		before := heapBytes()
		peak := before
		for range requests {
			go func() { done <- readAnswer(e) }()
		}
		for finished := 0; finished < requests; {
			select {
			case <-done:
				finished++
			case <-time.After(time.Millisecond):
			}
			peak = max(peak, heapBytes())
		}
		t.Logf("%q: heap grew by up to %d KB", script.Repeat, (peak-before)>>10)
		assert.Assert(t, peak-before < maxGrowthBytes, "the heap grew by %d MB", (peak-before)>>20)
	}
}

// TestLongAnswerHeadPasses guards against a bound that rejects a proper answer with a long head.
func TestLongAnswerHeadPasses(t *testing.T) {
	head := okHead + "Content-Length: 3\r\nA: " + strings.Repeat("b", eelgrasspoint.MaxAnswerHeaderBytes-100) + "\r\n\r\n"
	_, e := startBabbler(t, babbler.Script{Begin: "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "own"})
	assert.Equal(t, readAnswer(e), "own")
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestStatusThatIsNoAnswer guards against relaying a status that ends no request: one below 100 makes the
// handler panic, and 101 reaches the entry node as 200.
func TestStatusThatIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000 Zero", "099 Low", "101 Switching Protocols"} {
		t.Run(status, func(t *testing.T) {
			b, e := startBabbler(t, babbler.Script{Begin: "HTTP/1.1 " + status + "\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", Repeat: "bytes"})
			answer, err := e.RoundTrip(t.Context(), nil, newAttempt(false, 0))
			if err == nil {
				answer.Response.Body.Close()
			}
			assert.Assert(t, err != nil, "an answer with status %s is relayed", status)
			assert.Equal(t, eelgrasspoint.AsOutcome(err).Reason, eelgrasspoint.BadAnswer)
			waitClosed(t, b)
		})
	}
}

// TestBodyWithoutEnd guards against an answer without end that keeps its slot or its connection after the
// deadline or after the caller left, or that ends as if it were complete.
func TestBodyWithoutEnd(t *testing.T) {
	const head = okHead + "Content-Type: text/plain\r\n"
	cases := []struct {
		name   string
		script babbler.Script
		// endsEarly is set if the bytes can't be an answer, so that reading fails before the deadline.
		endsEarly bool
	}{
		{"until close", babbler.Script{Begin: head + "\r\n", Repeat: "x"}, false},
		{"until close, a byte at a time", babbler.Script{Begin: head + "\r\n", Repeat: "x", Pause: 20 * time.Millisecond}, false},
		{"chunks", babbler.Script{Begin: head + "Transfer-Encoding: chunked\r\n\r\n", Repeat: "4\r\nabcd\r\n"}, false},
		{"chunks, a byte at a time", babbler.Script{Begin: head + "Transfer-Encoding: chunked\r\n\r\n", Repeat: "4\r\nabcd\r\n", Pause: 20 * time.Millisecond}, false},
		{"chunk extension", babbler.Script{Begin: head + "Transfer-Encoding: chunked\r\n\r\n4;a=", Repeat: "b"}, true},
		{"chunks with long extensions", babbler.Script{Begin: head + "Transfer-Encoding: chunked\r\n\r\n", Repeat: "1;aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\nx\r\n"}, true},
		{"trailers", babbler.Script{Begin: head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", Repeat: "A: b\r\n"}, true},
		{"trailers, a byte at a time", babbler.Script{Begin: head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", Repeat: "A: b\r\n", Pause: 20 * time.Millisecond}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b, e := startBabbler(t, c.script)
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			answer, err := e.RoundTrip(ctx, nil, newAttempt(false, 0))
			assert.NilError(t, err)
			n, err := io.Copy(io.Discard, answer.Response.Body)
			t.Logf("%v after %d bytes", err, n)
			assert.Assert(t, err != nil, "a body without end looks complete after %d bytes", n)
			assert.Equal(t, ctx.Err() == nil, c.endsEarly)
			answer.Response.Body.Close()
			assert.Equal(t, e.Load().InUse, uint32(0))
			waitClosed(t, b)
		})
	}
}

// TestHeadAByteAtATimeEndsAtTheDeadline guards against a connection or slot that outlives the deadline while
// the head of its answer still arrives.
func TestHeadAByteAtATimeEndsAtTheDeadline(t *testing.T) {
	b, e := startBabbler(t, babbler.Script{Begin: okHead, Repeat: "A: b\r\n", Pause: 20 * time.Millisecond})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := e.RoundTrip(ctx, nil, newAttempt(false, 0))
	outcome := eelgrasspoint.AsOutcome(err)
	assert.Equal(t, outcome.Outcome, eelgrasspoint.MayHaveRun)
	assert.Equal(t, outcome.Reason, eelgrasspoint.TimedOut)
	assert.Equal(t, e.Load().InUse, uint32(0))
	waitClosed(t, b)
}

// TestBodyWithoutEndAfterCallerLeft guards against a backend server that still writes its answer after the
// caller has left.
func TestBodyWithoutEndAfterCallerLeft(t *testing.T) {
	b, e := startBabbler(t, babbler.Script{Begin: okHead + "\r\n", Repeat: "x"})
	ctx, cancel := context.WithCancel(t.Context())
	answer, err := e.RoundTrip(ctx, nil, newAttempt(false, 0))
	assert.NilError(t, err)
	cancel()
	waitClosed(t, b)
	answer.Response.Body.Close()
	assert.Equal(t, e.Load().InUse, uint32(0))
}

// TestBytesOnAnIdleConnection guards against bytes that belong to no request and are taken for an answer.
func TestBytesOnAnIdleConnection(t *testing.T) {
	const extra = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"
	const own = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"
	cases := []struct {
		name   string
		script babbler.Script
	}{
		{"after an answer", babbler.Script{Begin: own + extra}},
		{"after an answer without a body", babbler.Script{Begin: "HTTP/1.1 204 No Content\r\n\r\n" + extra}},
		{"no answer after an answer", babbler.Script{Begin: own + "extra"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b, e := startBabbler(t, c.script)
			const workers, requests = 16, 100
			results := make(chan string, workers*requests)
			for range workers {
				go func() {
					for range requests {
						results <- readAnswer(e)
					}
				}()
			}
			counts := make(map[string]int)
			for range workers * requests {
				counts[<-results]++
			}
			t.Logf("%v, %d requests arrived on %d connections", counts, b.Requests(), b.Accepted())
			assert.Equal(t, counts["extra"], 0)
			assert.Equal(t, counts["MayHaveRun MalformedAnswer"], 0)
			assert.Assert(t, b.Requests() <= b.Accepted(), "%d requests on %d connections", b.Requests(), b.Accepted())
		})
	}
}

// TestBytesBeforeAnyAnswer guards against bytes on a new connection that are taken for the begin of an answer.
func TestBytesBeforeAnyAnswer(t *testing.T) {
	b, e := startBabbler(t, babbler.Script{Greeting: "garbage\r\n\r\n", Begin: okHead + "Content-Length: 3\r\n\r\nown"})
	for range 20 {
		got := readAnswer(e)
		assert.Assert(t, got == "NotRun ServerUnreachable" || got == "MayHaveRun MalformedAnswer", got)
	}
	waitClosed(t, b)
}

// readAnswer sends a request and returns the body of its answer, or the reason that there is none.
func readAnswer(e *executor.Executor) string {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := e.RoundTrip(ctx, nil, newAttempt(true, 0))
	if err != nil {
		outcome := eelgrasspoint.AsOutcome(err)
		return outcome.Outcome.String() + " " + outcome.Reason.String()
	}
	defer answer.Response.Body.Close()
	body, err := io.ReadAll(answer.Response.Body)
	if err != nil {
		return "body: " + err.Error()
	}
	return string(body)
}

// TestHealthCheckWithoutEnd guards against a health check that outlasts its time or leaves its connection open
// because of an answer without end.
func TestHealthCheckWithoutEnd(t *testing.T) {
	const timeout = 100 * time.Millisecond
	cases := []struct {
		name    string
		script  babbler.Script
		healthy bool
	}{
		{"head", babbler.Script{Begin: okHead, Repeat: "A: b\r\n"}, false},
		{"head, a byte at a time", babbler.Script{Begin: okHead, Repeat: "A: b\r\n", Pause: 10 * time.Millisecond}, false},
		{"status line", babbler.Script{Begin: "HTTP/1.1 200 ", Repeat: "O"}, false},
		{"100 Continue", babbler.Script{Repeat: "HTTP/1.1 100 Continue\r\n\r\n"}, false},
		{"body", babbler.Script{Begin: okHead + "\r\n", Repeat: "x"}, true},
		{"body, a byte at a time", babbler.Script{Begin: okHead + "\r\n", Repeat: "x", Pause: 10 * time.Millisecond}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b, e := startBabbler(t, c.script)
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			start := time.Now()
			health, err := e.CheckHealth(ctx, b.Address(), "/health")
			assert.Equal(t, health.Healthy, c.healthy, "%v", err)
			assert.Assert(t, time.Since(start) < 5*timeout, "%v", time.Since(start))
			waitClosed(t, b)
		})
	}
}
