package runner_test

import (
	"bytes"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/runner"
	"eelgrasspoint/state/loader"
	"eelgrasspoint/state/storer"
)

// TestApplySettings checks that the stop timeout is that of the latest settings, and that the log
// names the settings that need a restart.
func TestApplySettings(t *testing.T) {
	parsed, err := loader.Parse([]byte(`{"Name": "n", "Region": "r", "AvailabilityZone": "z", "CallerAddress": "127.0.0.1:0",
		"PeerAddress": "127.0.0.1:2", "ControlAddress": "127.0.0.1:3", "StopTimeout": "5s"}`))
	assert.NilError(t, err)
	var lines bytes.Buffer
	log := logrus.New()
	log.SetOutput(&lines)
	r := runner.New(runner.Options{
		Settings: parsed, Dial: (&net.Dialer{}).DialContext, Listen: net.Listen, Log: log, Clock: time.Now,
		Table: func(func(call, result string)) eelgrasspoint.Table { return storer.New() },
	})
	changed := *parsed
	changed.StopTimeout = time.Second
	changed.Region = "elsewhere"
	changed.RetryBudget = loader.RetryBudget{Share: 0.2, Window: 10 * time.Second, Slack: 64}
	r.ApplySettings(&changed, []string{"Region", "StopTimeout", "RetryBudget"})
	assert.Assert(t, bytes.Contains(lines.Bytes(), []byte("Region, StopTimeout, RetryBudget; effective after a restart: Region")), lines.String())
	assert.Equal(t, r.StopTimeout(), time.Second)
}
