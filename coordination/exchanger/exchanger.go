// Package exchanger is the receiving side of the exchange between nodes: it answers their heartbeats
// and their requests for members, configuration and events, and receives their crash reports.
package exchanger

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/twitchtv/twirp"

	"eelgrasspoint"
	"eelgrasspoint/coordination/assigner"
	"eelgrasspoint/coordination/controller"
	"eelgrasspoint/coordination/quarantiner"
	"eelgrasspoint/coordination/tracker"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/protocol/translator"
)

// Exchanger implements schema.Exchange.
type Exchanger struct{ options Options }

// Options are the settings and dependencies of an exchanger.
type Options struct {
	Cluster    string
	Controller *controller.Controller
	Recorder   eelgrasspoint.Recorder
	// Load returns the load of the local backend server.
	Load func() eelgrasspoint.Load
	// Witness advances the event clock past the time of a peer's event clock.
	Witness func(time.Time)
	// Now returns the time of the event clock.
	Now func() time.Time
	// Heard is called with the name of each node that sends a heartbeat.
	Heard func(name string)
	// Tracker remembers which updates other nodes have.
	Tracker *tracker.Tracker
	// Clock is the local clock, by which intervals are measured.
	Clock eelgrasspoint.Clock
	// StartFetch fetches the configuration from a member if its revision is higher than after, without waiting. It may ask
	// the member again as long as hasNews reports that the member has news.
	StartFetch func(m eelgrasspoint.Member, after eelgrasspoint.Revision, hasNews func() bool)
	// Events returns the recorded events that match the request.
	Events func(request *schema.TimelineRequest) []eelgrasspoint.Event
	// Settled reports whether this node has joined, so that it knows the departures that were gossiped.
	Settled func() bool
	// Quarantiner holds the requests that crash backend servers.
	Quarantiner *quarantiner.Quarantiner
}

var _ schema.Exchange = (*Exchanger)(nil)

// New returns an exchanger.
func New(options Options) *Exchanger { return &Exchanger{options: options} }

// Converse applies the member updates of a peer and answers with those of this node. It returns
// PermissionDenied if the peer belongs to another cluster.
func (e *Exchanger) Converse(_ context.Context, request *schema.ConverseRequest) (*schema.ConverseResponse, error) {
	if request.GetCluster() != e.options.Cluster {
		e.recordBadInput("rejected a message from a node of another cluster: node " + request.GetFrom() + ", cluster " + request.GetCluster())
		return nil, twirp.PermissionDenied.Error("the message is from cluster " + request.GetCluster() + ", but the node belongs to another cluster")
	}
	e.options.Witness(time.Unix(0, int64(request.GetWall())))
	e.options.Heard(request.GetFrom())
	e.mergeMembers(request)
	view := e.options.Controller.View()
	theirs := translator.Revision(request.GetRevision(), request.GetLargeRevision())
	if e.options.Controller.Configuration().HasNews(theirs, request.GetStateDigest()) {
		e.pullFrom(view, request)
	}
	updates := e.updatesFor(view, request)
	revision, large := translator.RevisionMessage(view.Revision)
	return &schema.ConverseResponse{
		From:             view.Self.Name,
		Revision:         revision,
		LargeRevision:    large,
		StateDigest:      view.StateDigest,
		QuarantineDigest: e.options.Quarantiner.Digest(view.Self.Region, request.GetRegion()),
		Digest:           view.Digest,
		News:             translator.MemberMessages(updates),
		Load:             translator.LoadMessage(e.options.Load()),
		Wall:             uint64(e.options.Now().UnixNano()),
	}, nil
}

// updatesFor returns the updates that the sender of the request lacks, as far as this node knows, and this node's own
// entry: the sender may have marked this node as failed. With equal digests, it lacks none.
func (e *Exchanger) updatesFor(view *eelgrasspoint.MembershipView, request *schema.ConverseRequest) []eelgrasspoint.Member {
	if request.GetDigest() == view.Digest {
		return nil
	}
	now := e.options.Clock()
	updates := e.options.Tracker.Missing(request.GetFrom(), view.News, now)
	e.options.Tracker.Sent(request.GetFrom(), updates, now)
	return append([]eelgrasspoint.Member{view.Self}, updates...)
}

func (e *Exchanger) mergeMembers(request *schema.ConverseRequest) {
	members, invalid := translator.Members(request.GetNews())
	e.options.Tracker.Acknowledge(request.GetFrom(), members)
	if invalid > 0 {
		e.recordBadInput(fmt.Sprintf("ignored %d invalid member entries from %s", invalid, request.GetFrom()))
	}
	if len(members) > 0 {
		e.options.Controller.Submit(controller.MergeMembers{Members: members})
	}
}

// pullFrom fetches the configuration from the sender. It looks for the sender's entry in the request
// first, because the view may not contain the entry yet.
func (e *Exchanger) pullFrom(view *eelgrasspoint.MembershipView, request *schema.ConverseRequest) {
	updates, _ := translator.Members(request.GetNews())
	theirs := translator.Revision(request.GetRevision(), request.GetLargeRevision())
	hasNews := func() bool {
		return e.options.Controller.Configuration().HasNews(theirs, request.GetStateDigest())
	}
	for _, m := range append(updates, view.Members...) {
		if m.Name == request.GetFrom() {
			e.options.StartFetch(m, view.Revision, hasNews)
			return
		}
	}
}

// Configuration returns the configuration in force if its revision is higher than AfterRevision, or the same with another
// state than the caller's, and an empty response otherwise.
func (e *Exchanger) Configuration(_ context.Context, request *schema.ConfigurationRequest) (*schema.GetResponse, error) {
	configuration := e.options.Controller.Configuration()
	after := translator.Revision(request.GetAfterRevision(), request.GetLargeAfterRevision())
	later := configuration.Revision.After(after)
	another := configuration.Revision == after && configuration.StateDigest() != request.GetStateDigest()
	if !later && !another {
		return &schema.GetResponse{}, nil
	}
	return translator.ConfigurationMessage(configuration), nil
}

// Members returns the members in the buckets whose digests differ from the caller's, and the caller's own entry if
// it has departures, which the caller's process may not know.
func (e *Exchanger) Members(_ context.Context, request *schema.MembersRequest) (*schema.MembersResponse, error) {
	known := e.options.Controller.View().Members
	differing := assigner.DifferingBuckets(known, request.GetDigests())
	members := append(assigner.MembersInBuckets(known, differing), withDepartures(known, request.GetFrom())...)
	return &schema.MembersResponse{
		Members: translator.MemberMessages(members), Buckets: differing, Settled: e.options.Settled(),
	}, nil
}

// withDepartures returns the entry of the named member if it has departures.
func withDepartures(members []eelgrasspoint.Member, name string) []eelgrasspoint.Member {
	i := slices.IndexFunc(members, func(m eelgrasspoint.Member) bool { return m.Name == name })
	if i < 0 || len(members[i].Departures) == 0 {
		return nil
	}
	return members[i : i+1]
}

// Events returns the recorded events that match the request.
func (e *Exchanger) Events(_ context.Context, request *schema.TimelineRequest) (*schema.TimelineResponse, error) {
	response := &schema.TimelineResponse{}
	for _, event := range e.options.Events(request) {
		response.Events = append(response.Events, translator.EventMessage(event))
	}
	return response, nil
}

// Crashed handles a crash report of another exit node of the service.
func (e *Exchanger) Crashed(_ context.Context, request *schema.CrashedRequest) (*schema.CrashedResponse, error) {
	e.options.Quarantiner.RecordCrash(request.GetCrash(), translator.CrashSuspects(request))
	return &schema.CrashedResponse{}, nil
}

// Quarantines learns the quarantines of the caller, and returns those of this node that the caller's region may receive.
func (e *Exchanger) Quarantines(_ context.Context, request *schema.QuarantinesRequest) (*schema.QuarantinesResponse, error) {
	now := e.options.Clock()
	e.options.Quarantiner.Clear(request.GetDisproved())
	disproved := e.options.Quarantiner.Learn(translator.Quarantines(request.GetQuarantines(), now))
	return &schema.QuarantinesResponse{
		Quarantines: translator.QuarantineMessages(e.options.Quarantiner.Quarantines(request.GetRegion()), now),
		Disproved:   disproved,
	}, nil
}

func (e *Exchanger) recordBadInput(detail string) {
	e.options.Recorder.Record(eelgrasspoint.Event{Number: eelgrasspoint.EventBadInput, Detail: detail})
}
