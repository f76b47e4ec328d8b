package forwarder

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	"eelgrasspoint"
)

// prefetch reads a short answer whole before any of it goes to the caller, so that a request
// whose answer breaks off can still be sent elsewhere.
func (p *passage) prefetch(answer *eelgrasspoint.Answer) error {
	response := answer.Response
	stream := strings.HasPrefix(response.Header.Get("Content-Type"), eventStream)
	if stream || response.ContentLength > eelgrasspoint.MaxPrefetchBytes || p.request.Method == http.MethodHead {
		return nil
	}
	head, err := io.ReadAll(io.LimitReader(response.Body, eelgrasspoint.MaxPrefetchBytes))
	if err != nil {
		response.Body.Close()
		return err
	}
	response.Body = &headedBody{Reader: io.MultiReader(bytes.NewReader(head), response.Body), Closer: response.Body}
	return nil
}

// eventStream is the type of answers whose parts are wanted as they come.
const eventStream = "text/event-stream"

// headedBody is a body whose beginning was read already.
type headedBody struct {
	io.Reader
	io.Closer
}

// closeIfDue ends an HTTP/1.1 connection when the node stops, and after an answer that begins
// before the request's body has ended: net/http can't take the next request from it safely.
func (p *passage) closeIfDue(header http.Header) {
	unread := p.request.ContentLength != 0 && !p.body.AtEOF()
	if p.request.ProtoMajor == 1 && (unread || p.forwarder.Stopping()) {
		header["Connection"] = []string{"close"}
	}
}

// countedBody ends the count of the request at its candidate when the answer ends.
type countedBody struct {
	io.ReadCloser
	passage   *passage
	candidate *eelgrasspoint.Candidate
	began     time.Time
	ended     bool
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.passage.chargeLink(b.candidate, int64(n))
	return n, err
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	if !b.ended {
		b.ended = true
		b.candidate.Gauge.End(b.began)
	}
	return b.ReadCloser.Close()
}
