// Package operator implements the RPC service that operators call.
package operator

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/twitchtv/twirp"

	"eelgrasspoint"
	"eelgrasspoint/coordination/committer"
	"eelgrasspoint/coordination/controller"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/protocol/translator"
	"eelgrasspoint/state/holder"
)

// Operator implements schema.Operators.
type Operator struct{ options Options }

// Options are the dependencies of an Operator.
type Options struct {
	Cluster    string
	Controller *controller.Controller
	Committer  *committer.Committer
	Holder     *holder.Holder
	// Client makes the calls to other nodes.
	Client *http.Client
	Load   func() eelgrasspoint.Load
	// Events returns the events recorded by this node that match a request, at most the newest
	// MaxTimelineEvents.
	Events func(request *schema.TimelineRequest) []eelgrasspoint.Event
	Clock  eelgrasspoint.Clock
	// Published is set if the platform publishes the configuration; Apply then accepts no changes.
	Published bool
}

var _ schema.Operators = (*Operator)(nil)

// maxConcurrentPeerCalls bounds the concurrent calls to other nodes that one call to an Operator makes.
const maxConcurrentPeerCalls = 32

// New returns an Operator.
func New(options Options) *Operator { return &Operator{options: options} }

// Apply commits one change. The result of the commit, errors included, is in the response.
func (o *Operator) Apply(ctx context.Context, request *schema.ApplyRequest) (*schema.ApplyResponse, error) {
	id := cmp.Or(request.GetChangeId(), uuid.NewString())
	if o.options.Published {
		return &schema.ApplyResponse{
			ChangeId: id, Result: schema.ApplyResult_APPLY_RESULT_UNAVAILABLE,
			Detail: "the platform publishes the configuration; change it there",
		}, nil
	}
	revision, err := o.options.Committer.Commit(ctx, committer.Proposal{
		ChangeID: id, Put: translator.Document(request.GetPut()), Remove: translator.Removal(request.GetRemove()),
		ExpectedRevision: request.GetExpectedRevision(),
		Force:            request.GetForce(),
		DryRun:           request.GetDryRun(),
	})
	response := &schema.ApplyResponse{ChangeId: id, Revision: revision, Result: schema.ApplyResult_APPLY_RESULT_ACCEPTED}
	setResult(response, err)
	return response, nil
}

// setResult sets the fields of the response that follow from the error of a commit.
func setResult(response *schema.ApplyResponse, err error) {
	if err == nil {
		return
	}
	response.Detail = err.Error()
	var invalid *eelgrasspoint.InvalidError
	var conflict *eelgrasspoint.RevisionConflictError
	var unknown *eelgrasspoint.UnknownOutcomeError
	switch {
	case errors.As(err, &invalid):
		response.Result = schema.ApplyResult_APPLY_RESULT_INVALID
		response.Mistakes = translator.MistakeMessages(invalid.Mistakes)
	case errors.As(err, &conflict):
		response.Result = schema.ApplyResult_APPLY_RESULT_CONFLICT
		response.Revision = conflict.Winner
	case errors.As(err, &unknown):
		response.Result = schema.ApplyResult_APPLY_RESULT_UNKNOWN
	default:
		response.Result = schema.ApplyResult_APPLY_RESULT_UNAVAILABLE
	}
}

// Get returns the configuration in force.
func (o *Operator) Get(context.Context, *schema.GetRequest) (*schema.GetResponse, error) {
	return translator.ConfigurationMessage(o.options.Holder.Load().Configuration), nil
}

// Status returns the members in the view of this node, with the current load of each member that answers.
func (o *Operator) Status(ctx context.Context, _ *schema.StatusRequest) (*schema.StatusResponse, error) {
	view := o.options.Controller.View()
	snapshot := o.options.Holder.Load()
	revision, large := translator.RevisionMessage(view.Revision)
	response := &schema.StatusResponse{Node: view.Self.Name, Revision: revision, LargeRevision: large}
	for _, zone := range snapshot.Configuration.Document.AvailabilityZones {
		response.AvailabilityZones = append(response.AvailabilityZones, translator.AvailabilityZoneMessage(zone))
	}
	statusByNode := make(map[string]*schema.NodeStatus, len(view.Members))
	for _, m := range view.Members {
		statusByNode[m.Name] = o.nodeStatus(snapshot, m)
		response.Nodes = append(response.Nodes, statusByNode[m.Name])
	}
	statusByNode[view.Self.Name].Load = translator.LoadMessage(o.options.Load())
	o.forEachPeer(ctx, view, func(ctx context.Context, m eelgrasspoint.Member, peer schema.Exchange) {
		// Each call writes only the status of its own member, so no lock is needed.
		if answer, err := o.heartbeat(ctx, view, peer); err == nil {
			statusByNode[m.Name].Load = answer.GetLoad()
		}
	})
	return response, nil
}

// nodeStatus returns the status of a member in the view of this node: InFlight counts only the requests
// that this node sent. It does not set the load.
func (o *Operator) nodeStatus(snapshot *eelgrasspoint.Snapshot, m eelgrasspoint.Member) *schema.NodeStatus {
	status := &schema.NodeStatus{Member: translator.MemberMessage(m)}
	if m.BackendServer == nil {
		return status
	}
	now := o.options.Clock()
	for _, c := range snapshot.Candidates[m.BackendServer.Service] {
		if c.Node == m.Name {
			// Suspect is the schema's name for ejected.
			status.Suspect = c.Gauge.Ejected(now)
			status.InFlight = uint32(max(c.Gauge.InFlight(), 0))
		}
	}
	return status
}

// heartbeat sends a heartbeat without gossip to a peer and returns the answer. Wall is the local time, which
// is never later than that of this node's event clock.
func (o *Operator) heartbeat(ctx context.Context, view *eelgrasspoint.MembershipView, peer schema.Exchange) (*schema.ConverseResponse, error) {
	revision, large := translator.RevisionMessage(view.Revision)
	return peer.Converse(ctx, &schema.ConverseRequest{
		Cluster: o.options.Cluster, From: view.Self.Name, Revision: revision, LargeRevision: large, Digest: view.Digest,
		Wall: uint64(o.options.Clock().UnixNano()),
	})
}

// Rollout returns the configuration revision of this node and of each other live member, or the error of
// the call to that member.
func (o *Operator) Rollout(ctx context.Context, _ *schema.RolloutRequest) (*schema.RolloutResponse, error) {
	view := o.options.Controller.View()
	response := &schema.RolloutResponse{}
	var mu sync.Mutex
	o.forEachPeer(ctx, view, func(ctx context.Context, m eelgrasspoint.Member, peer schema.Exchange) {
		nodeRevision := &schema.NodeRevision{Node: m.Name}
		answer, err := o.heartbeat(ctx, view, peer)
		if err != nil {
			nodeRevision.Error = err.Error()
		}
		nodeRevision.Revision, nodeRevision.LargeRevision = answer.GetRevision(), answer.GetLargeRevision()
		mu.Lock()
		defer mu.Unlock()
		response.Nodes = append(response.Nodes, nodeRevision)
	})
	revision, large := translator.RevisionMessage(o.options.Controller.View().Revision)
	response.Nodes = append(response.Nodes, &schema.NodeRevision{Node: view.Self.Name, Revision: revision, LargeRevision: large})
	slices.SortFunc(response.Nodes, func(a, b *schema.NodeRevision) int { return cmp.Compare(a.GetNode(), b.GetNode()) })
	return response, nil
}

// Timeline returns the matching events of this node and, if requested, of all other live members, oldest
// first. MaxEvents limits the response to the newest events; zero sets no limit beyond the MaxTimelineEvents
// of each node.
func (o *Operator) Timeline(ctx context.Context, request *schema.TimelineRequest) (*schema.TimelineResponse, error) {
	view := o.options.Controller.View()
	// Events bound to home regions are returned only to a node in one of these regions.
	request.Region = view.Self.Region
	response := &schema.TimelineResponse{}
	for _, event := range o.options.Events(request) {
		response.Events = append(response.Events, translator.EventMessage(event))
	}
	if request.GetEverywhere() {
		o.collectEvents(ctx, view, request, response)
	}
	slices.SortFunc(response.Events, func(a, b *schema.Event) int {
		return cmp.Or(cmp.Compare(a.GetWall(), b.GetWall()), cmp.Compare(a.GetLogical(), b.GetLogical()), cmp.Compare(a.GetNode(), b.GetNode()))
	})
	if limit := int(request.GetMaxEvents()); limit > 0 && len(response.Events) > limit {
		response.Events = response.Events[len(response.Events)-limit:]
	}
	return response, nil
}

// collectEvents adds the events of all other live members to the response, and the names of those that did
// not answer.
func (o *Operator) collectEvents(ctx context.Context, view *eelgrasspoint.MembershipView, request *schema.TimelineRequest, response *schema.TimelineResponse) {
	var mu sync.Mutex
	o.forEachPeer(ctx, view, func(ctx context.Context, m eelgrasspoint.Member, peer schema.Exchange) {
		answer, err := peer.Events(ctx, request)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			response.Unreachable = append(response.Unreachable, m.Name)
		}
		response.Events = append(response.Events, answer.GetEvents()...)
	})
	slices.Sort(response.Unreachable)
}

// forEachPeer runs call for each live member except this node, with at most maxConcurrentPeerCalls
// calls at a time, each bounded by OperatorCallTimeout. It returns when all calls have ended.
func (o *Operator) forEachPeer(ctx context.Context, view *eelgrasspoint.MembershipView, call func(context.Context, eelgrasspoint.Member, schema.Exchange)) {
	semaphore := make(chan struct{}, maxConcurrentPeerCalls)
	var group sync.WaitGroup
	for _, m := range view.Members {
		if m.Name == view.Self.Name || !m.Alive() {
			continue
		}
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			ctx, cancel := context.WithTimeout(ctx, eelgrasspoint.OperatorCallTimeout)
			defer cancel()
			call(ctx, m, schema.NewExchangeProtobufClient("http://"+m.PeerAddress.String(), o.options.Client))
		})
	}
	group.Wait()
}

// Drain drains the backend server beside this node, which gets no new requests from then on.
func (o *Operator) Drain(context.Context, *schema.DrainRequest) (*schema.DrainResponse, error) {
	o.options.Controller.Submit(controller.Drain{})
	if !o.options.Controller.WaitApplied() {
		return nil, twirp.Unavailable.Error("the node stops")
	}
	return &schema.DrainResponse{}, nil
}

// MatchesRequest reports whether an event matches the filters of a timeline request and may be sent to the
// region of the requesting node.
func MatchesRequest(event eelgrasspoint.Event, request *schema.TimelineRequest) bool {
	if len(event.Permitted) > 0 && !slices.Contains(event.Permitted, request.GetRegion()) {
		return false
	}
	// AfterWall is in nanoseconds since 1970.
	return matchesFilter(request.GetService(), event.Service) &&
		matchesFilter(request.GetAvailabilityZone(), event.AvailabilityZone) &&
		matchesFilter(request.GetRequestId(), event.RequestID) &&
		event.Wall.After(time.Unix(0, int64(request.GetAfterWall())))
}

func matchesFilter(filter, value string) bool { return filter == "" || filter == value }
