// Package responder writes the error responses that the node itself generates.
package responder

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"eelgrasspoint"
)

// ErrorResponse is the JSON body of an error response.
type ErrorResponse struct {
	Outcome   string
	Reason    string
	RequestID string `json:"RequestId"`
	Detail    string `json:",omitempty"`
}

// retryAfter returns the pause in Retry-After for a reason if the error sets none.
func retryAfter(reason eelgrasspoint.Reason) time.Duration {
	switch reason {
	case eelgrasspoint.Overloaded, eelgrasspoint.HangingServer, eelgrasspoint.SlowServer, eelgrasspoint.RejectedByServer:
		return eelgrasspoint.BusyRetryAfter
	default:
		return eelgrasspoint.DefaultRetryAfter
	}
}

// Write sends a response with the outcome, reason and detail of the error. A response with status 503 also
// has Retry-After.
func Write(w http.ResponseWriter, contract eelgrasspoint.Contract, requestID string, err *eelgrasspoint.OutcomeError) {
	body, _ := json.Marshal(ErrorResponse{
		Outcome:   err.Outcome.String(),
		Reason:    err.Reason.String(),
		RequestID: requestID,
		Detail:    err.Detail,
	})
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(eelgrasspoint.HeaderOutcome, err.Outcome.String())
	header.Set(eelgrasspoint.HeaderRequestID, requestID)
	status := eelgrasspoint.Status(err.Outcome, err.Reason)
	if status == http.StatusServiceUnavailable {
		pause := err.RetryAfter
		if pause == 0 {
			pause = retryAfter(err.Reason)
		}
		header.Set("Retry-After", contract.RetryAfter(pause))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
