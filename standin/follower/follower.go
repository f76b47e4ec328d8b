// Package follower is a source of the configuration for simulated nodes: it waits at the stand-in of the table service for
// changes.
package follower

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/state/publisher"
)

// maxDelay bounds how late an answer may come after the wait for changes.
const maxDelay = time.Second

// Follower reads the whole configuration with each change.
type Follower struct {
	address netip.AddrPort
	client  *http.Client
	wait    func() time.Duration
	current eelgrasspoint.Configuration
	version uint64
}

var _ eelgrasspoint.Source = (*Follower)(nil)

// New returns a follower of the table service at the address. wait returns how long the next call may wait for changes.
func New(address netip.AddrPort, client *http.Client, wait func() time.Duration) *Follower {
	return &Follower{address: address, client: client, wait: wait}
}

// Next implements eelgrasspoint.Source.
func (f *Follower) Next(ctx context.Context) (eelgrasspoint.Configuration, error) {
	startedAt := time.Now()
	wait := time.Duration(0)
	if f.version > 0 {
		wait = f.wait()
	}
	ctx, cancel := context.WithTimeout(ctx, wait+maxDelay)
	defer cancel()
	stored, err := f.read(ctx, wait)
	if err != nil {
		f.client.CloseIdleConnections()
		return eelgrasspoint.Configuration{}, &eelgrasspoint.UnavailableError{Call: "Changes", Cause: err}
	}
	if stored.Version.Version <= f.version {
		return f.current, nil
	}
	published, err := publisher.New(oneRow{row: stored}).Read(ctx)
	if err != nil {
		return eelgrasspoint.Configuration{}, err
	}
	f.version, f.current = stored.Version.Version, published.Configuration
	f.current.Provenance = eelgrasspoint.Provenance{Origin: eelgrasspoint.StoreFeed, Took: time.Since(startedAt)}
	return f.current, nil
}

// read returns the row of the configuration, or an empty one if it has not changed.
func (f *Follower) read(ctx context.Context, wait time.Duration) (eelgrasspoint.Row, error) {
	url := fmt.Sprintf("http://%s/changes/configuration?after=%d&wait=%d", f.address, f.version, wait.Milliseconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eelgrasspoint.Row{}, err
	}
	response, err := f.client.Do(request)
	if err != nil {
		return eelgrasspoint.Row{}, err
	}
	defer response.Body.Close()
	value, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return eelgrasspoint.Row{}, err
	case response.StatusCode == http.StatusNoContent:
		return eelgrasspoint.Row{}, nil
	case response.StatusCode != http.StatusOK:
		return eelgrasspoint.Row{}, fmt.Errorf("status %d", response.StatusCode)
	}
	version, err := strconv.ParseUint(strings.Trim(response.Header.Get("ETag"), `"`), 10, 64)
	return eelgrasspoint.Row{Version: eelgrasspoint.Revision{Version: version}, Value: value}, err
}

// oneRow is a table that returns the same row for each key.
type oneRow struct {
	eelgrasspoint.Table
	row eelgrasspoint.Row
}

// Read implements eelgrasspoint.Table.
func (t oneRow) Read(context.Context, string) (eelgrasspoint.Row, error) { return t.row, nil }
