// Package annotator adds the outcome header to the error responses that net/http writes before it calls a
// handler, for example for a malformed request line or for headers over the limit.
package annotator

import (
	"bytes"
	"net"

	"eelgrasspoint"
)

// Annotator is a listener whose connections add the outcome header to the error responses that net/http writes
// without a handler.
type Annotator struct{ net.Listener }

// New returns an annotator over a listener.
func New(listener net.Listener) *Annotator { return &Annotator{Listener: listener} }

// Accept implements net.Listener.
func (a *Annotator) Accept() (net.Conn, error) {
	conn, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &annotatingConn{Conn: conn}, nil
}

// Parts of an error response of net/http, which writes it in one piece. A handler's response, which has the
// outcome header already, may contain errorHeaders too, but after Date and the outcome header and so at an offset
// above maxStatusLineBytes. Write doesn't change it.
var (
	statusLinePrefix = []byte("HTTP/1.1 ")
	errorHeaders     = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")
	outcomeHeader    = []byte("\r\n" + eelgrasspoint.HeaderOutcome + ": NotRun")
)

// maxStatusLineBytes bounds the offset of errorHeaders in an error response, where only the status line precedes
// them. Write doesn't search the response of a handler any further.
const maxStatusLineBytes = 80

// annotatingConn adds the outcome header to the error responses of net/http.
type annotatingConn struct{ net.Conn }

// Write writes p, with the outcome header added if p is an error response of net/http.
func (c *annotatingConn) Write(p []byte) (int, error) {
	if !bytes.HasPrefix(p, statusLinePrefix) {
		return c.Conn.Write(p)
	}
	end := bytes.Index(p[:min(len(p), maxStatusLineBytes+len(errorHeaders))], errorHeaders)
	if end < 0 {
		return c.Conn.Write(p)
	}
	annotated := append(append(bytes.Clone(p[:end]), outcomeHeader...), p[end:]...)
	if _, err := c.Conn.Write(annotated); err != nil {
		return 0, err
	}
	return len(p), nil
}

// SetLinger passes on the call to a TCP connection.
func (c *annotatingConn) SetLinger(seconds int) error {
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return conn.SetLinger(seconds)
	}
	return nil
}

// CloseWrite closes the write side. net/http calls it before it closes a connection, so that the caller can
// still read the last response.
func (c *annotatingConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}
