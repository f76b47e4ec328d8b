package replicator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protojson"

	"eelgrasspoint"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/protocol/translator"
	"eelgrasspoint/state/sweeper"
)

// rowPrefix is the key prefix of the rows of departures. Each departure has a row of its own, so that a write that
// takes effect late replaces no other departure.
const rowPrefix = "departure/"

// rowTTL is the age of a departure from which its row is deleted. It is much longer than DepartureTTL, since the clocks
// of two nodes may differ.
const rowTTL = 10 * time.Minute

// errPending stands for the result of a write that has not ended.
var errPending = errors.New("the write has not ended")

// nodePrefix returns the key prefix of the rows of this node.
func (r *Replicator) nodePrefix() string { return rowPrefix + r.options.Name + "/" }

// rowKey returns the key of a departure's row. The hash keeps the key short for any identifier.
func (r *Replicator) rowKey(d eelgrasspoint.Departure) string {
	return fmt.Sprintf("%s%016x", r.nodePrefix(), xxhash.Sum64String(fmt.Sprintf("%d/%s", d.Incarnation, d.ID)))
}

// writeRows writes one row for each departure, in one transaction.
func (r *Replicator) writeRows(ctx context.Context, departures []eelgrasspoint.Departure) error {
	var writes []eelgrasspoint.Write
	for _, d := range departures {
		value, err := protojson.Marshal(translator.DepartureMessage(d))
		if err != nil {
			return err
		}
		writes = append(writes, eelgrasspoint.Write{Key: r.rowKey(d), Value: value})
	}
	err := r.options.Table.Commit(ctx, eelgrasspoint.Transaction{Writes: writes})
	if err == nil {
		r.addStored(departures)
	}
	return err
}

// readRows returns the departures in the rows of this node. A row that can't be read is recorded and left out.
func (r *Replicator) readRows(ctx context.Context) ([]eelgrasspoint.Departure, error) {
	rows, err := r.options.Table.Scan(ctx, r.nodePrefix())
	if err != nil {
		return nil, err
	}
	var departures []eelgrasspoint.Departure
	for _, row := range rows {
		d, err := parseRow(row)
		if err != nil {
			r.record(eelgrasspoint.EventBadInput, "invalid row "+row.Key+": "+err.Error())
			continue
		}
		departures = append(departures, d)
	}
	r.addStored(departures)
	return departures, nil
}

func parseRow(row eelgrasspoint.Row) (eelgrasspoint.Departure, error) {
	var message schema.Departure
	if err := translator.ParseRow(row.Value, &message); err != nil {
		return eelgrasspoint.Departure{}, err
	}
	return translator.Departure(&message), nil
}

// DeleteExpiredRows deletes the rows of all nodes whose departures are older than rowTTL, also those that can't be read.
func (r *Replicator) DeleteExpiredRows(ctx context.Context) error {
	return sweeper.New(r.options.Table, r.options.Recorder).Sweep(ctx, rowPrefix, func(row eelgrasspoint.Row) bool {
		d, err := parseRow(row)
		return err == nil && r.options.Clock().Sub(d.At) < rowTTL
	})
}
