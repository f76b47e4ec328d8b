// Package replicator keeps the departures of the backend server beside the node outside the node's process: in rows of
// the table service and at other nodes. A departure is replicated before it is acknowledged, and the next process
// of the node restores it.
package replicator

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/controller"
)

// Replicator replicates and restores the departures of one node.
type Replicator struct {
	options Options
	// busy holds one value while a call of Replicate runs.
	busy chan struct{}
	// replicated are the departures that were replicated last. Only the call that has put its value into busy accesses
	// them.
	replicated []eelgrasspoint.Departure
	// rewrite receives a value if the rows could not be written.
	rewrite chan struct{}

	// mu guards stored, the departures that are known to have a row.
	mu     sync.Mutex
	stored []eelgrasspoint.Departure

	// rowsRead is closed once the departures in the rows are learned.
	rowsRead chan struct{}
	// synced is closed once the node has the departures that a node which has joined knows.
	synced     chan struct{}
	syncedOnce sync.Once
	restored   atomic.Bool
}

// Options are the settings and dependencies of a replicator.
type Options struct {
	// Name is that of the node.
	Name       string
	Controller *controller.Controller
	Table      eelgrasspoint.Table
	// Spread sends the node's own entry to other nodes. It returns the number of those that have received it, and
	// whether they are enough without the table service.
	Spread func(ctx context.Context) (nodes int, enough bool)
	// RestoreQuarantines reads the quarantines from the table service, beside the departures; it is optional.
	RestoreQuarantines func(ctx context.Context) error
	Recorder           eelgrasspoint.Recorder
	Clock              eelgrasspoint.Clock
}

const (
	// replicateTimeout leaves time to answer within the second in which an acknowledgement is due.
	replicateTimeout = 700 * time.Millisecond
	// secondCopyDelay is how long Replicate waits for the other kind of copy once one is made.
	secondCopyDelay = 100 * time.Millisecond
	// rowRetryInterval is the pause after a failed read or write of the rows.
	rowRetryInterval = 500 * time.Millisecond
	// rowCheckInterval is the pause between two looks for departures without a row.
	rowCheckInterval = time.Second
	// maxStored bounds the departures that are remembered as stored; a node keeps fewer.
	maxStored = 4 * eelgrasspoint.MaxDepartures
)

// New returns a replicator.
func New(options Options) *Replicator {
	return &Replicator{
		options: options, busy: make(chan struct{}, 1), rewrite: make(chan struct{}, 1),
		rowsRead: make(chan struct{}), synced: make(chan struct{}),
	}
}

// Run restores the departures, and writes the rows that are missing, until ctx ends: those that could not be written,
// and those of departures that only other nodes had.
func (r *Replicator) Run(ctx context.Context) {
	r.restore(ctx)
	ticker := time.NewTicker(rowCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.rewrite:
		case <-ticker.C:
		}
		r.writeMissingRows(ctx)
	}
}

// Replicate returns once the departures in the node's entry are in rows or at enough other nodes, or with a
// *eelgrasspoint.NotReplicatedError. Departures that were replicated before are not replicated again.
func (r *Replicator) Replicate(ctx context.Context) error {
	r.busy <- struct{}{}
	defer func() { <-r.busy }()
	departures := r.options.Controller.View().Self.Departures
	added := slices.DeleteFunc(slices.Clone(departures), func(d eelgrasspoint.Departure) bool {
		return slices.ContainsFunc(r.replicated, d.Equal)
	})
	if len(added) == 0 {
		return nil
	}
	// The departure binds the node even if the caller has left.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), replicateTimeout)
	defer cancel()
	startedAt := r.options.Clock()
	c := r.copy(ctx, added)
	if c.tableError != nil {
		r.requestRewrite()
	}
	detail := fmt.Sprintf("departures: %d, %v, took %v", len(added), c, r.options.Clock().Sub(startedAt).Round(time.Millisecond))
	if !c.enough() {
		r.record(eelgrasspoint.EventDepartureNotReplicated, detail)
		return &eelgrasspoint.NotReplicatedError{Nodes: c.nodes, Cause: c.tableError}
	}
	r.replicated = departures
	r.record(eelgrasspoint.EventDepartureReplicated, detail)
	return nil
}

// copies tells where the departures are.
type copies struct {
	tableError  error
	nodes       int
	enoughNodes bool
}

func (c copies) enough() bool { return c.tableError == nil || c.enoughNodes }

func (c copies) String() string {
	if c.tableError != nil {
		return fmt.Sprintf("nodes: %d, table service: %v", c.nodes, c.tableError)
	}
	return fmt.Sprintf("nodes: %d, table service: written", c.nodes)
}

// copy writes the rows and spreads the node's entry at the same time. Once one of them is enough, it waits for the
// other for secondCopyDelay at most.
func (r *Replicator) copy(ctx context.Context, departures []eelgrasspoint.Departure) copies {
	type spread struct {
		nodes  int
		enough bool
	}
	written, sent := make(chan error, 1), make(chan spread, 1)
	go func() { written <- r.writeRows(ctx, departures) }()
	go func() {
		nodes, enough := r.options.Spread(ctx)
		sent <- spread{nodes, enough}
	}()
	c := copies{tableError: errPending}
	ended := ctx.Done()
	for range 2 {
		select {
		case c.tableError = <-written:
		case s := <-sent:
			c.nodes, c.enoughNodes = s.nodes, s.enough
		case <-ended:
			return c
		}
		if c.enough() {
			short, cancel := context.WithTimeout(ctx, secondCopyDelay)
			defer cancel()
			ended = short.Done()
		}
	}
	return c
}

func (r *Replicator) requestRewrite() {
	select {
	case r.rewrite <- struct{}{}:
	default:
	}
}

// writeMissingRows writes the missing rows until that succeeds or ctx ends.
func (r *Replicator) writeMissingRows(ctx context.Context) {
	for ctx.Err() == nil {
		missing := r.withoutRow(r.options.Controller.View().Self.Departures)
		if len(missing) == 0 || r.writeRows(ctx, missing) == nil {
			return
		}
		pause(ctx)
	}
}

// withoutRow returns the departures that are not known to have a row and are not too old for one.
func (r *Replicator) withoutRow(departures []eelgrasspoint.Departure) []eelgrasspoint.Departure {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(departures), func(d eelgrasspoint.Departure) bool {
		return slices.ContainsFunc(r.stored, d.Equal) || r.options.Clock().Sub(d.At) >= rowTTL
	})
}

// RewriteRows writes the rows of the departures since a time again.
func (r *Replicator) RewriteRows(since time.Time) {
	r.mu.Lock()
	r.stored = slices.DeleteFunc(r.stored, func(d eelgrasspoint.Departure) bool { return d.At.After(since) })
	r.mu.Unlock()
	r.requestRewrite()
}

// addStored notes departures that have a row.
func (r *Replicator) addStored(departures []eelgrasspoint.Departure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stored = append(r.stored, departures...)
	r.stored = r.stored[max(0, len(r.stored)-maxStored):]
}

func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(rowRetryInterval):
	}
}

func (r *Replicator) record(number eelgrasspoint.EventNumber, detail string) {
	self := r.options.Controller.View().Self
	r.options.Recorder.Record(eelgrasspoint.Event{Number: number, AvailabilityZone: self.AvailabilityZone, Detail: detail})
}
