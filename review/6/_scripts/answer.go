package main

import (
	"fmt"
	"net/http"
)

// format returns an answer of an instance. It echoes the identifier if the request had one.
func format(status int, id, headers, body string) []byte {
	if id != "" {
		headers = wire.Headers.RequestID + ": " + id + "\r\n" + headers
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headers, len(body), body)
}

// doneAnswer returns the body of the answer to a request.
func doneAnswer(id string) string { return "done " + id + "\n" }
