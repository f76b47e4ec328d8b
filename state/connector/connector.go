// Package connector is an HTTP client of the platform's table service, called the store in events,
// metrics and constants. The version of a row is its entity tag (RFC 9110); a transaction whose condition
// fails is answered with status 412.
package connector

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"

	"eelgrasspoint"
	"eelgrasspoint/transport/sender"
)

// Connector is a client of the table service. It is safe for concurrent use.
type Connector struct {
	baseURL string
	sender  *sender.Sender
}

var _ eelgrasspoint.Table = (*Connector)(nil)

// New returns a connector to the table service at the address. It calls count after every call with
// the labels of the metric store_calls_total: the name of the call, such as Read, and ok, timeout,
// error or the HTTP status.
func New(address netip.AddrPort, client *http.Client, count func(call, result string)) *Connector {
	return &Connector{baseURL: "http://" + address.String(), sender: sender.New(client, count)}
}

// Read returns the row, or *eelgrasspoint.NotFoundError if it does not exist.
func (c *Connector) Read(ctx context.Context, key string) (eelgrasspoint.Row, error) {
	result := c.call(ctx, "Read", http.MethodGet, "/table/"+url.PathEscape(key), nil)
	switch {
	case result.Status == http.StatusNotFound:
		return eelgrasspoint.Row{}, &eelgrasspoint.NotFoundError{Key: key}
	case result.Err != nil:
		return eelgrasspoint.Row{}, &eelgrasspoint.UnavailableError{Call: "Read", Cause: result.Err}
	}
	return eelgrasspoint.Row{Key: key, Version: eelgrasspoint.Revision{Version: parseVersion(result.Header.Get("ETag"))}, Value: result.Body}, nil
}

// Scan returns the rows whose keys have the prefix, sorted by key.
func (c *Connector) Scan(ctx context.Context, prefix string) ([]eelgrasspoint.Row, error) {
	result := c.call(ctx, "Scan", http.MethodGet, "/table?prefix="+url.QueryEscape(prefix), nil)
	if result.Err != nil {
		return nil, &eelgrasspoint.UnavailableError{Call: "Scan", Cause: result.Err}
	}
	var rows []eelgrasspoint.Row
	if err := json.Unmarshal(result.Body, &rows); err != nil {
		return nil, &eelgrasspoint.UnavailableError{Call: "Scan", Cause: err}
	}
	return rows, nil
}

// Commit applies all writes atomically if every condition holds.
func (c *Connector) Commit(ctx context.Context, transaction eelgrasspoint.Transaction) error {
	body, err := json.Marshal(transaction)
	if err != nil {
		return &eelgrasspoint.UnavailableError{Call: "Commit", Cause: err}
	}
	result := c.call(ctx, "Commit", http.MethodPost, "/transactions", body)
	return result.WriteError(func() error {
		conflict := &eelgrasspoint.ConflictError{}
		if err := json.Unmarshal(result.Body, conflict); err != nil {
			return &eelgrasspoint.ConflictError{}
		}
		return conflict
	})
}

// call sends one request with a timeout of eelgrasspoint.StoreTimeout.
func (c *Connector) call(ctx context.Context, name, method, path string, body []byte) sender.Result {
	ctx, cancel := context.WithTimeout(ctx, eelgrasspoint.StoreTimeout)
	defer cancel()
	return c.sender.Send(ctx, name, method, c.baseURL+path, body)
}

// parseVersion returns the version in an entity tag, or zero if the tag is missing or malformed. A
// commit on condition of version zero then fails with a conflict, since the row exists.
func parseVersion(entityTag string) uint64 {
	version, _ := strconv.ParseUint(strings.Trim(entityTag, `"`), 10, 64)
	return version
}
