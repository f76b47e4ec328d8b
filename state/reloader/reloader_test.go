package reloader_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint/state/loader"
	"eelgrasspoint/state/reloader"
)

const settings = `{"Name": "n", "Region": "r", "AvailabilityZone": "z", "CallerAddress": "127.0.0.1:1",
	"PeerAddress": "127.0.0.1:2", "ControlAddress": "127.0.0.1:3", "StopTimeout": "5s"}`

// TestRunReloadsOnSignalAndFileChange guards against a change that is missed without a signal, and
// against a malformed file that replaces the current settings.
func TestRunReloadsOnSignalAndFileChange(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(path, []byte(settings), 0o600))
	initial, err := loader.Load(path)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 1)
	applied, rejected := make(chan []string, 1), make(chan error, 1)
	go reloader.New(path, initial).Run(ctx, signals,
		func(_ *loader.Settings, fields []string) { applied <- fields },
		func(err error) { rejected <- err })

	signals <- syscall.SIGHUP
	assert.Equal(t, len(<-applied), 0)

	assert.NilError(t, os.WriteFile(path, []byte("{"), 0o600))
	signals <- syscall.SIGHUP
	assert.ErrorContains(t, <-rejected, "line 1")

	// Without a signal the change is detected by the next check of the modification time.
	assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(settings, "5s", "6s", 1)), 0o600))
	newModificationTime := time.Now().Add(time.Minute)
	assert.NilError(t, os.Chtimes(path, newModificationTime, newModificationTime))
	fields := <-applied
	assert.DeepEqual(t, fields, []string{"StopTimeout"})
	assert.Equal(t, reloader.DescribeChanges(fields), "StopTimeout")
}
