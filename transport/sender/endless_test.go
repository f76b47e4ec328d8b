package sender_test

import (
	"context"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint/standin/babbler"
	"eelgrasspoint/transport/sender"
)

// TestStoreAnswerWithoutEnd guards against an answer without end that is taken for a whole one, that can't be
// told from a malformed one, or whose connection stays open.
func TestStoreAnswerWithoutEnd(t *testing.T) {
	b, err := babbler.New(babbler.Script{Begin: "HTTP/1.1 200 OK\r\n\r\n", Repeat: " "})
	assert.NilError(t, err)
	defer b.Close()
	client := &http.Client{Transport: &http.Transport{}}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	result := sender.New(client, func(string, string) {}).Send(ctx, "Read", http.MethodGet, "http://"+b.Address().String()+"/", nil)
	runtime.ReadMemStats(&after)
	t.Logf("%v; %d bytes kept, %d MB allocated", result.Err, len(result.Body), (after.TotalAlloc-before.TotalAlloc)>>20)
	assert.Assert(t, result.Err != nil)
	assert.Assert(t, strings.Contains(result.Err.Error(), "longer than"), "%v", result.Err)
	assert.Equal(t, len(result.Body), 0)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, b.Open(), int64(0))
}
