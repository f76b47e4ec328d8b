// Package inspector checks the heads of answers in HTTP/1 as their bytes arrive. net/http accepts some that are
// malformed, and then decides by itself what their lines mean, which may be where the answer ends.
package inspector

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
)

// Inspector checks the head of one answer, with the informational answers before it. The zero value is ready.
type Inspector struct {
	state state
	// line is the part that was read of the status line or of a name.
	line []byte
	// version and status are those of the status line.
	version, status string
	fields          int
}

// state is the part of a head that the next byte belongs to.
type state int

const (
	inStatusLine state = iota
	inLineStart
	inName
	inValue
	// inLineEnd is between CR and LF.
	inLineEnd
	// inHeadEnd is between CR and LF of the empty line.
	inHeadEnd
	ended
)

// Kept bytes of a line.
const (
	// statusLineBytes is the length of a status line without its reason.
	statusLineBytes = len("HTTP/1.1 200")
	// maxNameBytes bounds the begin of a name that is kept.
	maxNameBytes = 32
)

// MalformedHeadError is returned for a head that no recipient should read.
type MalformedHeadError struct{ Detail string }

// Error implements error.
func (e *MalformedHeadError) Error() string { return "malformed head of an answer: " + e.Detail }

// Inspect checks the next bytes of the head, or returns a *MalformedHeadError. It ignores what follows the head.
func (i *Inspector) Inspect(p []byte) error {
	for _, b := range p {
		if i.state == ended {
			return nil
		}
		if err := i.next(b); err != nil {
			return err
		}
	}
	return nil
}

// Ended reports whether the head of the final answer has ended.
func (i *Inspector) Ended() bool { return i.state == ended }

func (i *Inspector) next(b byte) error {
	switch i.state {
	case inStatusLine:
		return i.statusLine(b)
	case inLineStart:
		return i.lineStart(b)
	case inName:
		return i.name(b)
	case inValue:
		return i.value(b)
	case inLineEnd, inHeadEnd:
		return i.lineEnd(b)
	default:
		return nil
	}
}

// statusLine keeps the begin of the line; the reason may be left out.
func (i *Inspector) statusLine(b byte) error {
	if i.status != "" {
		return i.value(b)
	}
	if b != '\r' && b != '\n' && len(i.line) < statusLineBytes {
		i.line = append(i.line, b)
		return nil
	}
	if err := i.readStatusLine(); err != nil {
		return err
	}
	if b != ' ' && b != '\r' && b != '\n' {
		return malformed("a status of more than three digits")
	}
	return i.value(b)
}

func (i *Inspector) readStatusLine() error {
	version, status, _ := strings.Cut(string(i.line), " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return malformed("the version %q", version)
	}
	if len(status) != 3 || strings.Trim(status, "0123456789") != "" {
		return malformed("the status %q", status)
	}
	i.version, i.status, i.line = version, status, i.line[:0]
	return nil
}

func (i *Inspector) lineStart(b byte) error {
	switch b {
	case '\r':
		i.state = inHeadEnd
		return nil
	case '\n':
		i.endHead()
		return nil
	case ' ', '\t':
		if i.fields == 0 {
			return malformed("a blank before the first field")
		}
		i.state = inValue
		return nil
	}
	i.state, i.line = inName, i.line[:0]
	i.fields++
	return i.name(b)
}

func (i *Inspector) name(b byte) error {
	if b != ':' {
		if !isTokenByte(b) {
			return malformed("the byte %q in the name of a field", b)
		}
		if len(i.line) < maxNameBytes {
			i.line = append(i.line, b)
		}
		return nil
	}
	if len(i.line) == 0 {
		return malformed("a field without a name")
	}
	// HTTP/1.0 has no transfer codings: what they frame would be passed on as the body.
	if i.version == "HTTP/1.0" && bytes.EqualFold(i.line, []byte("Transfer-Encoding")) {
		return malformed("Transfer-Encoding in HTTP/1.0")
	}
	i.state = inValue
	return nil
}

// value checks a byte of a value, or of the reason in a status line.
func (i *Inspector) value(b byte) error {
	switch {
	case b == '\r':
		i.state = inLineEnd
	case b == '\n':
		i.state = inLineStart
	case b < ' ' && b != '\t' || b == 0x7f:
		return malformed("the control byte %q in a line", b)
	}
	return nil
}

func (i *Inspector) lineEnd(b byte) error {
	if b != '\n' {
		return malformed("a carriage return within a line")
	}
	if i.state == inHeadEnd {
		i.endHead()
		return nil
	}
	i.state = inLineStart
	return nil
}

// endHead ends the head, unless it is of an informational answer, which another one follows.
func (i *Inspector) endHead() {
	if i.status[0] != '1' || i.status == "101" {
		i.state = ended
		return
	}
	*i = Inspector{line: i.line[:0]}
}

func malformed(format string, arguments ...any) error {
	return &MalformedHeadError{Detail: fmt.Sprintf(format, arguments...)}
}

// isTokenByte reports whether a name may contain the byte (RFC 9110, section 5.6.2).
func isTokenByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	default:
		return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
	}
}

// InspectTrailers returns a *MalformedHeadError if a name or a value of trailers, as net/http read them, is malformed.
func InspectTrailers(trailers http.Header) error {
	for name, values := range trailers {
		var i Inspector
		field := name + ":" + strings.Join(values, "\t") + "\r\n"
		i.state, i.version = inLineStart, "HTTP/1.1"
		if err := i.Inspect([]byte(field)); err != nil {
			return err
		}
	}
	return nil
}
