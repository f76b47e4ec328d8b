// Package receiver receives the attempts of other nodes and serves them from the backend server
// beside this one.
package receiver

import (
	"context"
	"net/http"
	"slices"

	"eelgrasspoint"
	"eelgrasspoint/protocol/propagator"
	"eelgrasspoint/protocol/responder"
	"eelgrasspoint/state/budgeter"
	"eelgrasspoint/state/holder"
	"eelgrasspoint/transport/relayer"
)

// Receiver is an http.Handler for attempts. It trusts the entry node for the time that
// remains, and checks the route, the home regions and the service itself.
type Receiver struct {
	Options
	relayer *relayer.Relayer
}

// Options are the dependencies of a receiver.
type Options struct {
	Name     string
	Holder   *holder.Holder
	Executor eelgrasspoint.RoundTripper
	Load     func() eelgrasspoint.Load
	Clock    eelgrasspoint.Clock
	Contract eelgrasspoint.Contract
	// Measuring is the budget of load hints that cross the link to another region.
	Measuring *budgeter.Budgeter
	// Count is told of the bytes of load hints, by link.
	Count func(link string, bytes int)
}

// New returns a receiver.
func New(options Options) *Receiver { return &Receiver{Options: options, relayer: relayer.New()} }

// IsAttempt reports whether a request on the nodes' port is an attempt.
func IsAttempt(r *http.Request) bool { return r.Header.Get(eelgrasspoint.HeaderRoute) != "" }

// ServeHTTP implements http.Handler.
func (a *Receiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from := r.Header.Get(eelgrasspoint.HeaderFrom)
	meta, refusal := a.meta(r)
	if refusal != nil {
		a.refuse(w, from, meta.RequestID, refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), meta.Deadline)
	defer cancel()
	answer, err := a.Executor.RoundTrip(ctx, nil, a.attempt(r, meta))
	if err != nil {
		a.refuse(w, from, meta.RequestID, eelgrasspoint.AsOutcome(err))
		return
	}
	header := answer.Response.Header
	header[eelgrasspoint.HeaderOutcome] = []string{eelgrasspoint.Answered.String()}
	header[eelgrasspoint.HeaderServedBy] = []string{a.Name}
	a.hint(header, from)
	a.relayer.Relay(w, answer.Response)
}

// meta rebuilds what the entry node knew, from its label and this node's own configuration.
func (a *Receiver) meta(r *http.Request) (*eelgrasspoint.RequestMetadata, *eelgrasspoint.OutcomeError) {
	label, err := propagator.Read(r.Header)
	meta := &eelgrasspoint.RequestMetadata{
		RequestID: label.RequestID, Client: label.Client, Route: label.Route, Depth: label.Depth,
		Fingerprint: label.Fingerprint, Attempt: label.Attempt, Insists: label.Insists,
		Deadline: a.Clock().Add(label.Remaining), Permitted: label.Permitted,
		Caller: label.Caller, Revision: label.Revision,
	}
	if err != nil {
		return meta, eelgrasspoint.Refuse(eelgrasspoint.BadHeader, err.Error())
	}
	snapshot := a.Holder.Load()
	meta.Service = label.Service
	meta.Weight = label.Weight
	meta.TargetLatency = label.Target
	if snapshot.Configuration.Revision == 0 {
		// Neither the zones that are out nor what a cold backend server bears is known.
		return meta, eelgrasspoint.Refuse(eelgrasspoint.NotReady, "no configuration yet")
	}
	region := snapshot.Self.Region
	if label.Revision > snapshot.Configuration.Revision {
		// The entry node knows more than this one.
		if !meta.Permits(region) {
			return meta, eelgrasspoint.Refuse(eelgrasspoint.WrongRegion, "")
		}
		return meta, nil
	}
	route := snapshot.Router.Route(label.Route)
	if route == nil || !route.Allows(label.Service) {
		return meta, eelgrasspoint.Refuse(eelgrasspoint.StaleRoute, "")
	}
	meta.SetRoute(route)
	meta.Service = label.Service
	own, lawful := snapshot.Router.Permitted(route, label.Client)
	if !lawful || !meta.Permits(region) || len(own) > 0 && !slices.Contains(own, region) {
		return meta, eelgrasspoint.Refuse(eelgrasspoint.WrongRegion, "")
	}
	if !meta.RegionBound() {
		meta.Permitted = own
	}
	return meta, nil
}

func (a *Receiver) attempt(r *http.Request, meta *eelgrasspoint.RequestMetadata) *eelgrasspoint.Attempt {
	propagator.Strip(r.Header)
	r.Header.Del("Expect")
	return &eelgrasspoint.Attempt{
		Meta: *meta, Method: r.Method, Target: r.RequestURI, Host: r.Host,
		Header: r.Header, Body: r.Body, Length: r.ContentLength,
	}
}

// hint puts the present load on an answer. Over the link to another region it goes only
// within the budget.
func (a *Receiver) hint(header http.Header, from string) {
	link := linkLocal
	if from != a.Holder.Load().Self.Region {
		link = linkRegion
		if !a.Measuring.Allows(0) {
			return
		}
	}
	bytes := propagator.WriteLoad(header, a.Load())
	if link == linkRegion {
		a.Measuring.Charge(int64(bytes))
	}
	a.Count(link, bytes)
}

// Names of links in the metrics.
const (
	linkLocal  = "local"
	linkRegion = "region"
)

func (a *Receiver) refuse(w http.ResponseWriter, from, requestID string, err *eelgrasspoint.OutcomeError) {
	w.Header()[eelgrasspoint.HeaderReason] = []string{err.Reason.String()}
	a.hint(w.Header(), from)
	responder.Write(w, a.Contract, requestID, err)
}
