package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"eelgrasspoint/standin/cluster"
)

// Bounds of the checks. startStopTimeout bounds the start of the cluster and the stop of one node;
// leaveTimeout and zoneTimeout are unused.
const (
	startStopTimeout = 10 * time.Second
	leaveTimeout     = time.Second
	zoneTimeout      = 3 * time.Second
	maxResidentBytes = 64 << 20
)

// Sizes of the requests.
const (
	largeBodyBytes       = 10 << 20
	oversizedHeaderBytes = 80 << 10
)

// Behavior of each backend server.
const (
	serviceTime    = 5 * time.Millisecond
	slotsPerServer = 13
)

// demo runs the checks one after another and counts the results.
type demo struct {
	cluster           *cluster.Cluster
	configurationPath string
	started           time.Time
	keep              bool
	passed            int
	failed            int
	sequence          int
	client            http.Client
}

// run starts the cluster and runs the checks in this order:
//
//	start 15 nodes and backend servers -> apply -> get -> requests -> large bodies
//	-> invalid requests -> invalid inputs -> home regions -> zone out and in -> crash
//	-> stop under load
//
// It returns the number of failed checks, or 1 if the cluster can't be started. With keep it runs the
// checks up to get, waits for an interrupt and returns 0.
func (d *demo) run() int {
	if err := d.start(); err != nil {
		fmt.Println("could not start the cluster:", err)
		return 1
	}
	if d.keep {
		d.wait()
		return 0
	}
	d.requests()
	d.largeBodies()
	d.invalidRequests()
	d.invalidInputs()
	d.homeRegions()
	d.zoneOutAndIn()
	d.crash()
	d.stopUnderLoad()
	fmt.Printf("%d passed, %d failed\n", d.passed, d.failed)
	return d.failed
}

// check counts and prints the result of one check.
func (d *demo) check(name string, ok bool, detail string, args ...any) {
	result := "ok    "
	if ok {
		d.passed++
	} else {
		d.failed++
		result = "FAILED"
	}
	fmt.Printf("%6.2fs %s %s: %s\n", time.Since(d.started).Seconds(), result, name, fmt.Sprintf(detail, args...))
}

var regionByZone = map[string]string{"almaty-a": "almaty", "almaty-b": "almaty", "astana-a": "astana", "astana-b": "astana"}

// zoneNames is the order in which zones get their backend servers, in turn.
var zoneNames = []string{"almaty-a", "almaty-b", "astana-a", "astana-b"}

// serverCounts is the number of backend servers of each service, in the order of their start.
var serverCounts = []struct {
	service string
	count   int
}{{"vitrine", 6}, {"bench", 5}, {"ledger", 4}}

// start starts the cluster and checks that all backend servers are alive and that one node has the
// configuration that was applied at another.
func (d *demo) start() error {
	platform, err := d.cluster.StartPlatform()
	if err != nil {
		return err
	}
	index := 0
	for _, service := range serverCounts {
		for i := range service.count {
			zone := zoneNames[index%len(zoneNames)]
			index++
			spec := cluster.NodeSpec{
				Name: fmt.Sprintf("%s-%d", service.service, i+1), Region: regionByZone[zone], Zone: zone,
				Service: service.service, Slots: slotsPerServer, ServiceTime: serviceTime,
			}
			if _, err := d.cluster.StartNode(spec, platform, nil); err != nil {
				return err
			}
		}
	}
	allAlive := d.waitFor(startStopTimeout, func() bool { return d.aliveBackends(0) == len(d.cluster.Nodes) })
	d.check("start", allAlive, "%d of %d backend servers alive after %v", d.aliveBackends(0), len(d.cluster.Nodes), time.Since(d.started).Round(time.Millisecond))
	output, status := d.ctl(0, "apply", "--file", d.configurationPath, "--wait")
	d.check("apply", status == 0, "%s", oneLine(output))
	output, status = d.ctl(7, "get", "--output", "json")
	d.check("get from another node", status == 0 && strings.Contains(output, "catalogue"), "%d bytes", len(output))
	return nil
}

// wait keeps the cluster running until SIGINT or SIGTERM.
func (d *demo) wait() {
	first := d.cluster.Nodes[0]
	fmt.Printf("\ncallers:   curl -i http://%v/catalogue/1\noperators: eelgrassctl --node %v status\nPress Ctrl-C to stop.\n", first.Callers, first.Control)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
}

func (d *demo) requests() {
	answer := d.call(0, http.MethodGet, "/catalogue/1", nil, nil)
	d.check("page", answer.status == 200 && answer.outcome == "Answered", "%v", answer)
	answer = d.call(0, http.MethodPost, "/bookings", []byte("bowl"), nil)
	d.check("booking", answer.status == 200 && answer.body == "bowl", "%v", answer)
	answer = d.call(9, http.MethodPost, "/payments", []byte("100"), http.Header{"Idempotency-Key": {"k1"}})
	d.check("payment with an idempotency key", answer.status == 200 && answer.body == "100", "%v", answer)
	outcomes := make(map[string]int)
	for range 60 {
		outcomes[d.call(0, http.MethodGet, "/catalogue/2", nil, nil).outcome]++
	}
	d.check("60 pages", outcomes["Answered"] == 60, "%v", outcomes)
}

func (d *demo) largeBodies() {
	body := bytes.Repeat([]byte("0123456789abcdef"), largeBodyBytes/16)
	answer := d.call(0, http.MethodPost, "/photographs", body, nil)
	d.check("10 MiB echoed", answer.status == 200 && answer.body == string(body), "status %d, %d bytes", answer.status, len(answer.body))
	var largest int64
	for _, n := range d.cluster.Nodes {
		largest = max(largest, n.Process.ResidentBytes())
	}
	d.check("memory", largest < maxResidentBytes, "largest resident memory of a node: %.1f MiB", float64(largest)/(1<<20))
}

func (d *demo) invalidRequests() {
	answer := d.call(0, http.MethodGet, "/nowhere", nil, nil)
	d.check("unknown route", answer.status == 404 && answer.reason == "NoRoute", "%v", answer)
	answer = d.call(0, http.MethodGet, "/catalogue/1", nil, http.Header{"X-Long": {strings.Repeat("x", oversizedHeaderBytes)}})
	d.check("oversized header", answer.status == 400 && answer.reason == "HeaderTooLarge", "%v", answer)
	answer = d.call(0, http.MethodGet, "/catalogue/1", nil, http.Header{"Eelgrass-Timeout": {"soon"}})
	d.check("bad timeout", answer.status == 400 && answer.reason == "BadHeader", "%v", answer)
	answer = d.call(0, http.MethodGet, "/catalogue/1", nil, http.Header{"Eelgrass-Depth": {"16"}})
	d.check("too deep", answer.status == 508 && answer.reason == "TooDeep", "%v", answer)
	answer = d.sendTruncatedBody(0)
	d.check("body cut short", answer.status == 400 && answer.reason == "BodyCutShort", "%v", answer)
}

// invalidInputs checks the errors for invalid settings, an invalid change, an unknown verb and a wrong
// expected revision.
func (d *demo) invalidInputs() {
	path := d.cluster.Path("wrong.json")
	_ = os.WriteFile(path, []byte(`{"Name": "", "Region": "almaty", "AvailabilityZone": "almaty-a", "CallerAddress": "here:80", "PeerAddress": "127.0.0.1:1", "ControlAddress": "127.0.0.1:2", "Colour": "green"}`), 0o600)
	output, status := d.cluster.Run("eelgrassd", "check", "--settings", path)
	named := strings.Contains(output, "Name:") && strings.Contains(output, "CallerAddress:") && strings.Contains(output, "Colour:")
	d.check("settings with three mistakes", status == 1 && named, "%s", oneLine(output))
	_ = os.WriteFile(path, []byte(`{"Routes": [{"Name": "r", "PathPrefix": "x", "Service": "none"}]}`), 0o600)
	output, status = d.ctl(0, "apply", "--file", path)
	d.check("change with two mistakes", status == 1 && strings.Contains(output, "Routes[r].PathPrefix"), "%s", oneLine(output))
	output, status = d.ctl(0, "statsu")
	d.check("misspelled verb", status == 2 && strings.Contains(output, `did you mean "status"`), "%s", oneLine(output))
	output, status = d.ctl(0, "apply", "--file", d.configurationPath, "--expected-revision", "99")
	d.check("wrong expected revision", status == 1 && strings.Contains(output, "the change conflicts with revision"), "%s", oneLine(output))
}

// homeRegions requests a route with the home region astana through a node in almaty, first without a
// client and then for a client with the home region almaty.
func (d *demo) homeRegions() {
	answer := d.call(0, http.MethodGet, "/statements/7", nil, nil)
	d.check("route with its home in the other region", answer.status == 200, "%v", answer)
	answer = d.call(0, http.MethodGet, "/statements/7", nil, http.Header{"Eelgrass-Client": {"museum-almaty"}})
	d.check("client and route without a common home region", answer.status == 421 && answer.outcome == "NotRun", "%v", answer)
}

func (d *demo) zoneOutAndIn() {
	output, status := d.ctl(3, "zone", "out", "almaty-a", "--wait")
	d.check("zone out", status == 0, "%s", oneLine(output))
	runsBefore := d.runsInZone("almaty-a")
	for range 50 {
		d.call(0, http.MethodGet, "/catalogue/3", nil, nil)
	}
	d.check("no requests in the zone out of service", d.runsInZone("almaty-a") == runsBefore, "%d runs before, %d after", runsBefore, d.runsInZone("almaty-a"))
	output, status = d.ctl(3, "zone", "in", "almaty-a", "--wait")
	d.check("zone in", status == 0, "%s", oneLine(output))
}

// crash kills one of the backend servers of vitrine and checks that requests through another node are
// all answered by the others.
func (d *demo) crash() {
	node := d.cluster.Nodes[1]
	node.Backend.Signal(syscall.SIGKILL)
	outcomes := make(map[string]int)
	for range 60 {
		outcomes[d.call(0, http.MethodGet, "/catalogue/4", nil, nil).outcome]++
	}
	d.check("backend server killed", outcomes["Answered"] == 60, "%v", outcomes)
	if err := d.cluster.StartBackendProcess(node); err != nil {
		d.check("restart", false, "%v", err)
	}
}

// stopUnderLoad sends 60 bookings through each of six nodes while another node stops, which is beside a
// backend server of the bookings' service.
func (d *demo) stopUnderLoad() {
	node := d.cluster.Nodes[6]
	outcomes := make(map[string]int)
	var mu sync.Mutex
	var group sync.WaitGroup
	for worker := range 6 {
		group.Go(func() {
			for i := range 60 {
				id := fmt.Sprintf("stop-%d-%d", worker, i)
				answer := d.call(worker, http.MethodPost, "/bookings", []byte(id), http.Header{"Eelgrass-Request-Id": {id}})
				mu.Lock()
				outcomes[answer.outcome]++
				mu.Unlock()
				if worker == 0 && i == 10 {
					node.Process.Signal(syscall.SIGTERM)
				}
			}
		})
	}
	group.Wait()
	stopped := node.Process.Wait(startStopTimeout)
	d.check("node stopped under load", stopped && outcomes["Answered"] == 360, "exit without an error in time: %v, outcomes: %v", stopped, outcomes)
	d.check("bookings ran once", d.maxRunsPerRequest("stop-") == 1, "maximum runs of one booking: %d", d.maxRunsPerRequest("stop-"))
}
