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

// rolloutPollInterval is the pause between two polls of the nodes' revisions.
const rolloutPollInterval = 200 * time.Millisecond

func (s *session) apply(ctx context.Context) int {
	document, err := s.readFile()
	if err != nil {
		return s.printMistakes(s.options.file, eelgrasspoint.Mistakes(err))
	}
	request := &schema.ApplyRequest{Put: translator.DocumentMessage(document)}
	if s.options.force {
		request.Force = zoneNames(document)
	}
	return s.commit(ctx, request)
}

// remove commits the removal of one definition. It ignores --force.
func (s *session) remove(ctx context.Context) int {
	names := []string{s.options.name}
	removals := map[string]*schema.Removal{
		"region": {Regions: names}, "zone": {AvailabilityZones: names}, "service": {Services: names},
		"route": {Routes: names}, "client": {Clients: names}, "budget": {Budgets: names},
	}
	return s.commit(ctx, &schema.ApplyRequest{Remove: removals[s.options.object]})
}

// zone takes one availability zone out of service or back into service. The change contains only
// that zone, so that it overwrites no concurrent change of another definition.
func (s *session) zone(ctx context.Context) int {
	response, err := s.client.Get(ctx, &schema.GetRequest{})
	if err != nil {
		return s.fail(err)
	}
	zones := response.GetConfiguration().GetAvailabilityZones()
	index := slices.IndexFunc(zones, func(z *schema.AvailabilityZone) bool { return z.GetName() == s.options.name })
	if index < 0 {
		known := make([]string, len(zones))
		for i, z := range zones {
			known[i] = z.GetName()
		}
		return s.fail(fmt.Errorf("availability zone %q is not defined%s", s.options.name, suggestion(s.options.name, known)))
	}
	changed := &schema.AvailabilityZone{
		Name: zones[index].GetName(), Region: zones[index].GetRegion(), OutOfService: s.options.object == "out",
	}
	request := &schema.ApplyRequest{Put: &schema.Document{AvailabilityZones: []*schema.AvailabilityZone{changed}}}
	if s.options.force {
		request.Force = []string{s.options.name}
	}
	return s.commit(ctx, request)
}

// commit sends the change to the node and prints the result.
func (s *session) commit(ctx context.Context, request *schema.ApplyRequest) int {
	request.ChangeId = cmp.Or(s.options.changeID, uuid.NewString())
	request.ExpectedRevision = s.options.expectedRevision
	request.DryRun = s.options.dryRun
	response, err := s.client.Apply(ctx, request)
	if err != nil {
		return s.reportFailedCall(request.GetChangeId(), err)
	}
	if s.json() {
		s.printMessage(response)
	}
	switch response.GetResult() {
	case schema.ApplyResult_APPLY_RESULT_ACCEPTED:
		return s.reportAccepted(ctx, response)
	case schema.ApplyResult_APPLY_RESULT_INVALID:
		return s.printMistakes("the change", mistakesFromMessages(response.GetMistakes()))
	case schema.ApplyResult_APPLY_RESULT_CONFLICT:
		return s.fail(fmt.Errorf("the change conflicts with revision %d, which is in force; inspect it with get or diff, then try again", response.GetRevision()))
	case schema.ApplyResult_APPLY_RESULT_UNKNOWN:
		return s.reportUnknown(response.GetChangeId(), response.GetDetail())
	default:
		return s.fail(fmt.Errorf("the change was not made: %s", response.GetDetail()))
	}
}

// reportFailedCall reports an Apply call that returned an error. Without a connection to the node the
// change was certainly not made; otherwise the response may be lost and the outcome is unknown.
func (s *session) reportFailedCall(changeID string, err error) int {
	if !s.connected {
		return s.fail(fmt.Errorf("the change was not made: %w", err))
	}
	return s.reportUnknown(changeID, err.Error())
}

func (s *session) reportUnknown(changeID, detail string) int {
	fmt.Fprintf(s.errors, "eelgrassctl: the outcome of the change is unknown (%s)\nrepeat the command with --change-id %s: the change is made at most once\n", detail, changeID)
	return exitUnknown
}

func (s *session) reportAccepted(ctx context.Context, response *schema.ApplyResponse) int {
	if s.options.dryRun {
		s.printLine("the change would be accepted on top of revision %d", response.GetRevision())
		return exitOK
	}
	s.printLine("accepted as revision %d", response.GetRevision())
	if !s.options.wait {
		return exitOK
	}
	return s.awaitRevision(ctx, response.GetRevision())
}

// printLine writes a formatted line, or nothing if the output is JSON.
func (s *session) printLine(format string, args ...any) {
	if !s.json() {
		fmt.Fprintf(s.out, format+"\n", args...)
	}
}

// awaitRevision polls until every node has the revision in force. After --wait-time it reports the
// nodes that have an older revision or whose revision could not be read.
func (s *session) awaitRevision(ctx context.Context, revision uint64) int {
	deadline := time.Now().Add(s.options.waitTime)
	for {
		response, err := s.client.Rollout(ctx, &schema.RolloutRequest{Revision: revision})
		if err == nil && len(unconfirmedNodes(response, revision)) == 0 {
			s.printLine("in force on all %d nodes", len(response.GetNodes()))
			return exitOK
		}
		if time.Now().After(deadline) {
			return s.reportUnconfirmed(response, revision, err)
		}
		time.Sleep(rolloutPollInterval)
	}
}

func (s *session) reportUnconfirmed(response *schema.RolloutResponse, revision uint64, err error) int {
	if err != nil {
		return s.fail(fmt.Errorf("revision %d is committed, but its rollout could not be read: %w", revision, err))
	}
	return s.fail(fmt.Errorf("revision %d is committed, but was not confirmed in force within %v on: %s; see eelgrassctl rollout", revision, s.options.waitTime, strings.Join(unconfirmedNodes(response, revision), ", ")))
}

// unconfirmedNodes returns the nodes that have an older revision or whose revision could not be read.
func unconfirmedNodes(response *schema.RolloutResponse, revision uint64) []string {
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
		return s.printMistakes(s.options.file, eelgrasspoint.Mistakes(err))
	}
	if found := validator.Validate(document); len(found) > 0 {
		return s.printMistakes(s.options.file, found)
	}
	s.printLine("%s: correct", s.options.file)
	return exitOK
}

// readFile reads the definitions of --file. Invalid JSON is an *eelgrasspoint.InvalidError.
func (s *session) readFile() (*eelgrasspoint.Document, error) {
	data, err := os.ReadFile(s.options.file)
	if err != nil {
		return nil, err
	}
	document := &eelgrasspoint.Document{}
	return document, decoder.Decode(data, document)
}

// printMistakes prints each mistake with its path. An error that is not a mistake of the subject, such
// as a missing file, has an empty path.
func (s *session) printMistakes(subject string, list []eelgrasspoint.Mistake) int {
	fmt.Fprintf(s.errors, "eelgrassctl: mistakes in %s: %d\n", subject, len(list))
	for _, mistake := range list {
		fmt.Fprintf(s.errors, "  %s: %s\n", mistake.Path, mistake.Message)
	}
	return exitFailed
}

func mistakesFromMessages(list []*schema.FieldMistake) []eelgrasspoint.Mistake {
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
