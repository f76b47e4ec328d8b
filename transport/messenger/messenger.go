// Package messenger carries the calls of the Exchange service to other nodes.
package messenger

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/transport/dialer"
	"eelgrasspoint/transport/dispatcher"
	"eelgrasspoint/transport/renewer"
)

// Messenger is an http.RoundTripper over HTTP/2 without TLS. Its connections may be dead without having been closed,
// so a call without a response for ExchangeResendAfter is sent once more, on a new connection, which later calls use
// as well. The first response counts. All calls of the service can be repeated. Responses may be compressed; reading one fails
// beyond MaxExchangeAnswerBytes. It is safe for concurrent use.
type Messenger struct {
	transport *http.Transport
	renewer   *renewer.Renewer
}

var _ http.RoundTripper = (*Messenger)(nil)

// New returns a messenger that opens its connections with dial.
func New(dial dialer.Func) *Messenger {
	r := renewer.New()
	transport := dispatcher.NewTransport(r.Dial(dial))
	transport.DisableCompression = false
	return &Messenger{transport: transport, renewer: r}
}

// NewWithoutReuse returns a messenger that closes each connection after its call: one that stays open would hold up the
// planned stop of the node that is called.
func NewWithoutReuse(dial dialer.Func) *Messenger {
	m := New(dial)
	m.transport.DisableKeepAlives = true
	return m
}

// RoundTrip implements http.RoundTripper. The host of the request's URL is an address and a port.
func (m *Messenger) RoundTrip(request *http.Request) (*http.Response, error) {
	address, err := netip.ParseAddrPort(request.URL.Host)
	if err != nil {
		return nil, err
	}
	host := m.renewer.Host(address)
	ended := make(chan *sending, 2)
	running := []*sending{m.start(request, host, ended)}
	timer := time.NewTimer(eelgrasspoint.ExchangeResendAfter)
	defer timer.Stop()
	for {
		select {
		case s := <-ended:
			running = without(running, s)
			if s.err == nil || len(running) == 0 {
				return s.choose(running, ended)
			}
		case <-timer.C:
			m.renewer.Renew(host)
			running = append(running, m.start(request, m.renewer.Host(address), ended))
		}
	}
}

// CloseIdleConnections closes the connections without a call; http.Client.CloseIdleConnections calls it.
func (m *Messenger) CloseIdleConnections() { m.transport.CloseIdleConnections() }

// start sends the request to the host; the sending arrives at ended when it has a response or an error.
func (m *Messenger) start(request *http.Request, host string, ended chan<- *sending) *sending {
	ctx, cancel := context.WithCancel(request.Context())
	s := &sending{cancel: cancel}
	go func() {
		s.response, s.err = m.send(ctx, request, host)
		ended <- s
	}()
	return s
}

func (m *Messenger) send(ctx context.Context, request *http.Request, host string) (*http.Response, error) {
	sent := request.Clone(ctx)
	sent.URL.Host = host
	if request.GetBody != nil {
		body, err := request.GetBody()
		if err != nil {
			return nil, err
		}
		sent.Body = body
	}
	return m.transport.RoundTrip(sent)
}
