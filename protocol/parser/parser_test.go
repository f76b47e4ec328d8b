package parser_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/protocol/parser"
)

func TestParseValidatesHeaders(t *testing.T) {
	cases := []struct {
		name   string
		header http.Header
		reason eelgrasspoint.Reason
	}{
		{"no headers", http.Header{}, eelgrasspoint.NoReason},
		{"all headers", http.Header{"Eelgrass-Timeout": {"250ms"}, "Eelgrass-Depth": {"8"}, "Eelgrass-Client": {"c"}}, eelgrasspoint.NoReason},
		{"timeout not a duration", http.Header{"Eelgrass-Timeout": {"soon"}}, eelgrasspoint.BadHeader},
		{"negative timeout", http.Header{"Eelgrass-Timeout": {"-1s"}}, eelgrasspoint.BadHeader},
		{"zero timeout", http.Header{"Eelgrass-Timeout": {"0s"}}, eelgrasspoint.DeadlinePassed},
		{"depth not a number", http.Header{"Eelgrass-Depth": {"deep"}}, eelgrasspoint.BadHeader},
		{"depth at the limit", http.Header{"Eelgrass-Depth": {"16"}}, eelgrasspoint.TooDeep},
		{"request ID too long", http.Header{"Eelgrass-Request-Id": {strings.Repeat("x", 200)}}, eelgrasspoint.BadHeader},
		{"headers too large", http.Header{"X": {strings.Repeat("x", 70000)}}, eelgrasspoint.HeaderTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			options, err := parser.Parse(&http.Request{Header: c.header})
			assert.Assert(t, options.RequestID != "")
			if c.reason == eelgrasspoint.NoReason {
				assert.Assert(t, err == nil, "%v", err)
				return
			}
			assert.Equal(t, err.Reason, c.reason)
			assert.Equal(t, err.Outcome, eelgrasspoint.NotRun)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add("250ms", "3", "id", "client")
	f.Fuzz(func(t *testing.T, timeout, depth, id, client string) {
		options, err := parser.Parse(&http.Request{Header: http.Header{
			eelgrasspoint.HeaderTimeout: {timeout}, eelgrasspoint.HeaderDepth: {depth}, eelgrasspoint.HeaderRequestID: {id},
			eelgrasspoint.HeaderClient: {client},
		}})
		if options.RequestID == "" || len(options.RequestID) > eelgrasspoint.MaxRequestIDBytes {
			t.Fatalf("request ID %q is empty or longer than %d bytes", options.RequestID, eelgrasspoint.MaxRequestIDBytes)
		}
		if err == nil && (options.Timeout < 0 || options.Timeout > time.Duration(1<<63-1) || options.Depth < 1 || options.Depth > eelgrasspoint.MaxDepth) {
			t.Fatalf("options out of range: %+v", options)
		}
	})
}
