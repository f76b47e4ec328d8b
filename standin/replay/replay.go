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

// Replay is one run of a trace. It must run in a testing/synctest bubble.
type Replay struct {
	trace     *Trace
	simulator *simulator.Simulator
	random    *rand.Rand
	began     time.Time
	lasted    time.Duration

	mu      sync.Mutex
	results []*Result
	group   sync.WaitGroup
	clients map[string]*http.Client
}

// Result is what became of one request, seen by its caller.
type Result struct {
	ID       string
	Requests *Requests
	At       time.Duration
	Took     time.Duration
	Sends    int
	Status   int
	// Outcome is empty if the connection broke before the answer was whole.
	Outcome string
	Reason  string
	// Own is set if a whole answer is the one to this very request.
	Own bool
}

// Variant replaces a decision by a baseline.
type Variant struct {
	Chooser func() eelgrasspoint.Chooser
	Limiter func() eelgrasspoint.Limiter
}

// NetworkConditions is the network of both deployments.
var NetworkConditions = network.Conditions{
	SameZone: 100 * time.Microsecond, SameRegion: time.Millisecond,
	OtherRegion: 20 * time.Millisecond, LinkBytesPerSecond: 30e6 / 8,
}

// warmUp is how long the nodes may find each other before the trace begins.
const warmUp = 6 * time.Second

// settle is how long faults may fade after the last request.
const settle = 3 * time.Second

// resendPause is how long a caller waits before it sends a request again.
const resendPause = 300 * time.Millisecond

// Run replays the trace and returns the results.
func Run(trace *Trace, variant Variant) *Replay {
	r := &Replay{
		trace: trace, random: eelgrasspoint.NewRandom(trace.Seed), clients: make(map[string]*http.Client),
		simulator: simulator.New(simulator.Options{Shape: NetworkConditions, StoreRegion: trace.Servers[0].Region, Chooser: variant.Chooser, Limiter: variant.Limiter}),
	}
	defer r.simulator.Close()
	r.addServers()
	time.Sleep(warmUp / 2)
	r.simulator.Apply(context.Background(), r.simulator.Nodes[0], r.document())
	time.Sleep(warmUp / 2)
	r.began = time.Now()
	for i := range trace.Requests {
		r.group.Go(func() { r.stream(i) })
	}
	for _, fault := range trace.Faults {
		r.group.Go(func() { r.inject(fault) })
	}
	r.group.Wait()
	r.lasted = time.Since(r.began)
	time.Sleep(settle)
	for _, client := range r.clients {
		client.CloseIdleConnections()
	}
	return r
}

// Results returns what became of every request.
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

// document defines what the trace names: its zones, its services and a route for each path.
func (r *Replay) document() *eelgrasspoint.Document {
	d := &eelgrasspoint.Document{}
	seen := make(map[string]bool)
	add := func(key string, define func()) {
		if !seen[key] {
			seen[key] = true
			define()
		}
	}
	for _, s := range r.trace.Servers {
		add("region "+s.Region, func() { d.Regions = append(d.Regions, eelgrasspoint.Region{Name: s.Region}) })
		add("zone "+s.Zone, func() {
			d.AvailabilityZones = append(d.AvailabilityZones, eelgrasspoint.AvailabilityZone{Name: s.Zone, Region: s.Region})
		})
		add("service "+s.Service, func() { d.Services = append(d.Services, eelgrasspoint.Service{Name: s.Service}) })
	}
	for _, q := range r.trace.Requests {
		add("route "+q.Path, func() { d.Routes = append(d.Routes, route(q)) })
	}
	return d
}

// route reads the service from the first segment of the path and the kind from the second.
func route(q Requests) eelgrasspoint.Route {
	parts := strings.Split(strings.Trim(q.Path, "/"), "/")
	return eelgrasspoint.Route{
		Name: strings.Join(parts, "-"), PathPrefix: q.Path, Service: parts[0], Kind: parts[len(parts)-1],
		Weight: uint32(max(q.Weight, 1)), Idempotent: !q.Once, TimeLimit: max(q.Timeout, time.Second), HomeRegions: q.Home,
		Hedge: q.Hedge && !q.Once,
	}
}

// stream sends requests at exponentially distributed distances.
func (r *Replay) stream(index int) {
	q := &r.trace.Requests[index]
	random := rand.New(rand.NewPCG(r.trace.Seed, uint64(index)+1))
	entries := r.entries(q.Zone)
	time.Sleep(q.At)
	end := q.At + q.For
	for number := 0; ; number++ {
		time.Sleep(time.Duration(random.ExpFloat64() / q.Rate * float64(time.Second)))
		if time.Since(r.began) > end {
			return
		}
		result := &Result{ID: fmt.Sprintf("r%d-%d", index, number), Requests: q, At: time.Since(r.began)}
		node := entries[random.IntN(len(entries))]
		r.group.Go(func() { r.request(result, node) })
	}
}

func (r *Replay) entries(zone string) []*simulator.Node {
	var found []*simulator.Node
	for _, n := range r.simulator.Nodes {
		if n.Zone == zone {
			found = append(found, n)
		}
	}
	return found
}

// request sends one request, and sends it again as its caller would.
func (r *Replay) request(result *Result, node *simulator.Node) {
	began := time.Now()
	for {
		result.Sends++
		r.send(result, node)
		if result.Outcome == "Answered" || result.Sends > result.Requests.Resend {
			break
		}
		time.Sleep(resendPause)
	}
	result.Took = time.Since(began)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}

func (r *Replay) send(result *Result, node *simulator.Node) {
	q := result.Requests
	ctx, cancel := context.WithTimeout(context.Background(), max(q.Timeout, time.Second)+time.Second)
	defer cancel()
	body := bytes.Repeat([]byte{'b'}, q.Bytes)
	copy(body, result.ID)
	method := q.Method
	if method == "" {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, node.URL(q.Path), io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return
	}
	request.ContentLength = int64(len(body))
	r.label(request, result)
	result.Outcome, result.Reason, result.Status, result.Own = "", "", 0, false
	response, err := r.client(node).Do(request)
	if err != nil {
		return
	}
	r.read(result, response, body)
}

func (r *Replay) label(request *http.Request, result *Result) {
	q := result.Requests
	request.Header.Set(eelgrasspoint.HeaderRequestID, result.ID)
	if q.Timeout > 0 {
		request.Header.Set(eelgrasspoint.HeaderTimeout, q.Timeout.String())
	}
	if q.Client != "" {
		request.Header.Set(eelgrasspoint.HeaderClient, q.Client)
	}
	if q.Crash {
		request.Header.Set(backend.HeaderCrash, "1")
	}
}

func (r *Replay) read(result *Result, response *http.Response, sent []byte) {
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

// client returns the callers' connections to a node.
func (r *Replay) client(node *simulator.Node) *http.Client {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clients[node.Name] == nil {
		r.clients[node.Name] = r.simulator.ClientIn(node)
	}
	return r.clients[node.Name]
}
