// Package committer validates and commits the configuration changes of operators.
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

// Committer commits configuration changes. It is safe for concurrent use; the table service orders the
// commits of all nodes.
type Committer struct{ options Options }

// Options are the dependencies of a Committer.
type Options struct {
	Controller *controller.Controller
	Publisher  *publisher.Publisher
	Recorder   eelgrasspoint.Recorder
}

// Proposal is a configuration change requested by an operator.
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

// Commit commits a change and returns its revision; a repeated call with the same change identifier
// returns the same revision. A dry run validates the change and writes nothing; it returns the current
// revision, or that of the change if it was committed before. The error is *eelgrasspoint.InvalidError,
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
	revision := base.Configuration.Revision.Version
	if inForce := c.options.Controller.View().Revision.Version; inForce > revision {
		// The read was stale: this node already has a later revision. A change must not be based on a
		// stale configuration.
		return 0, &eelgrasspoint.RevisionConflictError{Expected: revision, Winner: inForce}
	}
	if proposal.ExpectedRevision != 0 && proposal.ExpectedRevision != revision {
		return 0, &eelgrasspoint.RevisionConflictError{Expected: proposal.ExpectedRevision, Winner: revision}
	}
	next := merger.Apply(&base.Configuration.Document, &proposal.Put, &proposal.Remove)
	if mistakes := c.validate(&base.Configuration.Document, &next, proposal); len(mistakes) > 0 {
		return 0, &eelgrasspoint.InvalidError{Mistakes: mistakes}
	}
	if proposal.DryRun {
		return revision, nil
	}
	if err := c.replace(ctx, base, proposal.ChangeID, &next); err != nil {
		return 0, err
	}
	c.options.Controller.Submit(controller.ReplaceConfiguration{Configuration: eelgrasspoint.Configuration{
		Revision: eelgrasspoint.Revision{Version: revision + 1}, Document: next, Provenance: eelgrasspoint.Provenance{Origin: eelgrasspoint.OwnChange},
	}})
	return revision + 1, nil
}

// replace writes the document. If the response to the write is lost, it repeats the write until the
// outcome is known or CommitRetryTimeout has passed. Every repetition is conditional on the same base, so
// at most one takes effect.
func (c *Committer) replace(ctx context.Context, base publisher.Published, changeID string, next *eelgrasspoint.Document) error {
	err := c.options.Publisher.Replace(ctx, base, changeID, next)
	var unknown *eelgrasspoint.UnknownOutcomeError
	if !errors.As(err, &unknown) {
		return c.resolveConflict(ctx, base, changeID, err, false)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), eelgrasspoint.CommitRetryTimeout)
	defer cancel()
	for ctx.Err() == nil {
		err = c.resolveConflict(ctx, base, changeID, c.options.Publisher.Replace(ctx, base, changeID, next), true)
		if outcomeKnown(err) {
			return err
		}
		pause(ctx)
	}
	return &eelgrasspoint.UnknownOutcomeError{ChangeID: changeID, Cause: unknown.Cause}
}

// resolveConflict turns a *ConflictError into a *RevisionConflictError and returns other errors as they
// are. A repeated write may conflict with an earlier write of the same change: the change succeeded if the
// published configuration lists it as accepted; its outcome is unknown if the configuration can't be read.
func (c *Committer) resolveConflict(ctx context.Context, base publisher.Published, changeID string, err error, repeated bool) error {
	var conflict *eelgrasspoint.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	// Winner is exact only if the read succeeds. Otherwise, the revision in force is at least the next one.
	conflictErr := &eelgrasspoint.RevisionConflictError{Expected: base.Configuration.Revision.Version, Winner: base.Configuration.Revision.Version + 1}
	current, readErr := c.options.Publisher.Read(ctx)
	switch {
	case readErr != nil && repeated:
		return &eelgrasspoint.UnknownOutcomeError{ChangeID: changeID, Cause: readErr}
	case readErr != nil:
		return conflictErr
	case repeated && current.AcceptedRevision(changeID) != 0:
		return nil
	}
	conflictErr.Winner = current.Configuration.Revision.Version
	return conflictErr
}

// outcomeKnown reports whether the result of a repeated write decides whether the change took effect.
// An unavailable platform does not: the earlier write may still have taken effect.
func outcomeKnown(err error) bool {
	var conflict *eelgrasspoint.RevisionConflictError
	return err == nil || errors.As(err, &conflict)
}

// rewriteInterval is the pause between repetitions of a write whose response was lost.
const rewriteInterval = 250 * time.Millisecond

func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(rewriteInterval):
	}
}

func (c *Committer) validate(before, after *eelgrasspoint.Document, proposal Proposal) []eelgrasspoint.Mistake {
	mistakes := validator.Validate(after)
	return append(mistakes, c.lastZoneMistakes(before, after, proposal.Force)...)
}

// lastZoneMistakes returns the mistakes of a change that leaves a service without any zone: one for each zone
// that the change takes out of service and that has live backend servers of the service. Zones named in force
// (Proposal.Force) are excepted.
func (c *Committer) lastZoneMistakes(before, after *eelgrasspoint.Document, force []string) []eelgrasspoint.Mistake {
	var mistakes []eelgrasspoint.Mistake
	for service, zones := range c.zonesByService() {
		zonesBefore, zonesAfter := zonesInService(before, zones), zonesInService(after, zones)
		if len(zonesBefore) == 0 || len(zonesAfter) > 0 {
			continue
		}
		for _, zone := range zonesBefore {
			if !slices.Contains(force, zone) {
				mistakes = append(mistakes, eelgrasspoint.Mistake{
					Path:    fmt.Sprintf("AvailabilityZones[%s].OutOfService", zone),
					Message: fmt.Sprintf("no other zone with backend servers of %q would remain in service; name the zone in Force to take it out of service anyway", service),
				})
			}
		}
	}
	slices.SortFunc(mistakes, func(a, b eelgrasspoint.Mistake) int {
		return slices.Compare([]string{a.Path, a.Message}, []string{b.Path, b.Message})
	})
	return mistakes
}

// zonesByService returns the zones that have live backend servers, by service.
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

// zonesInService returns the zones without those that the document takes out of service.
func zonesInService(document *eelgrasspoint.Document, zones []string) []string {
	return slices.DeleteFunc(slices.Clone(zones), func(name string) bool {
		return slices.ContainsFunc(document.AvailabilityZones, func(z eelgrasspoint.AvailabilityZone) bool {
			return z.Name == name && z.OutOfService
		})
	})
}

func (c *Committer) record(proposal Proposal, revision uint64, err error) {
	event := eelgrasspoint.Event{Number: eelgrasspoint.EventChangeAccepted, Detail: fmt.Sprintf("change %s accepted as revision %d", proposal.ChangeID, revision)}
	var unknown *eelgrasspoint.UnknownOutcomeError
	switch {
	case errors.As(err, &unknown):
		event = eelgrasspoint.Event{Number: eelgrasspoint.EventChangeUnknown, Detail: err.Error()}
	case err != nil:
		event = eelgrasspoint.Event{Number: eelgrasspoint.EventChangeRejected, Detail: fmt.Sprintf("change %s rejected: %v", proposal.ChangeID, err)}
	}
	c.options.Recorder.Record(event)
}
