package executor_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/admitter"
	"eelgrasspoint/coordination/executor"
	"eelgrasspoint/coordination/limiter"
	"eelgrasspoint/coordination/quarantiner"
	"eelgrasspoint/protocol/parser"
	"eelgrasspoint/state/holder"
	"eelgrasspoint/state/recorder"
)

// panickingContract panics when it reads an answer.
type panickingContract struct{ parser.Parser }

func (panickingContract) ReadAnswer(*http.Response, *eelgrasspoint.RequestMetadata) (eelgrasspoint.AnswerMetadata, error) {
	panic("fault")
}

// TestPanicReleasesSlot guards against a backend server that gets no more requests after some panics, because each
// kept a slot.
func TestPanicReleasesSlot(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := executor.New(executor.Options{
		Holder: holder.New(&eelgrasspoint.Snapshot{
			Self: eelgrasspoint.Member{Name: "n", Region: "r"}, Configuration: &eelgrasspoint.Configuration{Revision: eelgrasspoint.Revision{Version: 1}},
		}),
		Admitter: admitter.New(limiter.NewFixed(4), time.Now), Quarantiner: quarantiner.New(time.Now),
		Recorder: recorder.New("n", time.Now, log), Clock: time.Now, Dial: (&net.Dialer{}).DialContext,
		Contract: panickingContract{parser.New()}, CountCheck: func() {}, CountArrival: func() {},
	})
	defer e.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	e.SetBackend(&eelgrasspoint.BackendServer{Service: "s", Address: address, Incarnation: 1, Slots: 4, Connections: 4})
	for range 3 {
		func() {
			defer func() { assert.Equal(t, recover(), "fault") }()
			_, _ = e.RoundTrip(t.Context(), nil, newAttempt(false, 0))
		}()
	}
	assert.Equal(t, e.Load().InUse, uint32(0))
}
