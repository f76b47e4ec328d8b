package forwarder_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
)

// lostBody fails at once.
type lostBody struct{}

func (lostBody) Read([]byte) (int, error) { return 0, errors.New("connection reset by peer") }
func (lostBody) Close() error             { return nil }

// TestAnswerLostAfterItsHeadGetsError guards against a closed connection in place of an answer: the answer was too
// long to be buffered, and its body was lost from the first byte on.
func TestAnswerLostAfterItsHeadGetsError(t *testing.T) {
	e := newEntry(&eelgrasspoint.Route{}, map[string]attemptFunc{
		entryNode: func(context.Context, *eelgrasspoint.Attempt) (*eelgrasspoint.Answer, error) {
			response := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: lostBody{}, ContentLength: 1 << 20}
			return &eelgrasspoint.Answer{Response: response}, nil
		},
	})
	server := httptest.NewServer(e.handler)
	defer server.Close()
	response, err := http.Get(server.URL)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Equal(t, response.Header.Get(eelgrasspoint.HeaderOutcome), eelgrasspoint.MayHaveRun.String())
	_, err = io.ReadAll(response.Body)
	assert.NilError(t, err)
}
