package executor

import (
	"net/http"

	"eelgrasspoint"
	"eelgrasspoint/transport/dialer"
)

// replaceTransport makes a transport for the backend server and closes the idle connections to the earlier
// incarnation.
func (e *Executor) replaceTransport(backend *eelgrasspoint.BackendServer) {
	if e.transport != nil {
		go e.transport.CloseIdleConnections()
	}
	e.transport = newTransport(dialer.New(e.options.Dial).DialContext, backend)
}

func newTransport(dial dialer.Func, backend *eelgrasspoint.BackendServer) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		DisableCompression:  true,
		MaxConnsPerHost:     int(backend.Connections),
		MaxIdleConnsPerHost: int(backend.Connections),
		// A connection that was idle for long may be dead; a new one costs about a millisecond.
		IdleConnTimeout:        eelgrasspoint.BackendIdleTimeout,
		MaxResponseHeaderBytes: eelgrasspoint.MaxAnswerHeaderBytes,
	}
}
