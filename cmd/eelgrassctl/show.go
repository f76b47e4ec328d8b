package main

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"eelgrasspoint"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/protocol/translator"
)

// eventPollInterval is the pause between two polls for new events.
const eventPollInterval = time.Second

func (s *session) get(ctx context.Context) int {
	response, err := s.client.Get(ctx, &schema.GetRequest{})
	if err != nil {
		return s.fail(err)
	}
	if s.json() {
		return s.printMessage(response)
	}
	fmt.Fprintf(s.out, "revision %v\n", translator.Revision(response.GetRevision(), response.GetLargeRevision()))
	return s.printMessage(response.GetConfiguration())
}

// diff lists the definitions that applying the file would add or change. It does not list definitions
// that the file lacks, because apply keeps them. It returns exitFailed if there are differences.
func (s *session) diff(ctx context.Context) int {
	document, err := s.readFile()
	if err != nil {
		return s.printMistakes(s.options.file, eelgrasspoint.Mistakes(err))
	}
	response, err := s.client.Get(ctx, &schema.GetRequest{})
	if err != nil {
		return s.fail(err)
	}
	lines := compareDocuments(response.GetConfiguration(), translator.DocumentMessage(document))
	if s.json() {
		s.printValue(struct{ Differences []string }{lines})
	} else {
		s.printLine("%s", strings.Join(append(lines, fmt.Sprintf("differences: %d", len(lines))), "\n"))
	}
	if len(lines) > 0 {
		return exitFailed
	}
	return exitOK
}

// definition is the interface that all definition messages implement.
type definition interface {
	proto.Message
	GetName() string
}

// compareDocuments returns a line for each definition of the file that is new (+) or changed (~).
func compareDocuments(inForce, file *schema.Document) []string {
	var lines []string
	lines = append(lines, compareDefinitions("Regions", inForce.GetRegions(), file.GetRegions())...)
	lines = append(lines, compareDefinitions("AvailabilityZones", inForce.GetAvailabilityZones(), file.GetAvailabilityZones())...)
	lines = append(lines, compareDefinitions("Services", inForce.GetServices(), file.GetServices())...)
	lines = append(lines, compareDefinitions("Routes", inForce.GetRoutes(), file.GetRoutes())...)
	lines = append(lines, compareDefinitions("Clients", inForce.GetClients(), file.GetClients())...)
	return append(lines, compareDefinitions("Budgets", inForce.GetBudgets(), file.GetBudgets())...)
}

func compareDefinitions[T definition](list string, inForce, file []T) []string {
	var lines []string
	for _, item := range file {
		index := slices.IndexFunc(inForce, func(other T) bool { return other.GetName() == item.GetName() })
		switch {
		case index < 0:
			lines = append(lines, fmt.Sprintf("+ %s[%s] %s", list, item.GetName(), compactJSON(item)))
		case !proto.Equal(inForce[index], item):
			lines = append(lines, fmt.Sprintf("~ %s[%s] %s -> %s", list, item.GetName(), compactJSON(inForce[index]), compactJSON(item)))
		}
	}
	return lines
}

func compactJSON(message proto.Message) string {
	data, _ := protojson.MarshalOptions{UseProtoNames: true}.Marshal(message)
	return string(data)
}

func (s *session) status(ctx context.Context) int {
	response, err := s.client.Status(ctx, &schema.StatusRequest{})
	if err != nil {
		return s.fail(err)
	}
	if s.json() {
		return s.printMessage(response)
	}
	fmt.Fprintf(s.out, "node %s, revision %v\n\n", response.GetNode(), translator.Revision(response.GetRevision(), response.GetLargeRevision()))
	s.printTable(zoneRows(response))
	fmt.Fprintln(s.out)
	s.printTable(nodeRows(response))
	return s.printRefusedRoutes(ctx)
}

// printRefusedRoutes prints the routes whose requests the node refuses, since it can't read their definition.
func (s *session) printRefusedRoutes(ctx context.Context) int {
	response, err := s.client.Get(ctx, &schema.GetRequest{})
	if err != nil {
		return s.fail(err)
	}
	document := translator.Document(response.GetConfiguration())
	for i := range document.Routes {
		if route := &document.Routes[i]; route.Refuses() {
			s.printLine("route %s (%s%s) is refused: the node can't read its definition, see the event DefinitionUnread", route.Name, route.Host, route.PathPrefix)
		}
	}
	return exitOK
}

func zoneRows(response *schema.StatusResponse) [][]string {
	rows := [][]string{{"ZONE", "REGION", "STATE"}}
	for _, zone := range response.GetAvailabilityZones() {
		state := "in service"
		if zone.GetOutOfService() {
			state = "out of service"
		}
		rows = append(rows, []string{zone.GetName(), zone.GetRegion(), state})
	}
	return rows
}

func nodeRows(response *schema.StatusResponse) [][]string {
	rows := [][]string{{"NODE", "ZONE", "STATE", "SERVICE", "BACKEND SERVER", "SLOTS", "IN USE", "LIMIT", "QUEUED"}}
	for _, node := range response.GetNodes() {
		rows = append(rows, nodeRow(node))
	}
	return rows
}

func nodeRow(node *schema.NodeStatus) []string {
	m := node.GetMember()
	row := []string{m.GetName(), m.GetAvailabilityZone(), nodeState(node), "-", "-", "-", "-", "-", "-"}
	if b := m.GetBackendServer(); b != nil {
		row[3], row[4], row[5] = b.GetService(), b.GetAddress(), strconv.Itoa(int(b.GetSlots()))
	}
	if load := node.GetLoad(); load != nil {
		row[6], row[7], row[8] = strconv.Itoa(int(load.GetInUse())), strconv.Itoa(int(load.GetLimit())), strconv.Itoa(int(load.GetQueued()))
	}
	return row
}

func nodeState(node *schema.NodeStatus) string {
	m := node.GetMember()
	switch {
	case m.GetLeft():
		return "left"
	case m.GetFailed():
		return "failed"
	case m.GetBackendServer().GetDraining():
		return "draining"
	case node.GetSuspect():
		return "suspect"
	default:
		return "alive"
	}
}

func (s *session) rollout(ctx context.Context) int {
	response, err := s.client.Rollout(ctx, &schema.RolloutRequest{})
	if err != nil {
		return s.fail(err)
	}
	if s.json() {
		return s.printMessage(response)
	}
	rows := [][]string{{"NODE", "REVISION", "ERROR"}}
	for _, node := range response.GetNodes() {
		revision := translator.Revision(node.GetRevision(), node.GetLargeRevision())
		rows = append(rows, []string{node.GetNode(), revision.String(), node.GetError()})
	}
	s.printTable(rows)
	return exitOK
}

// timeline prints the events of all nodes; with --follow it polls for new events until a call fails.
func (s *session) timeline(ctx context.Context) int {
	request := &schema.TimelineRequest{
		Service: s.options.service, AvailabilityZone: s.options.zone, RequestId: s.options.requestID,
		MaxEvents: uint32(s.options.maxEvents), Everywhere: true,
	}
	for {
		response, err := s.client.Timeline(ctx, request)
		if err != nil {
			return s.fail(err)
		}
		s.printEvents(response)
		if !s.options.follow {
			return exitOK
		}
		if events := response.GetEvents(); len(events) > 0 {
			request.AfterWall = events[len(events)-1].GetWall()
		}
		time.Sleep(eventPollInterval)
	}
}

// printEvents writes a line for each event: time and logical clock, node, number and name of the event,
// service, request and detail. Unreachable nodes go to the error output. With --output json it prints
// the whole response.
func (s *session) printEvents(response *schema.TimelineResponse) {
	if s.json() {
		s.printMessage(response)
		return
	}
	for _, e := range response.GetEvents() {
		at := time.Unix(0, int64(e.GetWall())).UTC().Format("15:04:05.000000")
		fmt.Fprintln(s.out, strings.TrimRight(fmt.Sprintf("%s.%d %-22s %4d %-20s %s %s %s",
			at, e.GetLogical(), e.GetNode(), e.GetNumber(), e.GetName(), e.GetService(), e.GetRequestId(), e.GetDetail()), " "))
	}
	if unreachable := response.GetUnreachable(); len(unreachable) > 0 {
		fmt.Fprintf(s.errors, "unreachable nodes: %s\n", strings.Join(unreachable, ", "))
	}
}

func (s *session) drain(ctx context.Context) int {
	if _, err := s.client.Drain(ctx, &schema.DrainRequest{}); err != nil {
		return s.fail(err)
	}
	s.printLine("draining")
	return exitOK
}
