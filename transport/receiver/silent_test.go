package receiver_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/router"
	"eelgrasspoint/coordination/withdrawer"
	"eelgrasspoint/protocol/parser"
	"eelgrasspoint/protocol/propagator"
	"eelgrasspoint/state/budgeter"
	"eelgrasspoint/state/holder"
	"eelgrasspoint/state/recorder"
	"eelgrasspoint/transport/receiver"
)

// readingExecutor reads the whole body of an attempt, also after its context has ended, as net/http's client does.
type readingExecutor struct{}

func (readingExecutor) RoundTrip(ctx context.Context, _ *eelgrasspoint.Candidate, attempt *eelgrasspoint.Attempt) (*eelgrasspoint.Answer, error) {
	_, err := io.Copy(io.Discard, attempt.Body)
	return nil, &eelgrasspoint.OutcomeError{Outcome: eelgrasspoint.MayHaveRun, Reason: eelgrasspoint.LostReason(ctx), Detail: err.Error()}
}

// TestSilentEntryNodeHoldsNoAttempt guards against an attempt that outlasts its deadline, with its slot, because the
// rest of its body never comes.
func TestSilentEntryNodeHoldsNoAttempt(t *testing.T) {
	configuration := &eelgrasspoint.Configuration{Revision: eelgrasspoint.Revision{Version: 1}, Document: eelgrasspoint.Document{
		Routes: []eelgrasspoint.Route{{Name: "all", PathPrefix: "/", Service: "s"}},
	}}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	exitNode := httptest.NewUnstartedServer(receiver.New(receiver.Options{
		Withdrawer: withdrawer.New(time.Now),
		Holder:     holder.New(&eelgrasspoint.Snapshot{Configuration: configuration, Router: router.New(&configuration.Document)}),
		Executor:   readingExecutor{}, Contract: parser.New(), Clock: time.Now,
		Load: func() eelgrasspoint.Load { return eelgrasspoint.Load{} }, Count: func(string, int) {},
		Measuring: budgeter.New(1000, time.Now), Recorder: recorder.New("exit", time.Now, logrus.New()),
	}))
	exitNode.Config.Protocols = protocols
	exitNode.Start()
	defer exitNode.Close()
	body, writer := io.Pipe()
	defer writer.Close()
	go func() { _, _ = writer.Write([]byte("ab")) }()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, exitNode.URL+"/1", body)
	assert.NilError(t, err)
	meta := &eelgrasspoint.RequestMetadata{Route: "all", Service: "s", Revision: eelgrasspoint.Revision{Version: 1}, Deadline: time.Now().Add(200 * time.Millisecond)}
	propagator.Write(request.Header, meta, time.Now())
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}, Timeout: time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.Header.Get(eelgrasspoint.HeaderReason), eelgrasspoint.TimedOut.String())
}
