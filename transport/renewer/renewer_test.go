package renewer

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// TestDialReachesPeerOfEachGeneration guards against a host of a URL from which another address is dialed.
func TestDialReachesPeerOfEachGeneration(t *testing.T) {
	for _, address := range []string{"10.0.0.1:7001", "[::1]:80", "[fe80::1%eth-0]:7001"} {
		r := New()
		hosts := make(map[string]bool)
		for range maxGenerations {
			current := r.Host(netip.MustParseAddrPort(address))
			hosts[current] = true
			dialed := ""
			_, err := r.Dial(func(_ context.Context, _, address string) (net.Conn, error) {
				dialed = address
				return nil, nil
			})(t.Context(), "tcp", current)
			assert.NilError(t, err)
			assert.Equal(t, dialed, address)
			r.Renew(current)
			r.Renew(current)
		}
		assert.Equal(t, len(hosts), maxGenerations)
	}
}

// TestDialRejectsOtherHosts guards against a connection to a host that Host did not return.
func TestDialRejectsOtherHosts(t *testing.T) {
	for _, host := range []string{"", "10.0.0.1:7001", "x-10.0.0.1:7001", "0-10.0.0.1"} {
		_, err := New().Dial(func(context.Context, string, string) (net.Conn, error) { return nil, nil })(t.Context(), "tcp", host)
		assert.Assert(t, err != nil, host)
	}
}
