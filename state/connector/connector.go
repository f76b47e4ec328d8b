// Package connector accesses the platform's table service over HTTP with
// entity tags and preconditions (RFC 9110).
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
	base   string
	sender *sender.Sender
}

var _ eelgrasspoint.Table = (*Connector)(nil)

// New returns a connector to the platform at the address; count is called for every call.
func New(address netip.AddrPort, client *http.Client, count func(call, result string)) *Connector {
	return &Connector{base: "http://" + address.String(), sender: sender.New(client, count)}
}

// Read returns a row.
func (t *Connector) Read(ctx context.Context, key string) (eelgrasspoint.Row, error) {
	answer := t.call(ctx, "Read", http.MethodGet, "/table/"+url.PathEscape(key), nil)
	switch {
	case answer.Status == http.StatusNotFound:
		return eelgrasspoint.Row{}, &eelgrasspoint.NotFoundError{Key: key}
	case answer.Err != nil:
		return eelgrasspoint.Row{}, &eelgrasspoint.UnavailableError{Call: "Read", Cause: answer.Err}
	}
	return eelgrasspoint.Row{Key: key, Version: version(answer.Header.Get("ETag")), Value: answer.Body}, nil
}

// Scan returns the rows with the prefix, sorted by key.
func (t *Connector) Scan(ctx context.Context, prefix string) ([]eelgrasspoint.Row, error) {
	answer := t.call(ctx, "Scan", http.MethodGet, "/table?prefix="+url.QueryEscape(prefix), nil)
	if answer.Err != nil {
		return nil, &eelgrasspoint.UnavailableError{Call: "Scan", Cause: answer.Err}
	}
	var rows []eelgrasspoint.Row
	if err := json.Unmarshal(answer.Body, &rows); err != nil {
		return nil, &eelgrasspoint.UnavailableError{Call: "Scan", Cause: err}
	}
	return rows, nil
}

// Commit makes the writes if all conditions hold.
func (t *Connector) Commit(ctx context.Context, transaction eelgrasspoint.Transaction) error {
	body, err := json.Marshal(transaction)
	if err != nil {
		return &eelgrasspoint.UnavailableError{Call: "Commit", Cause: err}
	}
	answer := t.call(ctx, "Commit", http.MethodPost, "/transactions", body)
	return answer.WriteError(func() error {
		conflict := &eelgrasspoint.ConflictError{}
		if err := json.Unmarshal(answer.Body, conflict); err != nil {
			return &eelgrasspoint.ConflictError{}
		}
		return conflict
	})
}

// call makes one request within the time limit of the platform.
func (t *Connector) call(ctx context.Context, name, method, path string, body []byte) sender.Result {
	ctx, cancel := context.WithTimeout(ctx, eelgrasspoint.StoreTimeout)
	defer cancel()
	return t.sender.Send(ctx, name, method, t.base+path, body)
}

func version(tag string) uint64 {
	n, _ := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	return n
}
