package router

import (
	"encoding/hex"
	"strings"
)

// decodedPath returns an escaped path in the form in which paths and prefixes are compared: decoded, except for escaped
// slashes, which separate no segments, and for the percent sign. A percent sign that begins no escape stands for itself.
func decodedPath(escaped string) string {
	if strings.IndexByte(escaped, '%') < 0 {
		return escaped
	}
	var path strings.Builder
	for i := 0; i < len(escaped); i++ {
		if escaped[i] != '%' {
			path.WriteByte(escaped[i])
			continue
		}
		decoded, found := decodedByte(escaped[i+1:])
		if found {
			i += escapeDigits
		}
		switch decoded {
		case '/':
			path.WriteString("%2F")
		case '%':
			path.WriteString("%25")
		default:
			path.WriteByte(decoded)
		}
	}
	return path.String()
}

// escapeDigits is the number of hexadecimal digits after the percent sign of an escape.
const escapeDigits = 2

// decodedByte returns the byte of an escape, given what follows its percent sign, or the percent sign if that begins no
// escape.
func decodedByte(rest string) (decoded byte, found bool) {
	if len(rest) < escapeDigits {
		return '%', false
	}
	digits, err := hex.DecodeString(rest[:escapeDigits])
	if err != nil {
		return '%', false
	}
	return digits[0], true
}
