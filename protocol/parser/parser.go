// Package parser implements the load balancer's own header contract with callers and backend servers.
package parser

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"eelgrasspoint"
)

// Parse reads the options in the headers of a caller's request. The options always have a request ID, even
// with an error; it is generated if the caller's is missing or too long.
func Parse(r *http.Request) (eelgrasspoint.CallOptions, *eelgrasspoint.OutcomeError) {
	options := eelgrasspoint.CallOptions{Client: r.Header.Get(eelgrasspoint.HeaderClient)}
	var err *eelgrasspoint.OutcomeError
	if options.RequestID, err = requestID(r.Header); err != nil {
		return options, err
	}
	if headerBytes(r) > eelgrasspoint.MaxHeaderBytes {
		detail := fmt.Sprintf("the request URI and headers have more than %d bytes", eelgrasspoint.MaxHeaderBytes)
		return options, eelgrasspoint.Refuse(eelgrasspoint.HeaderTooLarge, detail)
	}
	if options.Timeout, err = timeout(r.Header); err != nil {
		return options, err
	}
	options.Depth, err = depth(r.Header)
	return options, err
}

func requestID(header http.Header) (string, *eelgrasspoint.OutcomeError) {
	id := header.Get(eelgrasspoint.HeaderRequestID)
	if id == "" {
		return uuid.NewString(), nil
	}
	if len(id) > eelgrasspoint.MaxRequestIDBytes {
		detail := fmt.Sprintf("%s: the request ID has more than %d bytes", eelgrasspoint.HeaderRequestID, eelgrasspoint.MaxRequestIDBytes)
		return uuid.NewString(), eelgrasspoint.Refuse(eelgrasspoint.BadHeader, detail)
	}
	return id, nil
}

func timeout(header http.Header) (time.Duration, *eelgrasspoint.OutcomeError) {
	text := header.Get(eelgrasspoint.HeaderTimeout)
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		detail := fmt.Sprintf("%s: %q is not a positive duration such as 250ms", eelgrasspoint.HeaderTimeout, text)
		return 0, eelgrasspoint.Refuse(eelgrasspoint.BadHeader, detail)
	}
	if d == 0 {
		return 0, eelgrasspoint.Refuse(eelgrasspoint.DeadlinePassed, "")
	}
	return d, nil
}

// depth returns the depth of this call in a chain of nested calls: one more than the header's value, or 1
// without the header.
func depth(header http.Header) (int, *eelgrasspoint.OutcomeError) {
	text := header.Get(eelgrasspoint.HeaderDepth)
	if text == "" {
		return 1, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		detail := fmt.Sprintf("%s: %q is not a call depth; expected a non-negative integer", eelgrasspoint.HeaderDepth, text)
		return 0, eelgrasspoint.Refuse(eelgrasspoint.BadHeader, detail)
	}
	if n >= eelgrasspoint.MaxDepth {
		return n, eelgrasspoint.Refuse(eelgrasspoint.TooDeep, fmt.Sprintf("more than %d nested calls", eelgrasspoint.MaxDepth))
	}
	return n + 1, nil
}

// headerBytes returns the bytes of the request URI and of the names and values of all headers.
func headerBytes(r *http.Request) int {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value)
		}
	}
	return n
}
