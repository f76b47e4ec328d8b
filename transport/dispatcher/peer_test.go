package dispatcher

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// TestParsePeer guards against a host of an attempt's URL from which another address is dialed.
func TestParsePeer(t *testing.T) {
	for _, address := range []string{"10.0.0.1:7001", "[::1]:80", "[fe80::1%eth-0]:7001"} {
		for generation := range uint64(generations) {
			want := peer{address: netip.MustParseAddrPort(address), generation: generation}
			got, err := parsePeer(want.host())
			assert.NilError(t, err)
			assert.Equal(t, got, want)
		}
	}
	for _, host := range []string{"", "10.0.0.1:7001", "x-10.0.0.1:7001", "0-10.0.0.1"} {
		_, err := parsePeer(host)
		assert.Assert(t, err != nil, host)
	}
}
