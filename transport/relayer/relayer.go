// Package relayer copies responses from a backend server or an exit node to the caller or the entry
// node.
package relayer

import (
	"io"
	"net/http"
	"strings"
	"sync"

	"eelgrasspoint"
)

// Relayer copies responses. It is made by New and safe for concurrent use.
type Relayer struct{ buffers sync.Pool }

// New returns a relayer.
func New() *Relayer {
	return &Relayer{buffers: sync.Pool{New: func() any {
		b := make([]byte, eelgrasspoint.RelayBufferBytes)
		return &b
	}}}
}

// hopByHopHeaders apply to one connection only and are not forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHopByHop removes the hop-by-hop headers, including those that the Connection header names.
func StripHopByHop(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// Relay writes the whole response with its trailers. If the response is cut short or can't be written, Relay
// panics with http.ErrAbortHandler; net/http then aborts its own response, so that a truncated response is
// not taken for a complete one.
func (r *Relayer) Relay(w http.ResponseWriter, response *http.Response) {
	defer response.Body.Close()
	copyHeader(w.Header(), response.Header)
	announceTrailers(w.Header(), response.Trailer)
	if hasNoBody(response.StatusCode) {
		// HTTP/2 takes the stated length for that of a body that is missing.
		w.Header().Del("Content-Length")
	}
	w.WriteHeader(response.StatusCode)
	if !r.copyBody(w, response) {
		panic(http.ErrAbortHandler)
	}
	for name, values := range response.Trailer {
		w.Header()[name] = values
	}
}

// hasNoBody reports whether an answer with the status has no body, whatever its headers state.
func hasNoBody(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified
}

// copyBody reports whether it copied the whole body. A body of unknown length may be a stream; each
// part of it is flushed, so that it arrives without delay.
func (r *Relayer) copyBody(w http.ResponseWriter, response *http.Response) bool {
	buffer := r.buffers.Get().(*[]byte)
	defer r.buffers.Put(buffer)
	unknownLength := response.ContentLength < 0
	responseController := http.NewResponseController(w)
	for {
		n, err := response.Body.Read(*buffer)
		if n > 0 {
			if _, writeErr := w.Write((*buffer)[:n]); writeErr != nil {
				return false
			}
			if unknownLength && responseController.Flush() != nil {
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

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
}

func announceTrailers(header, trailer http.Header) {
	for name := range trailer {
		header.Add("Trailer", name)
	}
}
