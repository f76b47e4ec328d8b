package dispatcher

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/protocol/propagator"
	"eelgrasspoint/transport/dialer"
	"eelgrasspoint/transport/renewer"
)

// watched returns a function that opens connections with dial and watches them for silence.
func (d *Dispatcher) watched(dial dialer.Func) dialer.Func {
	return func(ctx context.Context, network, host string) (net.Conn, error) {
		startedAt := time.Now()
		conn, err := dial(ctx, network, host)
		if err != nil {
			return nil, err
		}
		return newConnection(conn, d, host, time.Since(startedAt)), nil
	}
}

// probe reports whether the exit node of the host answers on a connection for new attempts.
func (d *Dispatcher) probe(host string) bool {
	address, err := renewer.Address(host)
	return err == nil && d.check(d.renewer.Host(address))
}

// check reports whether the exit node answers on the connection of the host, or on a new one if there is none.
func (d *Dispatcher) check(host string) bool {
	response, err := d.ask(http.MethodHead, host, http.Header{})
	return err == nil && response.StatusCode != 0
}

// withdraw withdraws an attempt that was sent at the time, and reports whether the exit node proves that it has not begun
// and never will.
func (d *Dispatcher) withdraw(candidate *eelgrasspoint.Candidate, meta *eelgrasspoint.RequestMetadata, sentAt time.Time) bool {
	now := time.Now()
	// The steady clock stands still while a machine is suspended, the time of day may be set.
	age := max(now.Sub(sentAt), now.Round(0).Sub(sentAt.Round(0)))
	header := http.Header{eelgrasspoint.HeaderWithdraw: {strconv.FormatInt(age.Milliseconds()+1, 10)}}
	propagator.WriteKey(header, meta)
	response, err := d.ask(http.MethodPost, d.renewer.Host(candidate.PeerAddress), header)
	return err == nil && response.Header.Get(eelgrasspoint.HeaderWithdraw) != ""
}

// ask sends a request without a body that is no attempt, and returns the head of the response.
func (d *Dispatcher) ask(method, host string, header http.Header) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), eelgrasspoint.PeerProbeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+host+"/", http.NoBody)
	if err != nil {
		return nil, err
	}
	request.Header = header
	response, err := d.transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	return response, response.Body.Close()
}
