// Package parser reads the contract's headers from a caller's request.
package parser

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"eelgrasspoint"
)

// Parse reads the headers of a request. The call always has a request identifier.
func Parse(r *http.Request) (eelgrasspoint.CallOptions, *eelgrasspoint.OutcomeError) {
	call := eelgrasspoint.CallOptions{Client: r.Header.Get(eelgrasspoint.HeaderClient)}
	var err *eelgrasspoint.OutcomeError
	if call.RequestID, err = requestID(r.Header); err != nil {
		return call, err
	}
	if headerBytes(r) > eelgrasspoint.MaxHeaderBytes {
		detail := fmt.Sprintf("the headers have more than %d bytes", eelgrasspoint.MaxHeaderBytes)
		return call, eelgrasspoint.Refuse(eelgrasspoint.HeaderTooLarge, detail)
	}
	if call.Timeout, err = timeout(r.Header); err != nil {
		return call, err
	}
	call.Depth, err = depth(r.Header)
	return call, err
}

func requestID(header http.Header) (string, *eelgrasspoint.OutcomeError) {
	id := header.Get(eelgrasspoint.HeaderRequestID)
	if id == "" {
		return uuid.NewString(), nil
	}
	if len(id) > eelgrasspoint.MaxRequestIDBytes {
		detail := fmt.Sprintf("%s: has more than %d bytes", eelgrasspoint.HeaderRequestID, eelgrasspoint.MaxRequestIDBytes)
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
		detail := fmt.Sprintf("%s: %q is not a duration such as 250ms", eelgrasspoint.HeaderTimeout, text)
		return 0, eelgrasspoint.Refuse(eelgrasspoint.BadHeader, detail)
	}
	if d == 0 {
		return 0, eelgrasspoint.Refuse(eelgrasspoint.DeadlinePassed, "")
	}
	return d, nil
}

func depth(header http.Header) (int, *eelgrasspoint.OutcomeError) {
	text := header.Get(eelgrasspoint.HeaderDepth)
	if text == "" {
		return 1, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		detail := fmt.Sprintf("%s: %q is not a number of calls", eelgrasspoint.HeaderDepth, text)
		return 0, eelgrasspoint.Refuse(eelgrasspoint.BadHeader, detail)
	}
	if n >= eelgrasspoint.MaxDepth {
		return n, eelgrasspoint.Refuse(eelgrasspoint.TooDeep, fmt.Sprintf("more than %d calls deep", eelgrasspoint.MaxDepth))
	}
	return n + 1, nil
}

func headerBytes(r *http.Request) int {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value)
		}
	}
	return n
}
