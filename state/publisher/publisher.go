// Package publisher keeps the configuration of the project's own platform in one row.
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

// Publisher reads and writes the row. It is safe for concurrent use.
type Publisher struct{ table eelgrasspoint.Table }

// Published is what the row holds, and the version that the next write is conditional on.
type Published struct {
	Configuration eelgrasspoint.Configuration
	// Accepted are the identifiers of the last changes, oldest first.
	Accepted []AcceptedChange
	version  uint64
}

// AcceptedChange is the revision that a change was accepted as.
type AcceptedChange struct {
	ChangeID string
	Revision uint64
}

// row is the value as it is stored.
type row struct {
	Revision uint64
	Document json.RawMessage
	Accepted []AcceptedChange
}

// Bounds of the row.
const (
	rowKey = "configuration"
	// maxDocumentBytes bounds the document, which each node reads whole.
	maxDocumentBytes = 512 << 10
	// maxAccepted is how many identifiers of changes are kept to recognise a repeated one.
	maxAccepted = 256
)

// New returns a publisher.
func New(table eelgrasspoint.Table) *Publisher { return &Publisher{table: table} }

// Read returns what is published; before the first change it is empty. The error is
// *eelgrasspoint.UnavailableError.
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

// AcceptedRevision returns the revision that a change was accepted as, or zero if it is not among
// the last ones.
func (p Published) AcceptedRevision(changeID string) uint64 {
	for _, accepted := range p.Accepted {
		if accepted.ChangeID == changeID {
			return accepted.Revision
		}
	}
	return 0
}

// Replace publishes the document that a change makes of the base. Of two changes to one base at
// most one takes effect. Errors are those of eelgrasspoint.Table and *eelgrasspoint.InvalidError.
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
			Path: "Document", Message: fmt.Sprintf("has %d bytes, above %d", len(body), maxDocumentBytes),
		}}}
	}
	next := row{Revision: base.Configuration.Revision + 1, Document: body}
	kept := base.Accepted[max(0, len(base.Accepted)-maxAccepted+1):]
	next.Accepted = append(append(next.Accepted, kept...), AcceptedChange{ChangeID: changeID, Revision: next.Revision})
	return json.Marshal(next)
}

func decode(stored eelgrasspoint.Row) (Published, error) {
	var value row
	if err := json.Unmarshal(stored.Value, &value); err != nil {
		return Published{}, unreadable(err)
	}
	var message schema.Document
	if err := protojson.Unmarshal(value.Document, &message); err != nil {
		return Published{}, unreadable(err)
	}
	return Published{
		Configuration: eelgrasspoint.Configuration{Revision: value.Revision, Document: translator.Document(&message)},
		Accepted:      value.Accepted, version: stored.Version,
	}, nil
}

func unreadable(err error) error {
	return &eelgrasspoint.UnavailableError{Call: "Read", Cause: fmt.Errorf("row %q: %w", rowKey, err)}
}
