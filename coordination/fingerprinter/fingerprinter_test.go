package fingerprinter_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"eelgrasspoint/coordination/fingerprinter"
)

func sum(head uint64, parts ...string) uint64 {
	f := fingerprinter.New(head)
	for _, part := range parts {
		_, _ = f.Write([]byte(part))
	}
	return f.Sum()
}

// TestDifferentRequestsHaveDifferentFingerprints guards against requests that are refused in the place of another one, and
// against a request that is not recognized since it was sent in another form.
func TestDifferentRequestsHaveDifferentFingerprints(t *testing.T) {
	head := fingerprinter.Head("POST", "h.example", "/pay", "c", "")
	assert.Equal(t, sum(head, "book", "ing"), sum(head, "booking"))
	assert.Equal(t, fingerprinter.Head("POST", "H.Example", "/pay", "c", ""), head)
	others := map[string]uint64{
		"no body":      sum(head),
		"other body":   sum(head, "bookinh"),
		"longer body":  sum(head, "booking "),
		"other method": sum(fingerprinter.Head("PUT", "h.example", "/pay", "c", ""), "booking"),
		"other target": sum(fingerprinter.Head("POST", "h.example", "/pay?x", "c", ""), "booking"),
		"other client": sum(fingerprinter.Head("POST", "h.example", "/pay", "d", ""), "booking"),
		"other key":    sum(fingerprinter.Head("POST", "h.example", "/pay", "c", "k"), "booking"),
		"parts moved":  sum(fingerprinter.Head("POST", "h.example", "/payc", "", ""), "booking"),
	}
	for name, other := range others {
		assert.Assert(t, other != sum(head, "booking"), name)
	}
}
