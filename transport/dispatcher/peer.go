package dispatcher

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"eelgrasspoint"
)

// peer identifies the connections to an exit node that net/http may use for new attempts. The generation
// changes when one of them is silent.
type peer struct {
	address    netip.AddrPort
	generation uint64
}

// generations is the number of generations, after which the first one follows again. net/http keeps a record for
// every host that it had a connection to. A silent connection of the first generation is closed or heard of again
// by then.
const generations = 4

// host returns the host and port of the URLs of attempts. net/http reuses the connections of the same host
// and port, so the host holds the generation.
func (p peer) host() string {
	return net.JoinHostPort(strconv.FormatUint(p.generation, 10)+"-"+p.address.Addr().String(), strconv.Itoa(int(p.address.Port())))
}

// parsePeer is the inverse of peer.host.
func parsePeer(text string) (peer, error) {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return peer{}, err
	}
	generation, address, _ := strings.Cut(host, "-")
	var p peer
	if p.generation, err = strconv.ParseUint(generation, 10, 64); err != nil {
		return peer{}, fmt.Errorf("generation of a peer: %w", err)
	}
	p.address, err = netip.ParseAddrPort(net.JoinHostPort(address, port))
	return p, err
}

// dial opens a connection to the peer whose host is the address.
func (d *Dispatcher) dial(ctx context.Context, network, address string) (net.Conn, error) {
	p, err := parsePeer(address)
	if err != nil {
		return nil, err
	}
	conn, err := d.dialAddress(ctx, network, p.address.String())
	if err != nil {
		return nil, err
	}
	return newConnection(conn, d, p), nil
}

// currentPeer returns the peer for new attempts to an exit node.
func (d *Dispatcher) currentPeer(address netip.AddrPort) peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return peer{address: address, generation: d.generations[address]}
}

// replace makes later attempts use new connections, unless it was called for the peer before.
func (d *Dispatcher) replace(p peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.generations[p.address] == p.generation {
		d.generations[p.address] = (p.generation + 1) % generations
	}
}

// probe reports whether the exit node answers on a connection for new attempts.
func (d *Dispatcher) probe(address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(context.Background(), eelgrasspoint.PeerPingTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodHead, "http://"+d.currentPeer(address).host()+"/", http.NoBody)
	if err != nil {
		return false
	}
	response, err := d.transport.RoundTrip(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return true
}
