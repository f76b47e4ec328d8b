package forwarder_test

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/forwarder"
	"eelgrasspoint/coordination/retrier"
	"eelgrasspoint/coordination/router"
	"eelgrasspoint/protocol/parser"
	"eelgrasspoint/protocol/responder"
	"eelgrasspoint/state/budgeter"
	"eelgrasspoint/state/holder"
	"eelgrasspoint/state/meter"
)

// Names of the entry node, and of the route and the service of the requests that it gets.
const (
	entryNode = "a"
	routeName = "pages"
	service   = "vitrine"
)

// attemptFunc is how a node ends an attempt.
type attemptFunc func(ctx context.Context, attempt *eelgrasspoint.Attempt) (*eelgrasspoint.Answer, error)

func refuse(reason eelgrasspoint.Reason) attemptFunc {
	return fail(eelgrasspoint.NotRun, reason)
}

func fail(outcome eelgrasspoint.Outcome, reason eelgrasspoint.Reason) attemptFunc {
	return func(context.Context, *eelgrasspoint.Attempt) (*eelgrasspoint.Answer, error) {
		return nil, &eelgrasspoint.OutcomeError{Outcome: outcome, Reason: reason}
	}
}

func answer(status int) attemptFunc {
	return func(context.Context, *eelgrasspoint.Attempt) (*eelgrasspoint.Answer, error) {
		response := &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("page")), ContentLength: 4}
		return &eelgrasspoint.Answer{Response: response}, nil
	}
}

// after ends an attempt like end, but only after a delay.
func after(delay time.Duration, end attemptFunc) attemptFunc {
	return func(ctx context.Context, attempt *eelgrasspoint.Attempt) (*eelgrasspoint.Answer, error) {
		select {
		case <-time.After(delay):
			return end(ctx, attempt)
		case <-ctx.Done():
			return nil, &eelgrasspoint.OutcomeError{Outcome: eelgrasspoint.MayHaveRun, Reason: eelgrasspoint.LostReason(ctx)}
		}
	}
}

// readBody ends an attempt like end once it has read the body.
func readBody(end attemptFunc) attemptFunc {
	return func(ctx context.Context, attempt *eelgrasspoint.Attempt) (*eelgrasspoint.Answer, error) {
		if _, err := io.ReadAll(attempt.Body); err != nil {
			return nil, err
		}
		return end(ctx, attempt)
	}
}

// inTurn ends the first attempt like the first function, the second like the second, and so on.
func inTurn(ends ...attemptFunc) attemptFunc {
	var mu sync.Mutex
	return func(ctx context.Context, attempt *eelgrasspoint.Attempt) (*eelgrasspoint.Answer, error) {
		mu.Lock()
		end := ends[0]
		ends = ends[1:]
		mu.Unlock()
		return end(ctx, attempt)
	}
}

// sentAttempt is an attempt as its node received it.
type sentAttempt struct {
	node     string
	meta     eelgrasspoint.RequestMetadata
	deadline time.Time
}

// entry is an entry node whose attempts, fetches and events are recorded.
type entry struct {
	handler *forwarder.Forwarder
	holder  *holder.Holder
	nodes   map[string]attemptFunc
	// fetch is called when the node fetches a newer configuration.
	fetch       func(ctx context.Context, from *eelgrasspoint.Candidate, revision eelgrasspoint.Revision)
	fetchedFrom []string

	mu       sync.Mutex
	attempts []sentAttempt
	events   []eelgrasspoint.Event
}

// newEntry returns an entry node of revision 1 with one route; the nodes are tried in the order of their
// names.
func newEntry(route *eelgrasspoint.Route, nodes map[string]attemptFunc) *entry {
	e := &entry{nodes: nodes, holder: holder.New(nil)}
	e.publish(1, route)
	noLoad := func() eelgrasspoint.Load { return eelgrasspoint.Load{} }
	e.handler = forwarder.New(forwarder.Options{
		Holder: e.holder, Chooser: e, Retrier: retrier.New(retrier.DefaultLimits()),
		Link: budgeter.New(eelgrasspoint.LinkBytesPerSecond, time.Now), Peers: e, Local: e,
		Meter: meter.New(meter.Source{
			Load: noLoad, Revision: func() eelgrasspoint.Revision { return eelgrasspoint.Revision{} }, Members: func() int { return 0 }, RefusedRoutes: func() int { return 0 },
			ControlBytes: func() (int64, int64) { return 0, 0 },
		}),
		Recorder: e, Clock: time.Now, Random: eelgrasspoint.NewRandom(1), MaxBodyBytes: 1 << 20,
		Stopping: func() bool { return false }, Fetch: e.fetchFrom, Contract: parser.New(), Service: "bench",
	})
	return e
}

// publish puts a revision with one route in force. Nodes whose name begins with there are in another region.
func (e *entry) publish(revision uint64, route *eelgrasspoint.Route) {
	route.Name, route.PathPrefix = routeName, "/"
	if route.Service == "" {
		route.Service = service
	}
	configuration := &eelgrasspoint.Configuration{
		Revision: eelgrasspoint.Revision{Version: revision}, Document: eelgrasspoint.Document{Routes: []eelgrasspoint.Route{*route}},
	}
	var candidates []*eelgrasspoint.Candidate
	for name := range e.nodes {
		region := "here"
		if strings.HasPrefix(name, "there") {
			region = "there"
		}
		candidates = append(candidates, &eelgrasspoint.Candidate{Node: name, Region: region, Gauge: &eelgrasspoint.ServerStats{}})
	}
	slices.SortFunc(candidates, func(a, b *eelgrasspoint.Candidate) int { return strings.Compare(a.Node, b.Node) })
	e.holder.Publish(&eelgrasspoint.Snapshot{
		Self:          eelgrasspoint.Member{Name: entryNode, Region: "here"},
		Configuration: configuration,
		Router:        router.New(&configuration.Document),
		Candidates:    map[string][]*eelgrasspoint.Candidate{route.Service: candidates},
	})
}

// Choose implements eelgrasspoint.Chooser.
func (e *entry) Choose(candidates []*eelgrasspoint.Candidate, requirements *eelgrasspoint.Requirements, _ time.Time, _ *rand.Rand) *eelgrasspoint.Candidate {
	for _, c := range candidates {
		tried := slices.ContainsFunc(requirements.Tried, func(t *eelgrasspoint.Candidate) bool { return t.Node == c.Node })
		if !tried && requirements.Meta.Permits(c.Region) {
			return c
		}
	}
	return nil
}

// RoundTrip implements eelgrasspoint.RoundTripper.
func (e *entry) RoundTrip(ctx context.Context, candidate *eelgrasspoint.Candidate, attempt *eelgrasspoint.Attempt) (*eelgrasspoint.Answer, error) {
	deadline, _ := ctx.Deadline()
	e.mu.Lock()
	e.attempts = append(e.attempts, sentAttempt{node: candidate.Node, meta: attempt.Meta, deadline: deadline})
	e.mu.Unlock()
	return e.nodes[candidate.Node](ctx, attempt)
}

// Record implements eelgrasspoint.Recorder.
func (e *entry) Record(event eelgrasspoint.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events = append(e.events, event)
}

func (e *entry) fetchFrom(ctx context.Context, from *eelgrasspoint.Candidate, revision eelgrasspoint.Revision) {
	e.fetchedFrom = append(e.fetchedFrom, from.Node)
	e.fetch(ctx, from, revision)
}

// attemptedNodes returns the nodes of the attempts in order.
func (e *entry) attemptedNodes() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	nodes := make([]string, len(e.attempts))
	for i, a := range e.attempts {
		nodes[i] = a.node
	}
	return nodes
}

// exitNodes returns the ExitNode of each event with the number.
func (e *entry) exitNodes(number eelgrasspoint.EventNumber) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var nodes []string
	for _, event := range e.events {
		if event.Number != number {
			continue
		}
		for _, input := range event.Inputs {
			if input.Name == "ExitNode" {
				nodes = append(nodes, input.Value.(string))
			}
		}
	}
	return nodes
}

// entryResult is what the caller of an entry node got.
type entryResult struct {
	status          int
	outcome, reason string
}

// send sends a request without a body to the entry node.
func (e *entry) send() entryResult {
	return e.sendRequest(httptest.NewRequest(http.MethodGet, "/1", nil))
}

func (e *entry) sendRequest(r *http.Request) entryResult {
	w := httptest.NewRecorder()
	e.handler.ServeHTTP(w, r)
	var body responder.ErrorResponse
	_ = json.Unmarshal(w.Body.Bytes(), &body)
	return entryResult{status: w.Code, outcome: w.Header().Get(eelgrasspoint.HeaderOutcome), reason: body.Reason}
}
