// Package claimer makes sure that a request with an idempotency key runs at most once,
// however often and through whichever node its caller sends it.
package claimer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"eelgrasspoint"
)

// Claimer claims keys in the platform's table service, the only memory that outlasts every
// node. It is safe for concurrent use.
type Claimer struct {
	table  eelgrasspoint.Table
	region string
	clock  eelgrasspoint.Clock
}

// Claim is a key that belongs to one sending of a request.
type Claim struct {
	claimer *Claimer
	key     string
	id      string
}

// claimRow is what the table holds for a key.
type claimRow struct{ ID string }

// A claim lasts for at least one period and at most two.
const (
	period       = 24 * time.Hour
	prefix       = "key/"
	settlePause  = 100 * time.Millisecond
	releaseLimit = 2 * time.Second
	// sweepAtOnce bounds the deletions of one transaction.
	sweepAtOnce = 64
)

// New returns a claimer; region is where the table service sits.
func New(table eelgrasspoint.Table, region string, clock eelgrasspoint.Clock) *Claimer {
	return &Claimer{table: table, region: region, clock: clock}
}

// Claim claims the request's key. It refuses with KeyInDoubt where the claim can't be proved,
// and answers KeyAlreadyUsed, as "may have run", where another sending holds it.
func (c *Claimer) Claim(ctx context.Context, meta *eelgrasspoint.Meta) (*Claim, *eelgrasspoint.OutcomeError) {
	if meta.Bound() && !meta.Permits(c.region) {
		return nil, eelgrasspoint.Refuse(eelgrasspoint.KeyInDoubt, "the table service is outside the home regions")
	}
	claim := &Claim{claimer: c, key: digest(meta), id: uuid.NewString()}
	err := claim.write(ctx)
	for unknown(err) && ctx.Err() == nil {
		pause(ctx)
		err = claim.write(ctx)
	}
	if err == nil {
		return claim, nil
	}
	if conflict(err) {
		return nil, &eelgrasspoint.OutcomeError{Outcome: eelgrasspoint.MayHaveRun, Reason: eelgrasspoint.KeyAlreadyUsed}
	}
	// The claim may have been written all the same; then a later sending is refused, which is safe.
	return nil, eelgrasspoint.Refuse(eelgrasspoint.KeyInDoubt, "")
}

// Release gives the key back after the request was proved not to have run. If the platform
// does not answer, the key stays claimed, which is safe.
func (c *Claim) Release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseLimit)
	defer cancel()
	for _, key := range c.rows() {
		row, err := c.claimer.table.Read(ctx, key)
		if err != nil || !c.owns(row) {
			continue
		}
		_ = c.claimer.table.Commit(ctx, eelgrasspoint.Transaction{
			Conditions: []eelgrasspoint.Condition{{Key: key, Version: row.Version}},
			Writes:     []eelgrasspoint.Write{{Key: key, Delete: true}},
		})
	}
}

// write makes the row of the present period, on condition that neither it nor its neighbors
// exist: nodes whose clocks differ may be in different periods.
func (c *Claim) write(ctx context.Context) error {
	rows := c.rows()
	value, err := json.Marshal(claimRow{ID: c.id})
	if err != nil {
		return err
	}
	transaction := eelgrasspoint.Transaction{Writes: []eelgrasspoint.Write{{Key: rows[1], Value: value}}}
	for _, key := range rows {
		transaction.Conditions = append(transaction.Conditions, eelgrasspoint.Condition{Key: key})
	}
	err = c.claimer.table.Commit(ctx, transaction)
	if conflict(err) {
		return c.settle(ctx, rows, err)
	}
	return err
}

// settle tells a conflict with another sending from one with this claim's own lost write.
func (c *Claim) settle(ctx context.Context, rows []string, conflict error) error {
	for _, key := range rows {
		row, err := c.claimer.table.Read(ctx, key)
		var missing *eelgrasspoint.NotFoundError
		switch {
		case errors.As(err, &missing):
			continue
		case err != nil:
			return &eelgrasspoint.UnknownOutcomeError{ChangeID: c.id, Cause: err}
		case c.owns(row):
			return nil
		}
	}
	return conflict
}

func (c *Claim) owns(row eelgrasspoint.Row) bool {
	var stored claimRow
	return json.Unmarshal(row.Value, &stored) == nil && stored.ID == c.id
}

// rows are the keys of the periods before, now and next.
func (c *Claim) rows() []string {
	now := c.claimer.clock().UnixNano() / int64(period)
	rows := make([]string, 0, 3)
	for number := now - 1; number <= now+1; number++ {
		rows = append(rows, periodPrefix(number)+c.key)
	}
	return rows
}

// Sweep deletes claims of a period that is over for every node.
func (c *Claimer) Sweep(ctx context.Context) error {
	old := c.clock().UnixNano()/int64(period) - 2
	rows, err := c.table.Scan(ctx, periodPrefix(old))
	if err != nil {
		return err
	}
	for len(rows) > 0 {
		batch := rows[:min(len(rows), sweepAtOnce)]
		rows = rows[len(batch):]
		var transaction eelgrasspoint.Transaction
		for _, row := range batch {
			transaction.Writes = append(transaction.Writes, eelgrasspoint.Write{Key: row.Key, Delete: true})
		}
		if err := c.table.Commit(ctx, transaction); err != nil {
			return err
		}
	}
	return nil
}

func periodPrefix(number int64) string { return fmt.Sprintf("%s%d/", prefix, number) }

// digest names the key of one Client at one service, and shows nothing of it.
func digest(meta *eelgrasspoint.Meta) string {
	sum := sha256.Sum256([]byte(meta.Client + "\x00" + meta.Service + "\x00" + meta.Key))
	return hex.EncodeToString(sum[:16])
}

func unknown(err error) bool {
	var lost *eelgrasspoint.UnknownOutcomeError
	return errors.As(err, &lost)
}

func conflict(err error) bool {
	var lost *eelgrasspoint.ConflictError
	return errors.As(err, &lost)
}

func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(settlePause):
	}
}
