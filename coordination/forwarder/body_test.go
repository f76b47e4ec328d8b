package forwarder

import (
	"io"
	"net/http"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
)

// endlessReader is an endless reader of zero bytes.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

func endlessAnswer() *eelgrasspoint.Answer {
	return &eelgrasspoint.Answer{Response: &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(endlessReader{}), ContentLength: -1,
	}}
}

// TestMemoryOfPrefetchedAnswers guards against many answers at once whose prefetched parts use up the memory
// of the process, and against reserved bytes that are never released.
func TestMemoryOfPrefetchedAnswers(t *testing.T) {
	const requests, maxGrowthBytes = 1000, 16 << 20
	p := &proxiedRequest{forwarder: New(Options{}), request: &http.Request{Method: http.MethodGet}}
	for range 2 {
		before := heapAfterGC()
		answers := make([]*eelgrasspoint.Answer, requests)
		for i := range answers {
			answers[i] = endlessAnswer()
			assert.NilError(t, p.prefetch(answers[i]))
		}
		growth := heapAfterGC() - before
		t.Logf("heap grew by %d KB", growth>>10)
		assert.Assert(t, growth > eelgrasspoint.MaxPrefetchBytes, "nothing was prefetched")
		assert.Assert(t, growth < maxGrowthBytes, "the heap grew by %d MB", growth>>20)
		for _, answer := range answers {
			_, err := io.CopyN(io.Discard, answer.Response.Body, 2*eelgrasspoint.MaxPrefetchBytes)
			assert.NilError(t, err)
			answer.Response.Body.Close()
			answer.Response.Body.Close()
		}
	}
}

func heapAfterGC() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
