// Package relayer copies a backend server's answer to the one who asked.
package relayer

import (
	"io"
	"net/http"
	"strings"
	"sync"

	"eelgrasspoint"
)

// Relayer copies answers. Its zero value serves; it is safe for concurrent use.
type Relayer struct{ buffers sync.Pool }

// New returns a relayer.
func New() *Relayer {
	return &Relayer{buffers: sync.Pool{New: func() any {
		b := make([]byte, eelgrasspoint.RelayBufferBytes)
		return &b
	}}}
}

// hopHeaders belong to one connection and are not passed on (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHopByHop removes the hop-by-hop headers.
func StripHopByHop(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// Relay writes the whole answer. An answer that breaks off breaks off for the reader too:
// Relay then panics with http.ErrAbortHandler, which net/http takes as that order.
func (r *Relayer) Relay(w http.ResponseWriter, response *http.Response) {
	defer response.Body.Close()
	copyHeader(w.Header(), response.Header)
	announceTrailers(w.Header(), response.Trailer)
	w.WriteHeader(response.StatusCode)
	if !r.copyBody(w, response) {
		panic(http.ErrAbortHandler)
	}
	for name, values := range response.Trailer {
		w.Header()[name] = values
	}
}

func (r *Relayer) copyBody(w http.ResponseWriter, response *http.Response) bool {
	buffer := r.buffers.Get().(*[]byte)
	defer r.buffers.Put(buffer)
	stream := response.ContentLength < 0
	controller := http.NewResponseController(w)
	for {
		n, err := response.Body.Read(*buffer)
		if n > 0 {
			if _, writeErr := w.Write((*buffer)[:n]); writeErr != nil {
				return false
			}
			if stream && controller.Flush() != nil {
				return false
			}
		}
		if err == io.EOF {
			return true
		}
		if err != nil {
			return false
		}
	}
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

func announceTrailers(header, trailer http.Header) {
	for name := range trailer {
		header.Add("Trailer", name)
	}
}
