// Package connector is an HTTP client of the platform's table service, which uses entity tags and
// preconditions (RFC 9110) for the versions of rows.
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

// New returns a connector to the table service at the address. It calls count with the name and the
// result of every call.
func New(address netip.AddrPort, client *http.Client, count func(call, result string)) *Connector {
	return &Connector{baseURL: "http://" + address.String(), sender: sender.New(client, count)}
}

// Read returns the row, or *eelgrasspoint.NotFoundError if it does not exist.
func (c *Connector) Read(ctx context.Context, key string) (eelgrasspoint.Row, error) {
	answer := c.call(ctx, "Read", http.MethodGet, "/table/"+url.PathEscape(key), nil)
	switch {
	case answer.Status == http.StatusNotFound:
		return eelgrasspoint.Row{}, &eelgrasspoint.NotFoundError{Key: key}
	case answer.Err != nil:
		return eelgrasspoint.Row{}, &eelgrasspoint.UnavailableError{Call: "Read", Cause: answer.Err}
	}
	return eelgrasspoint.Row{Key: key, Version: parseVersion(answer.Header.Get("ETag")), Value: answer.Body}, nil
}

// Scan returns the rows whose keys have the prefix, sorted by key.
func (c *Connector) Scan(ctx context.Context, prefix string) ([]eelgrasspoint.Row, error) {
	answer := c.call(ctx, "Scan", http.MethodGet, "/table?prefix="+url.QueryEscape(prefix), nil)
	if answer.Err != nil {
		return nil, &eelgrasspoint.UnavailableError{Call: "Scan", Cause: answer.Err}
	}
	var rows []eelgrasspoint.Row
	if err := json.Unmarshal(answer.Body, &rows); err != nil {
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
	answer := c.call(ctx, "Commit", http.MethodPost, "/transactions", body)
	return answer.WriteError(func() error {
		conflict := &eelgrasspoint.ConflictError{}
		if err := json.Unmarshal(answer.Body, conflict); err != nil {
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

// parseVersion returns the version in an entity tag, or zero if the tag holds none.
func parseVersion(entityTag string) uint64 {
	version, _ := strconv.ParseUint(strings.Trim(entityTag, `"`), 10, 64)
	return version
}
