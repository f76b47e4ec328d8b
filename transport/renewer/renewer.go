// Package renewer lets requests to a peer leave its open connections, which may be dead without having been
// closed, for new ones.
package renewer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"

	"eelgrasspoint/transport/dialer"
)

// Renewer gives the hosts of the URLs of requests to peers. net/http reuses the connections of the same host, so
// the host holds a generation, which changes with each renewal. It is safe for concurrent use.
type Renewer struct {
	mu sync.Mutex
	// generations holds the generations of peers that are not zero.
	generations map[netip.AddrPort]uint64
}

// New returns a renewer.
func New() *Renewer { return &Renewer{generations: make(map[netip.AddrPort]uint64)} }

// maxGenerations is the number of generations, after which the first one follows again. net/http keeps a record
// for every host that it had a connection to. A dead connection of the first generation is closed by then.
const maxGenerations = 4

// Host returns the host and port of the URL of a new request to the peer.
func (r *Renewer) Host(address netip.AddrPort) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return host(address, r.generations[address])
}

func host(address netip.AddrPort, generation uint64) string {
	return net.JoinHostPort(strconv.FormatUint(generation, 10)+"-"+address.Addr().String(), strconv.Itoa(int(address.Port())))
}

// Renew makes later requests use new connections, unless that was done since Host returned the host.
func (r *Renewer) Renew(from string) {
	address, generation, err := parse(from)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.generations[address] == generation {
		r.generations[address] = (generation + 1) % maxGenerations
	}
}

// Address returns the address of the peer of a host that Host returned.
func Address(host string) (netip.AddrPort, error) {
	address, _, err := parse(host)
	return address, err
}

// Dial returns a function that opens connections to hosts that Host returned.
func (r *Renewer) Dial(dial dialer.Func) dialer.Func {
	return func(ctx context.Context, network, host string) (net.Conn, error) {
		address, err := Address(host)
		if err != nil {
			return nil, err
		}
		return dial(ctx, network, address.String())
	}
}

// parse is the inverse of host.
func parse(text string) (netip.AddrPort, uint64, error) {
	name, port, err := net.SplitHostPort(text)
	if err != nil {
		return netip.AddrPort{}, 0, err
	}
	number, ip, _ := strings.Cut(name, "-")
	generation, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return netip.AddrPort{}, 0, fmt.Errorf("generation of a peer: %w", err)
	}
	address, err := netip.ParseAddrPort(net.JoinHostPort(ip, port))
	return address, generation, err
}
