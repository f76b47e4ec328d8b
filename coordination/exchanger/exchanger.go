// Package exchanger answers the messages of other nodes.
package exchanger

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"eelgrasspoint"
	"eelgrasspoint/coordination/assigner"
	"eelgrasspoint/coordination/controller"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/protocol/translator"
)

// Exchanger implements the Exchange of the schema.
type Exchanger struct{ options Options }

// Options are what an exchanger depends on.
type Options struct {
	Cluster    string
	Controller *controller.Controller
	Recorder   eelgrasspoint.Recorder
	// Load returns the load of the backend server beside the node.
	Load    func() eelgrasspoint.Load
	Witness func(time.Time)
	Now     func() time.Time
	// Pull fetches the configuration from a member that has a higher revision.
	Pull func(m eelgrasspoint.Member, after uint64)
	// Events returns recorded events.
	Events func(request *schema.TimelineRequest) []eelgrasspoint.Event
	// Crashed takes the report of another exit node.
	Crashed func(crash string, fingerprints []uint64)
}

var _ schema.Exchange = (*Exchanger)(nil)

// New returns an exchanger.
func New(options Options) *Exchanger { return &Exchanger{options: options} }

// Converse learns a peer's news and answers with this node's.
func (e *Exchanger) Converse(_ context.Context, request *schema.ConverseRequest) (*schema.ConverseResponse, error) {
	if request.GetCluster() != e.options.Cluster {
		e.badInput("a message of cluster " + request.GetCluster())
		return nil, twirp.PermissionDenied.Error("another cluster")
	}
	e.options.Witness(time.Unix(0, int64(request.GetWall())))
	e.learn(request)
	view := e.options.Controller.View()
	if request.GetRevision() > view.Revision {
		e.pullFrom(view, request)
	}
	news := view.UpdatesAt(e.options.Now())
	if request.GetDigest() != view.Digest {
		// The sender may hold this node to have failed.
		news = append([]eelgrasspoint.Member{view.Self}, news...)
	}
	return &schema.ConverseResponse{
		From:     view.Self.Name,
		Revision: view.Revision,
		Digest:   view.Digest,
		News:     translator.MemberMessages(news),
		Load:     translator.LoadMessage(e.options.Load()),
		Wall:     uint64(e.options.Now().UnixNano()),
	}, nil
}

func (e *Exchanger) learn(request *schema.ConverseRequest) {
	members, invalid := translator.Members(request.GetNews())
	if invalid > 0 {
		e.badInput("members that do not parse, from " + request.GetFrom())
	}
	if len(members) > 0 {
		e.options.Controller.Submit(controller.MergeMembers{Members: members})
	}
}

// pullFrom fetches from the sender, which may be known only by the message itself.
func (e *Exchanger) pullFrom(view *eelgrasspoint.MembershipView, request *schema.ConverseRequest) {
	news, _ := translator.Members(request.GetNews())
	for _, m := range append(news, view.Members...) {
		if m.Name == request.GetFrom() {
			go e.options.Pull(m, view.Revision)
			return
		}
	}
}

// Configuration answers with the configuration in force if it is newer than the one asked for.
func (e *Exchanger) Configuration(_ context.Context, request *schema.ConfigurationRequest) (*schema.GetResponse, error) {
	configuration := e.options.Controller.Configuration()
	if request.GetAfterRevision() >= configuration.Revision {
		return &schema.GetResponse{}, nil
	}
	return translator.ConfigurationMessage(configuration), nil
}

// Members answers with the members in buckets that the asking node sees differently.
func (e *Exchanger) Members(_ context.Context, request *schema.MembersRequest) (*schema.MembersResponse, error) {
	known := e.options.Controller.View().Members
	differing := assigner.DifferingBuckets(known, request.GetDigests())
	members := assigner.MembersInBuckets(known, differing)
	return &schema.MembersResponse{Members: translator.MemberMessages(members), Buckets: differing}, nil
}

// Events answers with recorded events.
func (e *Exchanger) Events(_ context.Context, request *schema.TimelineRequest) (*schema.TimelineResponse, error) {
	response := &schema.TimelineResponse{}
	for _, event := range e.options.Events(request) {
		response.Events = append(response.Events, translator.EventMessage(event))
	}
	return response, nil
}

// Crashed takes the report of another exit node of the service.
func (e *Exchanger) Crashed(_ context.Context, request *schema.CrashedRequest) (*schema.CrashedResponse, error) {
	e.options.Crashed(request.GetCrash(), request.GetFingerprints())
	return &schema.CrashedResponse{}, nil
}

func (e *Exchanger) badInput(detail string) {
	e.options.Recorder.Record(eelgrasspoint.Event{Number: eelgrasspoint.EventBadInput, Detail: detail})
}
