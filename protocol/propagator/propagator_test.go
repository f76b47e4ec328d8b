package propagator_test

import (
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/protocol/propagator"
)

func TestMetadataRoundTrip(t *testing.T) {
	now := time.Unix(1000, 0)
	meta := &eelgrasspoint.RequestMetadata{
		RequestID: "r", Client: "c", Route: "bids", Permitted: []string{"norte", "alentejo"}, Depth: 3,
		Fingerprint: 0xfeed, BodyOpen: true, Attempt: 1, Insists: true, Deadline: now.Add(1500 * time.Millisecond),
		Caller: "ledger", Revision: eelgrasspoint.Revision{Version: 7}, Service: "vitrine", Weight: 998, TargetLatency: 300 * time.Millisecond,
	}
	header := http.Header{}
	propagator.Write(header, meta, now)
	metadata, err := propagator.Read(header)
	assert.NilError(t, err)
	assert.DeepEqual(t, metadata, propagator.Metadata{
		RequestID: "r", Client: "c", Route: "bids", Permitted: []string{"norte", "alentejo"}, Depth: 3,
		Fingerprint: 0xfeed, BodyOpen: true, Attempt: 1, Insists: true, Remaining: 1500 * time.Millisecond,
		Caller: "ledger", Revision: eelgrasspoint.Revision{Version: 7}, Service: "vitrine", Weight: 998, Target: 300 * time.Millisecond,
	})
	fields := reflect.ValueOf(metadata)
	for i := range fields.NumField() {
		assert.Assert(t, !fields.Field(i).IsZero(), "the test leaves out %s", fields.Type().Field(i).Name)
	}
	propagator.Strip(header)
	assert.Equal(t, header.Get(eelgrasspoint.HeaderRoute), "")
	assert.Equal(t, header.Get(eelgrasspoint.HeaderRequestID), "r")
}

// TestKeysAreBounded guards against keys of callers' identifiers that use up the memory of the nodes that remember them.
func TestKeysAreBounded(t *testing.T) {
	key := func(id string, attempt int) string {
		header := make(http.Header)
		propagator.WriteKey(header, &eelgrasspoint.RequestMetadata{RequestID: id, Attempt: attempt})
		return propagator.Key(header)
	}
	long := strings.Repeat("x", 60<<10)
	seen := make(map[string]bool)
	for _, id := range []string{"a", "b", long, long + "y", long[1:]} {
		for attempt := range 2 {
			k := key(id, attempt)
			assert.Assert(t, len(k) <= 300, "%d bytes", len(k))
			assert.Assert(t, !seen[k], "two attempts have one key")
			assert.Equal(t, k, key(id, attempt))
			seen[k] = true
		}
	}
}

func TestLoadRoundTrip(t *testing.T) {
	load := eelgrasspoint.Load{InUse: 3, Limit: 13, Queued: 2, Expected: 20 * time.Millisecond}
	header := http.Header{}
	// Load hints for other regions are charged to the measuring budget. Below 40 bytes for the header's
	// name and value, MeasuringBytesPerSecond (3000) allows at least 75 hints per second.
	assert.Assert(t, propagator.WriteLoad(header, load) < 40)
	got, ok := propagator.ReadLoad(header)
	assert.Assert(t, ok)
	assert.DeepEqual(t, got, load)
}

// TestLoadHintKeepsPause guards against entry nodes that send to a backend server which takes no request for now.
func TestLoadHintKeepsPause(t *testing.T) {
	header := http.Header{}
	propagator.WriteLoad(header, eelgrasspoint.Load{InUse: 3, Limit: 13, Pause: 80*time.Millisecond - 1})
	got, ok := propagator.ReadLoad(header)
	assert.Assert(t, ok)
	assert.DeepEqual(t, got, eelgrasspoint.Load{InUse: 3, Limit: 13, Pause: 80 * time.Millisecond})
}

func FuzzRead(f *testing.F) {
	f.Add("r", "998", "3", "feed", "1s", "1", "3/13/0/20/150/80")
	f.Fuzz(func(t *testing.T, route, weight, depth, fingerprint, timeout, attempt, load string) {
		header := http.Header{
			eelgrasspoint.HeaderRoute: {route}, eelgrasspoint.HeaderDepth: {depth}, eelgrasspoint.HeaderFingerprint: {fingerprint},
			eelgrasspoint.HeaderWeight: {weight}, eelgrasspoint.HeaderTargetLatency: {timeout}, eelgrasspoint.HeaderRevision: {attempt},
			eelgrasspoint.HeaderTimeout: {timeout}, eelgrasspoint.HeaderAttempt: {attempt}, eelgrasspoint.HeaderLoad: {load},
		}
		_, _ = propagator.Read(header)
		if got, ok := propagator.ReadLoad(header); !ok && got != (eelgrasspoint.Load{}) {
			t.Fatalf("ReadLoad(%q) returned %+v for an invalid load hint", load, got)
		}
	})
}
