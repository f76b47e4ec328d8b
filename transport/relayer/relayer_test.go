package relayer_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/transport/relayer"
)

// brokenBody fails after its text.
type brokenBody struct{ io.Reader }

func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (brokenBody) Close() error { return nil }

// closedWriter fails as if the caller had closed its connection.
type closedWriter struct{ http.ResponseWriter }

func (closedWriter) Write([]byte) (int, error) { return 0, errors.New("connection reset by peer") }

// TestCutShortAnswerTellsItsSide guards against a truncated answer of which the log can't tell whether the
// backend server or the caller broke off.
func TestCutShortAnswerTellsItsSide(t *testing.T) {
	cases := []struct {
		name   string
		body   io.ReadCloser
		writer http.ResponseWriter
		side   eelgrasspoint.AnswerSide
		bytes  int64
	}{
		{"server", brokenBody{strings.NewReader("half")}, httptest.NewRecorder(), eelgrasspoint.ServerSide, 4},
		{"caller", io.NopCloser(strings.NewReader("half")), closedWriter{httptest.NewRecorder()}, eelgrasspoint.CallerSide, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := relayer.New().Relay(c.writer, &http.Response{StatusCode: http.StatusOK, ContentLength: 8, Body: c.body})
			var cutShort *eelgrasspoint.AnswerCutShortError
			assert.Assert(t, errors.As(err, &cutShort), "%v", err)
			assert.Equal(t, cutShort.Side, c.side)
			assert.Equal(t, cutShort.Bytes, c.bytes)
			assert.Assert(t, cutShort.Begun)
		})
	}
}

// TestAnswerWithoutBodyIsNotBegun guards against a caller whose connection is closed without an answer, because the
// answer was lost after its head.
func TestAnswerWithoutBodyIsNotBegun(t *testing.T) {
	w := httptest.NewRecorder()
	err := relayer.New().Relay(w, &http.Response{
		StatusCode: http.StatusOK, ContentLength: 1 << 20, Header: http.Header{"X-Lost": {"1"}}, Body: brokenBody{strings.NewReader("")},
	})
	var cutShort *eelgrasspoint.AnswerCutShortError
	assert.Assert(t, errors.As(err, &cutShort), "%v", err)
	assert.Assert(t, !cutShort.Begun)
	assert.Equal(t, len(w.Header()), 0)
}
