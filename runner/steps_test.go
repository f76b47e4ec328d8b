package runner_test

import (
	"bufio"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/runner"
	"eelgrasspoint/standin/platform"
	"eelgrasspoint/state/connector"
	"eelgrasspoint/state/loader"
)

// TestStepsOfAChangeAreMeasured guards against a change that is slow on the way to a node, without a metric that says where.
func TestStepsOfAChangeAreMeasured(t *testing.T) {
	store := httptest.NewServer(platform.New())
	t.Cleanup(store.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(store.URL, "http://"))
	start := func(name string, peers ...netip.AddrPort) *loader.Settings {
		settings, _ := startNodeWith(t, name, nil, func(options *runner.Options) {
			options.Settings.Peers = peers
			options.Table = func(count func(call, result string)) eelgrasspoint.Table {
				return connector.New(address, store.Client(), count)
			}
		})
		return settings
	}
	writer := start("writer")
	reader := start("reader", writer.PeerAddress)
	waitFor(t, "both nodes have read the store and know each other", func() bool {
		return metric(t, reader, "eelgrass_members") == 2 && metric(t, writer, "eelgrass_members") == 2 &&
			metric(t, reader, "eelgrass_configuration_read_age_seconds") < 60
	})
	operators := schema.NewOperatorsProtobufClient("http://"+writer.ControlAddress.String(), &http.Client{})
	applyBench(t, operators, &schema.Service{Name: "bench"})
	waitFor(t, "the other node has fetched the change", func() bool { return steps(t, reader, eelgrasspoint.StepApply) == 1 })
	assert.Equal(t, steps(t, reader, eelgrasspoint.StepFetch), 1.0)
	assert.Equal(t, steps(t, reader, eelgrasspoint.StepRead), 0.0)

	late := start("late")
	waitFor(t, "a node that starts has read it from the store", func() bool {
		return steps(t, late, eelgrasspoint.StepDecode) == 1 && steps(t, late, eelgrasspoint.StepApply) == 1
	})
	assert.Equal(t, steps(t, late, eelgrasspoint.StepRead), 1.0)
}

// steps returns how often the node has observed a step.
func steps(t *testing.T, node *loader.Settings, step eelgrasspoint.ConfigurationStep) float64 {
	t.Helper()
	return metric(t, node, fmt.Sprintf("eelgrass_configuration_seconds_count{step=%q}", step.String()))
}

// metric returns the value of a metric of the node, zero if it has none.
func metric(t *testing.T, node *loader.Settings, name string) float64 {
	t.Helper()
	response, err := http.Get("http://" + node.ControlAddress.String() + "/metrics")
	assert.NilError(t, err)
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		text, found := strings.CutPrefix(lines.Text(), name+" ")
		if !found {
			continue
		}
		value, err := strconv.ParseFloat(text, 64)
		assert.NilError(t, err)
		return value
	}
	assert.NilError(t, lines.Err())
	return 0
}
