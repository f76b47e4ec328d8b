package replay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/standin/backend"
	"eelgrasspoint/standin/network"
	"eelgrasspoint/standin/simulator"
)

// Replay is one run of a trace.
type Replay struct {
	trace     *Trace
	simulator *simulator.Simulator
	random    *rand.Rand
	startedAt time.Time
	duration  time.Duration

	mu      sync.Mutex
	results []*Result
	group   sync.WaitGroup
	clients map[string]*http.Client
}

// Result describes one request as its caller saw it. Status, Outcome, Reason and Own are those of the
// last send.
type Result struct {
	ID       string
	Requests *Requests
	// At is when the request was first sent, counted from the start of the trace.
	At time.Duration
	// Took is the time from the first send to the end of the last, with the delays between them.
	Took   time.Duration
	Sends  int
	Status int
	// Outcome is the Eelgrass-Outcome header. It is empty if no complete response arrived.
	Outcome string
	// Reason is the Eelgrass-Reason header if the outcome is Answered and Own is set. For every other
	// complete response it is the body, in which a node writes its error as JSON; errorReason reads the
	// reason from it.
	Reason string
	// Own is set if the answer is complete and belongs to this request.
	Own bool
}

// Variant replaces the chooser or the limiter of the nodes by a baseline; a nil field keeps the default.
type Variant struct {
	Chooser func() eelgrasspoint.Chooser
	Limiter func() eelgrasspoint.Limiter
}

// NetworkConditions are the one-way latencies between VMs and the bandwidth between the regions, 30 Mbit/s
// in each direction, converted to bytes per second. Both deployments of the users have these values.
var NetworkConditions = network.Conditions{
	SameZone: 100 * time.Microsecond, SameRegion: time.Millisecond,
	OtherRegion: 20 * time.Millisecond, LinkBytesPerSecond: 30e6 / 8,
}

// startupTime is the time from the start of the nodes to the start of the trace: in the first half the
// nodes discover each other, in the second half the configuration reaches all of them.
const startupTime = 6 * time.Second

// settleTime is the time between the last request or fault and the end of the replay, in which nodes
// and backend servers recover.
const settleTime = 3 * time.Second

// resendDelay is the time between a failed request and its resend by the caller.
const resendDelay = 300 * time.Millisecond

// Run replays the trace to its end and returns the replay with its results. It must be called in a
// testing/synctest bubble; the replay can be read outside.
func Run(trace *Trace, variant Variant) *Replay {
	r := &Replay{
		trace: trace, random: eelgrasspoint.NewRandom(trace.Seed), clients: make(map[string]*http.Client),
		simulator: simulator.New(simulator.Options{Shape: NetworkConditions, StoreRegion: trace.Servers[0].Region, Chooser: variant.Chooser, Limiter: variant.Limiter}),
	}
	defer r.simulator.Close()
	r.addServers()
	time.Sleep(startupTime / 2)
	r.simulator.ApplyDocument(context.Background(), r.simulator.Nodes[0], r.document())
	time.Sleep(startupTime / 2)
	r.startedAt = time.Now()
	for i := range trace.Requests {
		r.group.Go(func() { r.sendStream(i) })
	}
	for _, fault := range trace.Faults {
		r.group.Go(func() { r.inject(fault) })
	}
	r.group.Wait()
	r.duration = time.Since(r.startedAt)
	time.Sleep(settleTime)
	for _, client := range r.clients {
		client.CloseIdleConnections()
	}
	return r
}

// Results returns the result of every request, in the order in which the requests ended.
func (r *Replay) Results() []*Result { return r.results }

func (r *Replay) addServers() {
	for _, group := range r.trace.Servers {
		for range group.Count {
			r.simulator.AddNode(group.Region, group.Zone, group.Service, group.Slots, backend.Behavior{
				ServiceTime: group.ServiceTime, ColdTime: group.ColdTime, ColdFactor: max(group.ColdFactor, 1), ColdSlots: group.ColdSlots,
				Noise: backend.Noise{
					Every: group.NoiseEvery, Share: group.NoiseShare, Factor: group.NoiseFactor,
					Seed: r.trace.Seed*1000 + uint64(len(r.simulator.Nodes)),
				},
			})
		}
	}
}

// document returns the configuration that a trace needs: its regions, zones and services and a route
// for each path.
func (r *Replay) document() *eelgrasspoint.Document {
	d := &eelgrasspoint.Document{}
	seen := make(map[string]bool)
	addOnce := func(key string, define func()) {
		if !seen[key] {
			seen[key] = true
			define()
		}
	}
	for _, s := range r.trace.Servers {
		addOnce("region "+s.Region, func() { d.Regions = append(d.Regions, eelgrasspoint.Region{Name: s.Region}) })
		addOnce("zone "+s.Zone, func() {
			d.AvailabilityZones = append(d.AvailabilityZones, eelgrasspoint.AvailabilityZone{Name: s.Zone, Region: s.Region})
		})
		addOnce("service "+s.Service, func() { d.Services = append(d.Services, eelgrasspoint.Service{Name: s.Service}) })
	}
	for _, stream := range r.trace.Requests {
		addOnce("route "+stream.Path, func() { d.Routes = append(d.Routes, routeFor(stream)) })
	}
	return d
}

// routeFor returns the route of a stream's path. The first segment of the path is the service, the
// last one the kind. The time limit is the stream's timeout, at least one second.
func routeFor(stream Requests) eelgrasspoint.Route {
	parts := strings.Split(strings.Trim(stream.Path, "/"), "/")
	return eelgrasspoint.Route{
		Name: strings.Join(parts, "-"), PathPrefix: stream.Path, Service: parts[0], Kind: parts[len(parts)-1],
		Weight: uint32(max(stream.Weight, 1)), Idempotent: !stream.Once, TimeLimit: max(stream.Timeout, time.Second), HomeRegions: stream.Home,
		Hedge: stream.Hedge && !stream.Once,
	}
}

// sendStream sends the requests of the stream with the index, at exponentially distributed intervals.
func (r *Replay) sendStream(index int) {
	stream := &r.trace.Requests[index]
	random := rand.New(rand.NewPCG(r.trace.Seed, uint64(index)+1))
	entryNodes := r.entryNodes(stream.Zone)
	time.Sleep(stream.At)
	end := stream.At + stream.For
	for number := 0; ; number++ {
		time.Sleep(time.Duration(random.ExpFloat64() / stream.Rate * float64(time.Second)))
		if time.Since(r.startedAt) > end {
			return
		}
		result := &Result{ID: fmt.Sprintf("r%d-%d", index, number), Requests: stream, At: time.Since(r.startedAt)}
		node := entryNodes[random.IntN(len(entryNodes))]
		r.group.Go(func() { r.sendWithResends(result, node) })
	}
}

// entryNodes returns the nodes in the zone.
func (r *Replay) entryNodes(zone string) []*simulator.Node {
	var found []*simulator.Node
	for _, n := range r.simulator.Nodes {
		if n.Zone == zone {
			found = append(found, n)
		}
	}
	return found
}

// sendWithResends sends one request and, until it is answered, resends it at most Resend times.
func (r *Replay) sendWithResends(result *Result, node *simulator.Node) {
	startedAt := time.Now()
	for {
		result.Sends++
		r.send(result, node)
		if result.Outcome == "Answered" || result.Sends > result.Requests.Resend {
			break
		}
		time.Sleep(resendDelay)
	}
	result.Took = time.Since(startedAt)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}

// send sends the request once and stores what the caller saw of this send in the result. The caller waits
// one second longer than the time limit of routeFor, so that it gets the node's response to a timeout.
func (r *Replay) send(result *Result, node *simulator.Node) {
	stream := result.Requests
	ctx, cancel := context.WithTimeout(context.Background(), max(stream.Timeout, time.Second)+time.Second)
	defer cancel()
	body := bytes.Repeat([]byte{'b'}, stream.Bytes)
	copy(body, result.ID)
	method := stream.Method
	if method == "" {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, node.URL(stream.Path), io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return
	}
	request.ContentLength = int64(len(body))
	r.setHeaders(request, result)
	result.Outcome, result.Reason, result.Status, result.Own = "", "", 0, false
	response, err := r.clientFor(node).Do(request)
	if err != nil {
		return
	}
	r.readResponse(result, response, body)
}

func (r *Replay) setHeaders(request *http.Request, result *Result) {
	stream := result.Requests
	request.Header.Set(eelgrasspoint.HeaderRequestID, result.ID)
	if stream.Timeout > 0 {
		request.Header.Set(eelgrasspoint.HeaderTimeout, stream.Timeout.String())
	}
	if stream.Client != "" {
		request.Header.Set(eelgrasspoint.HeaderClient, stream.Client)
	}
	if stream.Crash {
		request.Header.Set(backend.HeaderCrash, "1")
	}
}

// readResponse stores the response in the result, unless its body breaks off.
func (r *Replay) readResponse(result *Result, response *http.Response, sent []byte) {
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return
	}
	result.Status = response.StatusCode
	result.Outcome = response.Header.Get(eelgrasspoint.HeaderOutcome)
	result.Reason = response.Header.Get(eelgrasspoint.HeaderReason)
	result.Own = response.Header.Get(backend.HeaderEcho) == result.ID && bytes.Equal(body, sent)
	if result.Outcome != eelgrasspoint.Answered.String() || !result.Own {
		result.Reason = string(body)
	}
}

// clientFor returns the HTTP client for callers of the node; all requests to a node share one.
func (r *Replay) clientFor(node *simulator.Node) *http.Client {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clients[node.Name] == nil {
		r.clients[node.Name] = r.simulator.HTTPClientIn(node)
	}
	return r.clients[node.Name]
}
