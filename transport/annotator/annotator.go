// Package annotator adds the outcome header to the responses that net/http writes itself, before any
// handler sees the request: a malformed request line, headers past every bound.
package annotator

import (
	"bytes"
	"net"

	"eelgrasspoint"
)

// Annotator is a listener whose connections annotate such responses.
type Annotator struct{ net.Listener }

// New returns an annotator over a listener.
func New(listener net.Listener) *Annotator { return &Annotator{Listener: listener} }

// Accept implements net.Listener.
func (m *Annotator) Accept() (net.Conn, error) {
	conn, err := m.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &markedConn{Conn: conn}, nil
}

// What net/http writes in one piece when it answers by itself. Answers of handlers carry the
// outcome and are never written so.
var (
	ownAnswer  = []byte("HTTP/1.1 ")
	ownHeaders = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")
	mark       = []byte("\r\n" + eelgrasspoint.HeaderOutcome + ": NotRun")
)

// maxStatusLine bounds where the headers of such an answer begin, in bytes.
const maxStatusLine = 80

type markedConn struct{ net.Conn }

// Write implements net.Conn.
func (c *markedConn) Write(p []byte) (int, error) {
	if !bytes.HasPrefix(p, ownAnswer) {
		return c.Conn.Write(p)
	}
	end := bytes.Index(p[:min(len(p), maxStatusLine+len(ownHeaders))], ownHeaders)
	if end < 0 {
		return c.Conn.Write(p)
	}
	marked := append(append(bytes.Clone(p[:end]), mark...), p[end:]...)
	if _, err := c.Conn.Write(marked); err != nil {
		return 0, err
	}
	return len(p), nil
}

// CloseWrite ends the writing side, which lets net/http deliver its last answer.
func (c *markedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
