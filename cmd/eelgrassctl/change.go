package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"eelgrasspoint"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/protocol/translator"
	"eelgrasspoint/state/decoder"
	"eelgrasspoint/state/validator"
)

// waitInterval is the pause between two questions whether a revision is in force.
const waitInterval = 200 * time.Millisecond

func (s *session) apply(ctx context.Context) int {
	document, err := s.readFile()
	if err != nil {
		return s.reportMistakes(s.options.file, eelgrasspoint.Mistakes(err))
	}
	request := &schema.ApplyRequest{Put: translator.DocumentMessage(document)}
	if s.options.force {
		request.Force = zoneNames(document)
	}
	return s.commit(ctx, request)
}

func (s *session) remove(ctx context.Context) int {
	names := []string{s.options.name}
	removals := map[string]*schema.Removal{
		"region": {Regions: names}, "zone": {AvailabilityZones: names}, "service": {Services: names},
		"route": {Routes: names}, "client": {Clients: names}, "budget": {Budgets: names},
	}
	return s.commit(ctx, &schema.ApplyRequest{Remove: removals[s.options.object]})
}

// zone changes the one field and nothing that another operator changed since.
func (s *session) zone(ctx context.Context) int {
	response, err := s.client.Get(ctx, &schema.GetRequest{})
	if err != nil {
		return s.fail(err)
	}
	zones := response.GetConfiguration().GetAvailabilityZones()
	place := slices.IndexFunc(zones, func(z *schema.AvailabilityZone) bool { return z.GetName() == s.options.name })
	if place < 0 {
		known := make([]string, len(zones))
		for i, z := range zones {
			known[i] = z.GetName()
		}
		return s.fail(fmt.Errorf("availability zone %q is not defined%s", s.options.name, didYouMean(s.options.name, known)))
	}
	changed := &schema.AvailabilityZone{
		Name: zones[place].GetName(), Region: zones[place].GetRegion(), OutOfService: s.options.object == "out",
	}
	request := &schema.ApplyRequest{Put: &schema.Document{AvailabilityZones: []*schema.AvailabilityZone{changed}}}
	if s.options.force {
		request.Force = []string{s.options.name}
	}
	return s.commit(ctx, request)
}

// commit sends the change and says what became of it.
func (s *session) commit(ctx context.Context, request *schema.ApplyRequest) int {
	request.ChangeId = cmp.Or(s.options.changeID, uuid.NewString())
	request.ExpectedRevision = s.options.revision
	request.DryRun = s.options.dryRun
	response, err := s.client.Apply(ctx, request)
	if err != nil {
		return s.commitFailed(request.GetChangeId(), err)
	}
	if s.json() {
		s.print(response)
	}
	switch response.GetResult() {
	case schema.ApplyResult_APPLY_RESULT_ACCEPTED:
		return s.accepted(ctx, response)
	case schema.ApplyResult_APPLY_RESULT_INVALID:
		return s.reportMistakes("the change", mistakes(response.GetMistakes()))
	case schema.ApplyResult_APPLY_RESULT_CONFLICT:
		return s.fail(fmt.Errorf("another change won: revision %d is in force; look at it with get or diff, then try again", response.GetRevision()))
	case schema.ApplyResult_APPLY_RESULT_UNKNOWN:
		return s.unknown(response.GetChangeId(), response.GetDetail())
	default:
		return s.fail(fmt.Errorf("the change was not made: %s", response.GetDetail()))
	}
}

// commitFailed tells a call that did not reach the node from one whose answer was lost.
func (s *session) commitFailed(changeID string, err error) int {
	if !s.connected {
		return s.fail(fmt.Errorf("the change was not made: %w", err))
	}
	return s.unknown(changeID, err.Error())
}

func (s *session) unknown(changeID, detail string) int {
	fmt.Fprintf(s.errors, "eelgrassctl: the outcome is unknown (%s)\nask again with --change-id %s: the change is made at most once\n", detail, changeID)
	return exitUnknown
}

func (s *session) accepted(ctx context.Context, response *schema.ApplyResponse) int {
	if s.options.dryRun {
		s.say("the change would be accepted after revision %d", response.GetRevision())
		return exitDone
	}
	s.say("accepted as revision %d", response.GetRevision())
	if !s.options.wait {
		return exitDone
	}
	return s.awaitRevision(ctx, response.GetRevision())
}

// say writes a line unless the output is JSON.
func (s *session) say(format string, args ...any) {
	if !s.json() {
		fmt.Fprintf(s.out, format+"\n", args...)
	}
}

// awaitRevision asks until every node has the revision, and names those that don't.
func (s *session) awaitRevision(ctx context.Context, revision uint64) int {
	deadline := time.Now().Add(s.options.waitTime)
	for {
		response, err := s.client.Rollout(ctx, &schema.RolloutRequest{Revision: revision})
		if err == nil && len(lagging(response, revision)) == 0 {
			s.say("in force at all %d nodes", len(response.GetNodes()))
			return exitDone
		}
		if time.Now().After(deadline) {
			return s.notConfirmed(response, revision, err)
		}
		time.Sleep(waitInterval)
	}
}

func (s *session) notConfirmed(response *schema.RolloutResponse, revision uint64, err error) int {
	if err != nil {
		return s.fail(err)
	}
	return s.fail(fmt.Errorf("revision %d could not be confirmed at: %s", revision, strings.Join(lagging(response, revision), ", ")))
}

func lagging(response *schema.RolloutResponse, revision uint64) []string {
	var names []string
	for _, node := range response.GetNodes() {
		if node.GetRevision() < revision {
			names = append(names, node.GetNode())
		}
	}
	return names
}

func (s *session) validate(context.Context) int {
	document, err := s.readFile()
	if err != nil {
		return s.reportMistakes(s.options.file, eelgrasspoint.Mistakes(err))
	}
	if found := validator.Validate(document); len(found) > 0 {
		return s.reportMistakes(s.options.file, found)
	}
	s.say("%s: correct", s.options.file)
	return exitDone
}

func (s *session) readFile() (*eelgrasspoint.Document, error) {
	data, err := os.ReadFile(s.options.file)
	if err != nil {
		return nil, err
	}
	document := &eelgrasspoint.Document{}
	return document, decoder.Decode(data, document)
}

func (s *session) reportMistakes(of string, list []eelgrasspoint.Mistake) int {
	fmt.Fprintf(s.errors, "eelgrassctl: %s has %d mistakes:\n", of, len(list))
	for _, mistake := range list {
		fmt.Fprintf(s.errors, "  %s: %s\n", mistake.Path, mistake.Message)
	}
	return exitFailed
}

func mistakes(list []*schema.FieldMistake) []eelgrasspoint.Mistake {
	out := make([]eelgrasspoint.Mistake, len(list))
	for i, m := range list {
		out[i] = eelgrasspoint.Mistake{Path: m.GetPath(), Message: m.GetMessage()}
	}
	return out
}

func zoneNames(document *eelgrasspoint.Document) []string {
	names := make([]string, len(document.AvailabilityZones))
	for i, zone := range document.AvailabilityZones {
		names[i] = zone.Name
	}
	return names
}
