// Package committer turns an operator's request into a committed change, or says why not.
package committer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/controller"
	"eelgrasspoint/state/checker"
	"eelgrasspoint/state/historian"
	"eelgrasspoint/state/merger"
)

// Committer is safe for concurrent use; the table service orders the commits of all nodes.
type Committer struct{ options Options }

// Options are what a committer depends on.
type Options struct {
	Node       string
	Controller *controller.Controller
	Historian  *historian.Historian
	Recorder   eelgrasspoint.Recorder
	Clock      eelgrasspoint.Clock
}

// Proposal is a change that an operator asks for.
type Proposal struct {
	Change           eelgrasspoint.Change
	ExpectedRevision uint64
	Force            []string
	DryRun           bool
}

// New returns a committer.
func New(options Options) *Committer { return &Committer{options: options} }

// Commit returns the revision that the change became. Asked again with the same change
// identifier, it returns the same revision. The error is *eelgrasspoint.InvalidError,
// *RevisionConflictError, *UnavailableError or *UnknownOutcomeError.
func (c *Committer) Commit(ctx context.Context, proposal Proposal) (uint64, error) {
	revision, err := c.commit(ctx, proposal)
	if !proposal.DryRun {
		c.record(proposal, revision, err)
	}
	return revision, err
}

func (c *Committer) commit(ctx context.Context, proposal Proposal) (uint64, error) {
	found, err := c.options.Historian.Find(ctx, proposal.Change.ChangeID)
	if err != nil || found != 0 {
		return found, err
	}
	head, base, err := c.catchUp(ctx)
	if err != nil {
		return 0, err
	}
	if proposal.ExpectedRevision != 0 && proposal.ExpectedRevision != base.Revision {
		return 0, &eelgrasspoint.RevisionConflictError{Expected: proposal.ExpectedRevision, Winner: base.Revision}
	}
	next := merger.Apply(&base.Document, &proposal.Change.Put, &proposal.Change.Remove)
	if mistakes := c.mistakes(&base.Document, &next, proposal); len(mistakes) > 0 {
		return 0, &eelgrasspoint.InvalidError{Mistakes: mistakes}
	}
	if proposal.DryRun {
		return base.Revision, nil
	}
	change := proposal.Change
	change.Revision = base.Revision + 1
	change.CommittedAt = c.options.Clock()
	change.CommittedBy = c.options.Node
	if err := c.append(ctx, head, change); err != nil {
		return 0, err
	}
	c.options.Controller.Do(controller.Adopt{Changes: []eelgrasspoint.Change{change}})
	c.compact(ctx, eelgrasspoint.Configuration{Revision: change.Revision, Document: next})
	return change.Revision, nil
}

// catchUp returns the head and its configuration, and puts it in force here.
func (c *Committer) catchUp(ctx context.Context) (historian.Head, eelgrasspoint.Configuration, error) {
	head, err := c.options.Historian.Head(ctx)
	if err != nil {
		return head, eelgrasspoint.Configuration{}, err
	}
	base, changes, replaced, err := c.options.Historian.Load(ctx, *c.options.Controller.Configuration(), head)
	if err != nil {
		return head, base, err
	}
	if replaced {
		c.options.Controller.Do(controller.Replace{Configuration: base})
	} else {
		c.options.Controller.Do(controller.Adopt{Changes: changes})
	}
	if base.Revision > head.Revision {
		// The read of the head was stale; nothing may be committed on it.
		return head, base, &eelgrasspoint.RevisionConflictError{Expected: head.Revision, Winner: base.Revision}
	}
	return head, base, nil
}

// append writes the change and settles a lost answer. Every repetition is conditional on the
// same head, so that at most one takes effect.
func (c *Committer) append(ctx context.Context, head historian.Head, change eelgrasspoint.Change) error {
	err := c.options.Historian.Append(ctx, head, change)
	var unknown *eelgrasspoint.UnknownOutcomeError
	if !errors.As(err, &unknown) {
		return c.appendError(ctx, change, err, false)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), eelgrasspoint.ReadBackTimeout)
	defer cancel()
	for ctx.Err() == nil {
		err = c.appendError(ctx, change, c.options.Historian.Append(ctx, head, change), true)
		if settled(err) {
			return err
		}
		pause(ctx)
	}
	return &eelgrasspoint.UnknownOutcomeError{ChangeID: change.ChangeID, Cause: unknown.Cause}
}

// appendError turns a conflict into what it means. A conflict after a lost answer may be with
// the first write of this very change, so its identifier decides.
func (c *Committer) appendError(ctx context.Context, change eelgrasspoint.Change, err error, repeated bool) error {
	var conflict *eelgrasspoint.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	if repeated {
		found, findErr := c.options.Historian.Find(ctx, change.ChangeID)
		if findErr != nil {
			return &eelgrasspoint.UnknownOutcomeError{ChangeID: change.ChangeID, Cause: findErr}
		}
		if found != 0 {
			return nil
		}
	}
	head, headErr := c.options.Historian.Head(ctx)
	if headErr != nil {
		head.Revision = change.Revision
	}
	return &eelgrasspoint.RevisionConflictError{Expected: change.Revision - 1, Winner: head.Revision}
}

// settled reports whether the fate of a change is known: an unavailable platform leaves an
// earlier write in doubt.
func settled(err error) bool {
	var conflict *eelgrasspoint.RevisionConflictError
	return err == nil || errors.As(err, &conflict)
}

// readBackInterval is the pause between two tries to settle a lost answer.
const readBackInterval = 250 * time.Millisecond

func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(readBackInterval):
	}
}

// compact keeps the history short. Whoever commits after a failure tries again.
func (c *Committer) compact(ctx context.Context, configuration eelgrasspoint.Configuration) {
	head, err := c.options.Historian.Head(ctx)
	if err != nil || head.Revision != configuration.Revision {
		return
	}
	if head.Revision-head.SnapshotRevision < eelgrasspoint.CompactAfter {
		return
	}
	_ = c.options.Historian.Compact(ctx, head, configuration)
}

func (c *Committer) mistakes(before, after *eelgrasspoint.Document, proposal Proposal) []eelgrasspoint.Mistake {
	mistakes := checker.Check(after)
	return append(mistakes, c.lastZones(before, after, proposal.Force)...)
}

// lastZones refuses to take out the last zone in service that has a service's backend servers.
func (c *Committer) lastZones(before, after *eelgrasspoint.Document, force []string) []eelgrasspoint.Mistake {
	var mistakes []eelgrasspoint.Mistake
	for service, zones := range c.zonesByService() {
		was, is := inService(before, zones), inService(after, zones)
		if len(was) == 0 || len(is) > 0 {
			continue
		}
		for _, zone := range was {
			if !slices.Contains(force, zone) {
				mistakes = append(mistakes, eelgrasspoint.Mistake{
					Path:    fmt.Sprintf("AvailabilityZones[%s].OutOfService", zone),
					Message: fmt.Sprintf("it is the last zone in service with backend servers of %q; force it by name to take it out all the same", service),
				})
			}
		}
	}
	slices.SortFunc(mistakes, func(a, b eelgrasspoint.Mistake) int {
		return slices.Compare([]string{a.Path, a.Message}, []string{b.Path, b.Message})
	})
	return mistakes
}

func (c *Committer) zonesByService() map[string][]string {
	zones := make(map[string][]string)
	for _, m := range c.options.Controller.View().Members {
		if !m.Alive() || m.BackendServer == nil {
			continue
		}
		service := m.BackendServer.Service
		if !slices.Contains(zones[service], m.AvailabilityZone) {
			zones[service] = append(zones[service], m.AvailabilityZone)
		}
	}
	return zones
}

// inService leaves out the zones that the document takes out of service.
func inService(document *eelgrasspoint.Document, zones []string) []string {
	return slices.DeleteFunc(slices.Clone(zones), func(name string) bool {
		return slices.ContainsFunc(document.AvailabilityZones, func(z eelgrasspoint.AvailabilityZone) bool {
			return z.Name == name && z.OutOfService
		})
	})
}

func (c *Committer) record(proposal Proposal, revision uint64, err error) {
	event := eelgrasspoint.Event{Number: eelgrasspoint.EventChangeAccepted, Detail: fmt.Sprintf("change %s is revision %d", proposal.Change.ChangeID, revision)}
	var unknown *eelgrasspoint.UnknownOutcomeError
	switch {
	case errors.As(err, &unknown):
		event = eelgrasspoint.Event{Number: eelgrasspoint.EventChangeUnknown, Detail: err.Error()}
	case err != nil:
		event = eelgrasspoint.Event{Number: eelgrasspoint.EventChangeRejected, Detail: err.Error()}
	}
	c.options.Recorder.Record(event)
}
