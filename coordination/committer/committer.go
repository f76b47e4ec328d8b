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
	"eelgrasspoint/state/merger"
	"eelgrasspoint/state/publisher"
	"eelgrasspoint/state/validator"
)

// Committer is safe for concurrent use; the table service orders the commits of all nodes.
type Committer struct{ options Options }

// Options are what a committer depends on.
type Options struct {
	Controller *controller.Controller
	Publisher  *publisher.Publisher
	Recorder   eelgrasspoint.Recorder
}

// Proposal is a change that an operator asks for.
type Proposal struct {
	ChangeID         string
	Put              eelgrasspoint.Document
	Remove           eelgrasspoint.Removal
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
	base, err := c.options.Publisher.Read(ctx)
	if err != nil {
		return 0, err
	}
	c.options.Controller.Submit(controller.ReplaceConfiguration{Configuration: base.Configuration})
	if found := base.AcceptedRevision(proposal.ChangeID); found != 0 {
		return found, nil
	}
	revision := base.Configuration.Revision
	if inForce := c.options.Controller.View().Revision; inForce > revision {
		// The read was stale; nothing may be committed on it.
		return 0, &eelgrasspoint.RevisionConflictError{Expected: revision, Winner: inForce}
	}
	if proposal.ExpectedRevision != 0 && proposal.ExpectedRevision != revision {
		return 0, &eelgrasspoint.RevisionConflictError{Expected: proposal.ExpectedRevision, Winner: revision}
	}
	next := merger.Apply(&base.Configuration.Document, &proposal.Put, &proposal.Remove)
	if mistakes := c.mistakes(&base.Configuration.Document, &next, proposal); len(mistakes) > 0 {
		return 0, &eelgrasspoint.InvalidError{Mistakes: mistakes}
	}
	if proposal.DryRun {
		return revision, nil
	}
	if err := c.replace(ctx, base, proposal.ChangeID, &next); err != nil {
		return 0, err
	}
	c.options.Controller.Submit(controller.ReplaceConfiguration{Configuration: eelgrasspoint.Configuration{Revision: revision + 1, Document: next}})
	return revision + 1, nil
}

// replace writes the document and settles a lost answer. Every repetition is conditional on the
// same base, so that at most one takes effect.
func (c *Committer) replace(ctx context.Context, base publisher.Published, changeID string, next *eelgrasspoint.Document) error {
	err := c.options.Publisher.Replace(ctx, base, changeID, next)
	var unknown *eelgrasspoint.UnknownOutcomeError
	if !errors.As(err, &unknown) {
		return c.replaceError(ctx, base, changeID, err, false)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), eelgrasspoint.ReadBackTimeout)
	defer cancel()
	for ctx.Err() == nil {
		err = c.replaceError(ctx, base, changeID, c.options.Publisher.Replace(ctx, base, changeID, next), true)
		if settled(err) {
			return err
		}
		pause(ctx)
	}
	return &eelgrasspoint.UnknownOutcomeError{ChangeID: changeID, Cause: unknown.Cause}
}

// replaceError turns a conflict into what it means. A conflict after a lost answer may be with
// the first write of this very change, so its identifier decides.
func (c *Committer) replaceError(ctx context.Context, base publisher.Published, changeID string, err error, repeated bool) error {
	var conflict *eelgrasspoint.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	lost := &eelgrasspoint.RevisionConflictError{Expected: base.Configuration.Revision, Winner: base.Configuration.Revision + 1}
	now, readErr := c.options.Publisher.Read(ctx)
	switch {
	case readErr != nil && repeated:
		return &eelgrasspoint.UnknownOutcomeError{ChangeID: changeID, Cause: readErr}
	case readErr != nil:
		return lost
	case repeated && now.AcceptedRevision(changeID) != 0:
		return nil
	}
	lost.Winner = now.Configuration.Revision
	return lost
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

func (c *Committer) mistakes(before, after *eelgrasspoint.Document, proposal Proposal) []eelgrasspoint.Mistake {
	mistakes := validator.Validate(after)
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
	event := eelgrasspoint.Event{Number: eelgrasspoint.EventChangeAccepted, Detail: fmt.Sprintf("change %s is revision %d", proposal.ChangeID, revision)}
	var unknown *eelgrasspoint.UnknownOutcomeError
	switch {
	case errors.As(err, &unknown):
		event = eelgrasspoint.Event{Number: eelgrasspoint.EventChangeUnknown, Detail: err.Error()}
	case err != nil:
		event = eelgrasspoint.Event{Number: eelgrasspoint.EventChangeRejected, Detail: err.Error()}
	}
	c.options.Recorder.Record(event)
}
