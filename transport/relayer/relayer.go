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

// Relay writes the whole response with its trailers. If the response ends early or can't be written, the error
// is an *eelgrasspoint.AnswerCutShortError. If its Begun is set, the handler must then panic with
// http.ErrAbortHandler: net/http aborts its own response, so that a truncated response is not taken for a complete
// one. Otherwise nothing was written, and the handler can answer instead.
func (r *Relayer) Relay(w http.ResponseWriter, response *http.Response) error {
	defer response.Body.Close()
	buffer := r.buffers.Get().(*[]byte)
	defer r.buffers.Put(buffer)
	first, firstErr := readFirst(response, *buffer)
	if firstErr != nil && firstErr != io.EOF && first == 0 {
		return &eelgrasspoint.AnswerCutShortError{Side: eelgrasspoint.ServerSide, Cause: firstErr}
	}
	copyHeader(w.Header(), response.Header)
	stripTrailers(response.Trailer)
	announceTrailers(w.Header(), response.Trailer)
	w.WriteHeader(response.StatusCode)
	if err := copyBody(w, response, *buffer, first, firstErr); err != nil {
		return err
	}
	stripTrailers(response.Trailer)
	for name, values := range response.Trailer {
		w.Header()[name] = values
	}
	return nil
}

// readFirst reads the first part of a body, so that an answer without one is not begun. It reads nothing of an
// event stream.
func readFirst(response *http.Response, buffer []byte) (int, error) {
	if eelgrasspoint.IsEventStream(response.Header) {
		return 0, nil
	}
	return response.Body.Read(buffer)
}

// copyBody copies the body, of which n bytes are in the buffer already, or returns an
// *eelgrasspoint.AnswerCutShortError; err is the result of reading them. A body of unknown length may be a stream;
// each part of it is flushed, so that it arrives without delay.
func copyBody(w http.ResponseWriter, response *http.Response, buffer []byte, n int, err error) error {
	unknownLength := response.ContentLength < 0
	responseController := http.NewResponseController(w)
	var relayed int64
	for {
		if writeErr := writePart(w, responseController, buffer[:n], unknownLength); writeErr != nil {
			return &eelgrasspoint.AnswerCutShortError{Side: eelgrasspoint.CallerSide, Begun: true, Bytes: relayed, Cause: writeErr}
		}
		relayed += int64(n)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return &eelgrasspoint.AnswerCutShortError{Side: eelgrasspoint.ServerSide, Begun: true, Bytes: relayed, Cause: err}
		}
		n, err = response.Body.Read(buffer)
	}
}

func writePart(w http.ResponseWriter, controller *http.ResponseController, part []byte, flush bool) error {
	if len(part) == 0 {
		return nil
	}
	if _, err := w.Write(part); err != nil {
		return err
	}
	if flush {
		return controller.Flush()
	}
	return nil
}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
}

// stripTrailers removes the trailers that frame a message, which recipients reject (RFC 9110, section 6.5.1).
// The trailers of a response may become known only at the end of its body.
func stripTrailers(trailer http.Header) {
	StripHopByHop(trailer)
	trailer.Del("Content-Length")
}

func announceTrailers(header, trailer http.Header) {
	for name := range trailer {
		header.Add("Trailer", name)
	}
}
