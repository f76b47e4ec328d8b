// Package receiver serves the attempts that other nodes send for the backend server beside this node.
package receiver

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/withdrawer"
	"eelgrasspoint/protocol/propagator"
	"eelgrasspoint/protocol/responder"
	"eelgrasspoint/state/budgeter"
	"eelgrasspoint/state/holder"
	"eelgrasspoint/transport/interrupter"
	"eelgrasspoint/transport/relayer"
)

// Receiver is an http.Handler for attempts. It takes the remaining time from the entry node unchecked. It
// checks the route, the home regions and the service against the configuration of its own node; if the entry
// node uses a later revision, it checks only the home regions that the entry node sent.
type Receiver struct {
	Options
	relayer *relayer.Relayer
}

// Options are the dependencies of a Receiver.
type Options struct {
	Name     string
	Holder   *holder.Holder
	Executor eelgrasspoint.RoundTripper
	Load     func() eelgrasspoint.Load
	Clock    eelgrasspoint.Clock
	Contract eelgrasspoint.Contract
	Recorder eelgrasspoint.Recorder
	// Measuring is the byte budget of load hints that are sent to another region.
	Measuring *budgeter.Budgeter
	// Withdrawer decides between attempts and their withdrawals.
	Withdrawer *withdrawer.Withdrawer
	// Count is called with the bytes of each load hint and the kind of link to the entry node.
	Count func(link string, bytes int)
}

// New returns a receiver.
func New(options Options) *Receiver { return &Receiver{Options: options, relayer: relayer.New()} }

// IsAttempt reports whether a request on the nodes' port is an attempt, or the withdrawal of one.
func IsAttempt(r *http.Request) bool {
	return r.Header.Get(eelgrasspoint.HeaderRoute) != "" || r.Header.Get(eelgrasspoint.HeaderWithdraw) != ""
}

// ServeHTTP implements http.Handler.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if age := request.Header.Get(eelgrasspoint.HeaderWithdraw); age != "" {
		r.withdraw(w, request, age)
		return
	}
	entryRegion := request.Header.Get(eelgrasspoint.HeaderEntryRegion)
	snapshot := r.Holder.Load()
	meta, refusal := r.metadata(request, snapshot)
	if refusal == nil && !r.Withdrawer.Begin(propagator.Key(request.Header), meta.Deadline) {
		refusal = eelgrasspoint.Refuse(eelgrasspoint.Withdrawn, "")
	}
	if refusal != nil {
		r.recordRefusal(meta, snapshot, refusal)
		r.writeError(w, entryRegion, meta.RequestID, refusal)
		return
	}
	ctx, cancel := context.WithDeadline(request.Context(), meta.Deadline)
	defer cancel()
	// net/http waits for the read of a request's body also after the request's context has ended.
	defer interrupter.New(w).After(ctx)()
	answer, err := r.Executor.RoundTrip(ctx, nil, r.attempt(request, meta))
	if err != nil {
		r.writeError(w, entryRegion, meta.RequestID, eelgrasspoint.AsOutcome(err))
		return
	}
	header := answer.Response.Header
	header[eelgrasspoint.HeaderOutcome] = []string{eelgrasspoint.Answered.String()}
	header[eelgrasspoint.HeaderServedBy] = []string{r.Name}
	r.writeLoadHint(header, entryRegion)
	err = r.relayer.Relay(w, answer.Response)
	if err == nil {
		return
	}
	r.recordCutShort(meta, err)
	var cutShort *eelgrasspoint.AnswerCutShortError
	if errors.As(err, &cutShort) && !cutShort.Begun {
		r.writeError(w, entryRegion, meta.RequestID, eelgrasspoint.AsOutcome(err))
		return
	}
	panic(http.ErrAbortHandler)
}

// withdraw answers the withdrawal of an attempt that is age milliseconds old. Only the header of the answer is a proof.
func (r *Receiver) withdraw(w http.ResponseWriter, request *http.Request, age string) {
	milliseconds, err := strconv.ParseInt(age, 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Withdrawer.Withdraw(propagator.Key(request.Header), time.Duration(milliseconds)*time.Millisecond) {
		w.Header()[eelgrasspoint.HeaderWithdraw] = []string{"1"}
	}
	w.WriteHeader(http.StatusNoContent)
}

// recordCutShort records an answer of which the entry node got only a part, unless data residency forbids it.
func (r *Receiver) recordCutShort(meta *eelgrasspoint.RequestMetadata, err error) {
	self := r.Holder.Load().Self
	if !meta.Permits(self.Region) {
		return
	}
	r.Recorder.Record(eelgrasspoint.Event{
		Number: eelgrasspoint.EventAnswerCutShort, Service: meta.Service, RequestID: meta.RequestID,
		AvailabilityZone: self.AvailabilityZone, Detail: err.Error(), Permitted: meta.Permitted,
	})
}

// recordRefusal records an attempt that the configuration refused, unless data residency forbids it.
func (r *Receiver) recordRefusal(meta *eelgrasspoint.RequestMetadata, snapshot *eelgrasspoint.Snapshot, refusal *eelgrasspoint.OutcomeError) {
	if !refusal.Reason.ByConfiguration() {
		return
	}
	permitted, allowed := permittedRegions(snapshot, snapshot.Router.Route(meta.Route), meta)
	if !allowed {
		return
	}
	inputs := snapshot.Configuration.Inputs(r.Clock(), r.Holder.ReadAt())
	r.Recorder.Record(eelgrasspoint.Event{
		Number: eelgrasspoint.EventAttemptRefused, Service: meta.Service, RequestID: meta.RequestID, Permitted: permitted,
		AvailabilityZone: snapshot.Self.AvailabilityZone, Detail: refusal.Error(),
		Inputs: append(inputs,
			eelgrasspoint.Input{Name: "Route", Value: meta.Route},
			eelgrasspoint.Input{Name: "Attempt", Value: meta.Attempt},
			eelgrasspoint.Input{Name: "Revision", Value: snapshot.Configuration.Revision.String()},
			eelgrasspoint.Input{Name: "EntryRevision", Value: meta.Revision.String()}),
	})
}

// metadata returns the metadata of a request, built from the headers of the attempt and the configuration
// of this node. The metadata is never nil. The error is the refusal of the attempt, or nil.
func (r *Receiver) metadata(request *http.Request, snapshot *eelgrasspoint.Snapshot) (*eelgrasspoint.RequestMetadata, *eelgrasspoint.OutcomeError) {
	received, err := propagator.Read(request.Header)
	meta := &eelgrasspoint.RequestMetadata{
		RequestID: received.RequestID, Client: received.Client, Route: received.Route, Depth: received.Depth,
		Fingerprint: received.Fingerprint, BodyOpen: received.BodyOpen, Attempt: received.Attempt, Insists: received.Insists,
		Deadline: r.Clock().Add(received.Remaining), Permitted: received.Permitted,
		Caller: received.Caller, Revision: received.Revision,
	}
	if err != nil {
		return meta, eelgrasspoint.Refuse(eelgrasspoint.BadHeader, err.Error())
	}
	meta.Service = received.Service
	meta.Weight = received.Weight
	meta.TargetLatency = received.Target
	if snapshot.Configuration.Revision.IsZero() {
		// Without a configuration, it is unknown which zones are out of service and how much load a cold
		// backend server can take.
		return meta, eelgrasspoint.Refuse(eelgrasspoint.NotReady, "no configuration yet")
	}
	region := snapshot.Self.Region
	if received.Revision.After(snapshot.Configuration.Revision) || unreadableHere(snapshot, received.Route, received.Revision) {
		// The entry node uses a later revision, or could read more of this one, so only the home regions that it
		// sent can be checked.
		if !meta.Permits(region) {
			return meta, eelgrasspoint.Refuse(eelgrasspoint.WrongRegion, "")
		}
		return meta, nil
	}
	route := snapshot.Router.Route(received.Route)
	if route == nil || !route.Allows(received.Service) {
		return meta, eelgrasspoint.Refuse(eelgrasspoint.StaleRoute, "")
	}
	meta.SetRoute(route)
	// SetRoute overwrites the service, which the entry node may have chosen from the traffic split.
	meta.Service = received.Service
	permitted, allowed := permittedRegions(snapshot, route, meta)
	if !allowed {
		return meta, eelgrasspoint.Refuse(eelgrasspoint.WrongRegion, "")
	}
	meta.Permitted = permitted
	return meta, nil
}

// permittedRegions returns the regions that may serve and store the request, none if all may. It reports false if that of
// this node may not, by what the entry node sent or by the configuration of this node. The route is nil if this node doesn't
// know it.
func permittedRegions(snapshot *eelgrasspoint.Snapshot, route *eelgrasspoint.Route, meta *eelgrasspoint.RequestMetadata) ([]string, bool) {
	if route == nil {
		route = &eelgrasspoint.Route{}
	}
	region := snapshot.Self.Region
	configured, hasCommon := snapshot.Router.Permitted(route, meta.Client)
	if !hasCommon || !meta.Permits(region) || len(configured) > 0 && !slices.Contains(configured, region) {
		return nil, false
	}
	if meta.RegionBound() {
		return meta.Permitted, true
	}
	return configured, true
}

// unreadableHere reports whether the entry node used the revision of this node, but only this node can't read the
// route, as between two versions of the program.
func unreadableHere(snapshot *eelgrasspoint.Snapshot, name string, revision eelgrasspoint.Revision) bool {
	route := snapshot.Router.Route(name)
	return route != nil && route.Refuses() && revision == snapshot.Configuration.Revision
}

func (r *Receiver) attempt(request *http.Request, meta *eelgrasspoint.RequestMetadata) *eelgrasspoint.Attempt {
	propagator.Strip(request.Header)
	request.Header.Del("Expect")
	return &eelgrasspoint.Attempt{
		Meta: *meta, Method: request.Method, Target: request.RequestURI, Host: request.Host,
		Header: request.Header, Body: request.Body, Length: request.ContentLength,
	}
}

// writeLoadHint writes the current load to the headers of a response. If the entry node is in another
// region, the load is written only while the Measuring budget is not used up.
func (r *Receiver) writeLoadHint(header http.Header, entryRegion string) {
	link := linkSameRegion
	if entryRegion != r.Holder.Load().Self.Region {
		link = linkOtherRegion
		// Allows(0) reports whether any of the budget is left.
		if !r.Measuring.Allows(0) {
			return
		}
	}
	bytes := propagator.WriteLoad(header, r.Load())
	if link == linkOtherRegion {
		r.Measuring.Charge(int64(bytes))
	}
	r.Count(link, bytes)
}

// Values of the link label in the metrics: the entry node is in the region of this node, or in
// another one.
const (
	linkSameRegion  = "local"
	linkOtherRegion = "region"
)

func (r *Receiver) writeError(w http.ResponseWriter, entryRegion, requestID string, err *eelgrasspoint.OutcomeError) {
	w.Header()[eelgrasspoint.HeaderReason] = []string{err.Reason.String()}
	r.writeLoadHint(w.Header(), entryRegion)
	responder.Write(w, r.Contract, requestID, err)
}
