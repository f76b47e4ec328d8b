package dispatcher

import (
	"context"
	"net"
	"net/http"

	"eelgrasspoint"
	"eelgrasspoint/transport/dialer"
	"eelgrasspoint/transport/renewer"
)

// watched returns a function that opens connections with dial and watches them for silence.
func (d *Dispatcher) watched(dial dialer.Func) dialer.Func {
	return func(ctx context.Context, network, host string) (net.Conn, error) {
		conn, err := dial(ctx, network, host)
		if err != nil {
			return nil, err
		}
		return newConnection(conn, d, host), nil
	}
}

// probe reports whether the exit node of the host answers on a connection for new attempts.
func (d *Dispatcher) probe(host string) bool {
	address, err := renewer.Address(host)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), eelgrasspoint.PeerPingTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodHead, "http://"+d.renewer.Host(address)+"/", http.NoBody)
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
