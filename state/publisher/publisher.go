// Package publisher stores the configuration in one row of the table service. It is used with
// loader.ContractOwn; with loader.ContractPlatform the platform publishes the configuration itself.
package publisher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protojson"

	"eelgrasspoint"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/protocol/translator"
)

// Publisher reads and replaces the published configuration. It is safe for concurrent use.
type Publisher struct{ table eelgrasspoint.Table }

// Published is the content of the row together with the version of the row, which the next write
// requires to be unchanged.
type Published struct {
	Configuration eelgrasspoint.Configuration
	// Accepted holds the most recently accepted changes, oldest first.
	Accepted []AcceptedChange
	version  eelgrasspoint.Revision
}

// AcceptedChange is the identifier of a change and the revision that the change produced.
type AcceptedChange struct {
	ChangeID string
	Revision uint64
}

// rowValue is the JSON value of the row.
type rowValue struct {
	Revision uint64
	Document json.RawMessage
	Accepted []AcceptedChange
}

const rowKey = "configuration"

// Limits of the row.
const (
	// maxDocumentBytes bounds the encoded document, which every node reads as a whole.
	maxDocumentBytes = 512 << 10
	// maxAcceptedChanges is the number of change identifiers that are kept to detect a repeated
	// change.
	maxAcceptedChanges = 256
)

// New returns a publisher that stores the configuration in table.
func New(table eelgrasspoint.Table) *Publisher { return &Publisher{table: table} }

// Read returns the published configuration, which is empty before the first change. The error is
// *eelgrasspoint.UnavailableError, also for a row that can't be parsed.
func (p *Publisher) Read(ctx context.Context) (Published, error) {
	stored, err := p.table.Read(ctx, rowKey)
	var missing *eelgrasspoint.NotFoundError
	if errors.As(err, &missing) {
		return Published{}, nil
	}
	if err != nil {
		return Published{}, err
	}
	return decode(stored)
}

// AcceptedRevision returns the revision that the change produced, or zero if the change is not
// among the most recently accepted ones.
func (p Published) AcceptedRevision(changeID string) uint64 {
	for _, accepted := range p.Accepted {
		if accepted.ChangeID == changeID {
			return accepted.Revision
		}
	}
	return 0
}

// Replace publishes the document as the revision after base. Of several calls with the same base at
// most one takes effect. The error is *eelgrasspoint.InvalidError for a document that is too large,
// and otherwise that of Commit of eelgrasspoint.Table: *eelgrasspoint.ConflictError if base is
// outdated.
func (p *Publisher) Replace(ctx context.Context, base Published, changeID string, document *eelgrasspoint.Document) error {
	value, err := encode(base, changeID, document)
	if err != nil {
		return err
	}
	return p.table.Commit(ctx, eelgrasspoint.Transaction{
		Conditions: []eelgrasspoint.Condition{{Key: rowKey, Version: base.version}},
		Writes:     []eelgrasspoint.Write{{Key: rowKey, Value: value}},
	})
}

func encode(base Published, changeID string, document *eelgrasspoint.Document) ([]byte, error) {
	body, err := protojson.Marshal(translator.DocumentMessage(document))
	if err != nil {
		return nil, err
	}
	if len(body) > maxDocumentBytes {
		return nil, &eelgrasspoint.InvalidError{Mistakes: []eelgrasspoint.Mistake{{
			Path: "Document", Message: fmt.Sprintf("has %d bytes, more than the limit of %d bytes", len(body), maxDocumentBytes),
		}}}
	}
	successor := rowValue{Revision: base.Configuration.Revision.Version + 1, Document: body}
	recent := base.Accepted[max(0, len(base.Accepted)-maxAcceptedChanges+1):]
	successor.Accepted = append(append(successor.Accepted, recent...), AcceptedChange{ChangeID: changeID, Revision: successor.Revision})
	return json.Marshal(successor)
}

func decode(stored eelgrasspoint.Row) (Published, error) {
	var value rowValue
	if err := json.Unmarshal(stored.Value, &value); err != nil {
		return Published{}, unreadableRowError(err)
	}
	var message schema.Document
	if err := protojson.Unmarshal(value.Document, &message); err != nil {
		return Published{}, unreadableRowError(err)
	}
	return Published{
		Configuration: eelgrasspoint.Configuration{Revision: eelgrasspoint.Revision{Version: value.Revision}, Document: translator.Document(&message)},
		Accepted:      value.Accepted, version: stored.Version,
	}, nil
}

func unreadableRowError(err error) error {
	return &eelgrasspoint.UnavailableError{Call: "Read", Cause: fmt.Errorf("row %q was read, but can't be parsed: %w", rowKey, err)}
}
