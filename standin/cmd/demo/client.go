package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"eelgrasspoint/protocol/schema"
)

// answer is the result of a request as the caller receives it. If the request failed, reason is the
// error text.
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
	return readAnswer(response)
}

func readAnswer(response *http.Response) answer {
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

// sendTruncatedBody sends 4 bytes of a body with a Content-Length of 100 and closes only the sending
// direction, so that the answer can still be read.
func (d *demo) sendTruncatedBody(node int) answer {
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

// ctl runs eelgrassctl against a node and returns its output and exit status.
func (d *demo) ctl(node int, arguments ...string) (string, int) {
	return d.cluster.Run("eelgrassctl", append([]string{"--node", d.cluster.Nodes[node].Control.String()}, arguments...)...)
}

// aliveBackends returns the number of backend servers that the node sees as alive, or 0 if its status
// can't be read.
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

// runsByRequest returns how often one backend server ran each request, by request identifier. It
// returns nil if the backend server can't be reached.
func (d *demo) runsByRequest(backendControl netip.AddrPort) map[string]int {
	response, err := d.client.Get("http://" + backendControl.String() + "/")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var state struct{ Runs map[string]int }
	_ = json.NewDecoder(response.Body).Decode(&state)
	return state.Runs
}

func (d *demo) runsInZone(zone string) int {
	total := 0
	for _, n := range d.cluster.Nodes {
		if n.Zone != zone {
			continue
		}
		for _, runs := range d.runsByRequest(n.BackendControl) {
			total += runs
		}
	}
	return total
}

// maxRunsPerRequest returns the highest number of runs of one request, summed over all backend
// servers. Only requests whose identifier has the prefix count.
func (d *demo) maxRunsPerRequest(prefix string) int {
	total := make(map[string]int)
	for _, n := range d.cluster.Nodes {
		for id, runs := range d.runsByRequest(n.BackendControl) {
			if strings.HasPrefix(id, prefix) {
				total[id] += runs
			}
		}
	}
	highest := 0
	for _, runs := range total {
		highest = max(highest, runs)
	}
	return highest
}

func (d *demo) waitFor(timeout time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(timeout)
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
