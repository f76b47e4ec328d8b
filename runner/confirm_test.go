package runner_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/protocol/parser"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/runner"
	"eelgrasspoint/state/loader"
	"eelgrasspoint/state/storer"
)

// identifierHeader names the backend server in answers to health checks.
const identifierHeader = "Identifier"

// identifyingContract is the contract of package parser with backend servers that name themselves in health checks.
type identifyingContract struct{ eelgrasspoint.Contract }

func (c identifyingContract) ReadHealth(response *http.Response) eelgrasspoint.Health {
	health := c.Contract.ReadHealth(response)
	health.ID = response.Header.Get(identifierHeader)
	return health
}

// startAnnouncedNode starts a node and returns it with the function that applies announcements. Its configuration has the
// service bench with health checks.
func startAnnouncedNode(t *testing.T) (*runner.Runner, func(context.Context, eelgrasspoint.Announcement) error) {
	t.Helper()
	listeners := make(openListeners)
	settings := &loader.Settings{
		Name: "n", Cluster: "stage", Region: "almaty", AvailabilityZone: "almaty-a", PlatformRegion: "almaty",
		CallerAddress: listeners.open(t), PeerAddress: listeners.open(t), ControlAddress: listeners.open(t),
		LogLevel: "debug", ColdOvershoot: 1, MaxBodyBytes: 1 << 20, StopTimeout: time.Second, Service: "bench",
	}
	settings.AdvertisedAddress = settings.PeerAddress
	log := logrus.New()
	log.SetOutput(io.Discard)
	table := storer.New()
	var announce func(context.Context, eelgrasspoint.Announcement) error
	node := runner.New(runner.Options{
		Settings: settings, Dial: (&net.Dialer{}).DialContext, Listen: listeners.listen, Log: log, Clock: time.Now, Seed: 1,
		Table:    func(func(call, result string)) eelgrasspoint.Table { return table },
		Contract: identifyingContract{parser.New()}, TellsLoad: true,
		Announcements: func(f func(context.Context, eelgrasspoint.Announcement) error, _ eelgrasspoint.Recorder) http.Handler {
			announce = f
			return http.NotFoundHandler()
		},
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		assert.Check(t, node.Run(context.Background()) == nil)
	}()
	t.Cleanup(func() {
		node.Abort()
		<-done
	})
	operators := schema.NewOperatorsProtobufClient("http://"+settings.ControlAddress.String(), &http.Client{})
	response, err := operators.Apply(t.Context(), &schema.ApplyRequest{Put: &schema.Document{
		Regions:           []*schema.Region{{Name: "almaty"}},
		AvailabilityZones: []*schema.AvailabilityZone{{Name: "almaty-a", Region: "almaty"}},
		Services:          []*schema.Service{{Name: "bench", HealthPath: "/health"}},
		Routes:            []*schema.Route{{Name: "rest", PathPrefix: "/", Service: "bench", Kind: "booking", TimeLimit: durationpb.New(time.Second)}},
	}})
	assert.NilError(t, err)
	assert.Equal(t, response.GetResult(), schema.ApplyResult_APPLY_RESULT_ACCEPTED, "%v", response)
	return node, announce
}

// TestFirstServerIsAskedWhetherItLeaves guards against a server that has left and is used by a process that cannot know it, and
// against one that is not used though it denies that it leaves.
func TestFirstServerIsAskedWhetherItLeaves(t *testing.T) {
	const id = "a"
	cases := []struct {
		name     string
		status   int
		answerer string
		leaving  bool
		used     bool
	}{
		{"healthy", http.StatusOK, id, false, true},
		{"unhealthy", http.StatusServiceUnavailable, id, false, false},
		{"healthy, and says that it leaves", http.StatusOK, id, true, false},
		{"another server answers", http.StatusOK, "b", false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(identifierHeader, c.answerer)
				if c.leaving {
					w.Header().Set(eelgrasspoint.HeaderLeaving, "1")
				}
				w.WriteHeader(c.status)
			}))
			defer server.Close()
			node, announce := startAnnouncedNode(t)
			assert.NilError(t, announce(t.Context(), eelgrasspoint.Announcement{
				ID: id, Incarnation: uint64(time.Now().Add(-time.Minute).UnixMilli()), Sequence: 7,
				Backend: &eelgrasspoint.BackendServer{
					ID: id, Service: "bench", Slots: 4, Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")),
				},
			}))
			time.Sleep(2 * time.Second)
			assert.Equal(t, node.View().Self.BackendServer != nil, c.used)
			assert.Equal(t, len(node.View().Self.Departures) > 0, c.leaving)
		})
	}
}
