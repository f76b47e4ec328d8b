package runner_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/protocol/parser"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/runner"
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
	var announce func(context.Context, eelgrasspoint.Announcement) error
	settings, node := startNodeWith(t, "n", storer.New(), func(options *runner.Options) {
		options.Settings.Service = "bench"
		options.Contract, options.TellsLoad = identifyingContract{parser.New()}, true
		options.Announcements = func(f func(context.Context, eelgrasspoint.Announcement) error, _ eelgrasspoint.Recorder) http.Handler {
			announce = f
			return http.NotFoundHandler()
		}
	})
	operators := schema.NewOperatorsProtobufClient("http://"+settings.ControlAddress.String(), &http.Client{})
	applyBench(t, operators, &schema.Service{Name: "bench", HealthPath: "/health"})
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
