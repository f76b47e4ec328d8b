package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/standin/cluster"
)

// Bounds of the demonstration.
const (
	startLimit     = 10 * time.Second
	residentLimit  = 64 << 20
	bigBodyBytes   = 10 << 20
	serviceTime    = 5 * time.Millisecond
	slots          = 13
	leaveLimit     = time.Second
	zoneLimit      = 3 * time.Second
	headerTooLarge = 80 << 10
)

// demo checks one thing after the other.
type demo struct {
	cluster       *cluster.Cluster
	configuration string
	began         time.Time
	keep          bool
	passed        int
	failed        int
	sequence      int
	client        http.Client
}

// run:
//
//	start 15 nodes and backend servers -> apply -> requests -> errors -> home regions
//	-> zone out and in -> crash -> stop under load
func (d *demo) run() int {
	if err := d.start(); err != nil {
		fmt.Println("could not start:", err)
		return 1
	}
	if d.keep {
		d.wait()
		return 0
	}
	d.requests()
	d.bigBodies()
	d.callerMistakes()
	d.operatorMistakes()
	d.homeRegions()
	d.zoneOutAndIn()
	d.crash()
	d.stopUnderLoad()
	fmt.Printf("%d passed, %d failed\n", d.passed, d.failed)
	return d.failed
}

// check counts and prints one result.
func (d *demo) check(name string, ok bool, detail string, args ...any) {
	word := "ok    "
	if ok {
		d.passed++
	} else {
		d.failed++
		word = "FAILED"
	}
	fmt.Printf("%6.2fs %s %s: %s\n", time.Since(d.began).Seconds(), word, name, fmt.Sprintf(detail, args...))
}

var zones = map[string]string{"almaty-a": "almaty", "almaty-b": "almaty", "astana-a": "astana", "astana-b": "astana"}

var zoneOrder = []string{"almaty-a", "almaty-b", "astana-a", "astana-b"}

var instances = []struct {
	service string
	count   int
}{{"vitrine", 6}, {"bench", 5}, {"ledger", 4}}

func (d *demo) start() error {
	platform, err := d.cluster.StartPlatform()
	if err != nil {
		return err
	}
	place := 0
	for _, service := range instances {
		for i := range service.count {
			zone := zoneOrder[place%len(zoneOrder)]
			place++
			spec := cluster.Spec{
				Name: fmt.Sprintf("%s-%d", service.service, i+1), Region: zones[zone], Zone: zone,
				Service: service.service, Slots: slots, ServiceTime: serviceTime,
			}
			if _, err := d.cluster.StartNode(spec, platform, nil); err != nil {
				return err
			}
		}
	}
	found := d.eventually(startLimit, func() bool { return d.aliveBackends(0) == len(d.cluster.Nodes) })
	d.check("start", found, "%d of %d backend servers known after %v", d.aliveBackends(0), len(d.cluster.Nodes), time.Since(d.began).Round(time.Millisecond))
	output, status := d.ctl(0, "apply", "--file", d.configuration, "--wait")
	d.check("apply", status == 0, "%s", oneLine(output))
	output, status = d.ctl(7, "get", "--output", "json")
	d.check("get from another node", status == 0 && strings.Contains(output, "catalogue"), "%d bytes", len(output))
	return nil
}

// wait leaves the cluster to the reader.
func (d *demo) wait() {
	first := d.cluster.Nodes[0]
	fmt.Printf("\ncallers:   curl -i http://%v/catalogue/1\noperators: eelgrassctl --node %v status\nCtrl-C ends it.\n", first.Callers, first.Control)
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
	d.check("payment with a key", answer.status == 200 && answer.body == "100", "%v", answer)
	served := make(map[string]int)
	for range 60 {
		served[d.call(0, http.MethodGet, "/catalogue/2", nil, nil).outcome]++
	}
	d.check("60 pages", served["Answered"] == 60, "%v", served)
}

func (d *demo) bigBodies() {
	body := bytes.Repeat([]byte("0123456789abcdef"), bigBodyBytes/16)
	answer := d.call(0, http.MethodPost, "/photographs", body, nil)
	d.check("10 MB there and back", answer.status == 200 && answer.body == string(body), "status %d, %d bytes", answer.status, len(answer.body))
	var most int64
	for _, n := range d.cluster.Nodes {
		most = max(most, n.Process.ResidentBytes())
	}
	d.check("memory", most < residentLimit, "the largest node holds %.1f MB", float64(most)/(1<<20))
}

func (d *demo) callerMistakes() {
	answer := d.call(0, http.MethodGet, "/nowhere", nil, nil)
	d.check("unknown route", answer.status == 404 && answer.reason == "NoRoute", "%v", answer)
	answer = d.call(0, http.MethodGet, "/catalogue/1", nil, http.Header{"X-Long": {strings.Repeat("x", headerTooLarge)}})
	d.check("oversized header", answer.status == 400 && answer.reason == "HeaderTooLarge", "%v", answer)
	answer = d.call(0, http.MethodGet, "/catalogue/1", nil, http.Header{"Eelgrass-Timeout": {"soon"}})
	d.check("bad timeout", answer.status == 400 && answer.reason == "BadHeader", "%v", answer)
	answer = d.call(0, http.MethodGet, "/catalogue/1", nil, http.Header{"Eelgrass-Depth": {"16"}})
	d.check("too deep", answer.status == 508 && answer.reason == "TooDeep", "%v", answer)
	answer = d.cutShort(0)
	d.check("body cut short", answer.status == 400 && answer.reason == "BodyCutShort", "%v", answer)
}

func (d *demo) operatorMistakes() {
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
	output, status = d.ctl(0, "apply", "--file", d.configuration, "--expected-revision", "99")
	d.check("race of operators", status == 1 && strings.Contains(output, "another change won"), "%s", oneLine(output))
}

func (d *demo) homeRegions() {
	answer := d.call(0, http.MethodGet, "/statements/7", nil, nil)
	d.check("bound to the other region", answer.status == 200, "%v", answer)
	answer = d.call(0, http.MethodGet, "/statements/7", nil, http.Header{"Eelgrass-Client": {"museum-almaty"}})
	d.check("bound to no common region", answer.status == 421 && answer.outcome == "NotRun", "%v", answer)
}

func (d *demo) zoneOutAndIn() {
	output, status := d.ctl(3, "zone", "out", "almaty-a", "--wait")
	d.check("zone out", status == 0, "%s", oneLine(output))
	before := d.runsIn("almaty-a")
	for range 50 {
		d.call(0, http.MethodGet, "/catalogue/3", nil, nil)
	}
	d.check("no new work in it", d.runsIn("almaty-a") == before, "%d runs before, %d after", before, d.runsIn("almaty-a"))
	output, status = d.ctl(3, "zone", "in", "almaty-a", "--wait")
	d.check("zone in", status == 0, "%s", oneLine(output))
}

func (d *demo) crash() {
	victim := d.cluster.Nodes[1]
	victim.Backend.Signal(syscall.SIGKILL)
	outcomes := make(map[string]int)
	for range 60 {
		outcomes[d.call(0, http.MethodGet, "/catalogue/4", nil, nil).outcome]++
	}
	d.check("backend server killed", outcomes["Answered"] == 60, "%v", outcomes)
	if err := d.cluster.RestartBackend(victim); err != nil {
		d.check("restart", false, "%v", err)
	}
}

// stopUnderLoad sends bookings through every node while one of them stops.
func (d *demo) stopUnderLoad() {
	victim := d.cluster.Nodes[6]
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
					victim.Process.Signal(syscall.SIGTERM)
				}
			}
		})
	}
	group.Wait()
	stopped := victim.Process.Wait(startLimit)
	d.check("node stopped under load", stopped && outcomes["Answered"] == 360, "clean exit %v, %v", stopped, outcomes)
	d.check("bookings ran once", d.mostRuns("stop-") == 1, "most runs of one booking: %d", d.mostRuns("stop-"))
}

// answer is what a caller sees.
type answer struct {
	status  int
	outcome string
	reason  string
	body    string
}

func (a answer) String() string {
	if a.reason != "" {
		return fmt.Sprintf("%d %s %s", a.status, a.outcome, a.reason)
	}
	return fmt.Sprintf("%d %s %d bytes", a.status, a.outcome, len(a.body))
}

func (d *demo) call(node int, method, path string, body []byte, header http.Header) answer {
	url := "http://" + d.cluster.Nodes[node].Callers.String() + path
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return answer{reason: err.Error()}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := d.client.Do(request)
	if err != nil {
		return answer{reason: err.Error()}
	}
	return read(response)
}

func read(response *http.Response) answer {
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a := answer{status: response.StatusCode, outcome: response.Header.Get("Eelgrass-Outcome"), body: string(body)}
	if err != nil {
		a.reason = err.Error()
	}
	var refusal struct{ Reason string }
	if a.outcome != "Answered" && json.Unmarshal(body, &refusal) == nil {
		a.reason = refusal.Reason
	}
	return a
}

// cutShort promises more of a body than it sends, and closes only its own direction.
func (d *demo) cutShort(node int) answer {
	conn, err := net.Dial("tcp", d.cluster.Nodes[node].Callers.String())
	if err != nil {
		return answer{reason: err.Error()}
	}
	defer conn.Close()
	fmt.Fprint(conn, "POST /bookings HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf")
	_ = conn.(*net.TCPConn).CloseWrite()
	data, _ := io.ReadAll(conn)
	head, body, _ := strings.Cut(string(data), "\r\n\r\n")
	a := answer{body: body}
	_, _ = fmt.Sscanf(head, "HTTP/1.1 %d", &a.status)
	var refusal struct{ Outcome, Reason string }
	_ = json.Unmarshal([]byte(body), &refusal)
	a.outcome, a.reason = refusal.Outcome, refusal.Reason
	return a
}

func (d *demo) ctl(node int, arguments ...string) (string, int) {
	return d.cluster.Run("eelgrassctl", append([]string{"--node", d.cluster.Nodes[node].Control.String()}, arguments...)...)
}

func (d *demo) aliveBackends(node int) int {
	output, status := d.ctl(node, "status", "--output", "json")
	var response schema.StatusResponse
	if status != 0 || protojson.Unmarshal([]byte(output), &response) != nil {
		return 0
	}
	count := 0
	for _, n := range response.GetNodes() {
		m := n.GetMember()
		if m.GetBackendServer() != nil && !m.GetFailed() && !m.GetLeft() {
			count++
		}
	}
	return count
}

func (d *demo) runs(address netip.AddrPort) map[string]int {
	response, err := d.client.Get("http://" + address.String() + "/")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var counted struct{ Runs map[string]int }
	_ = json.NewDecoder(response.Body).Decode(&counted)
	return counted.Runs
}

func (d *demo) runsIn(zone string) int {
	total := 0
	for _, n := range d.cluster.Nodes {
		if n.Zone != zone {
			continue
		}
		for _, runs := range d.runs(n.BackendControl) {
			total += runs
		}
	}
	return total
}

// mostRuns returns the most runs of one request over all backend servers.
func (d *demo) mostRuns(prefix string) int {
	total := make(map[string]int)
	for _, n := range d.cluster.Nodes {
		for id, runs := range d.runs(n.BackendControl) {
			if strings.HasPrefix(id, prefix) {
				total[id] += runs
			}
		}
	}
	most := 0
	for _, runs := range total {
		most = max(most, runs)
	}
	return most
}

func (d *demo) eventually(limit time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if condition() {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

func oneLine(text string) string {
	return strings.Join(strings.Fields(text), " ")
}
