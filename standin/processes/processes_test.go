package processes

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"gotest.tools/v3/assert"

	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/standin/cluster"
	"eelgrasspoint/standin/platform"
)

// waitTimeout bounds every wait of these tests. They don't check the guaranteed time limits; the tests
// of package proof check those in virtual time.
const waitTimeout = 30 * time.Second

// pauseDuration is longer than every timeout between nodes.
const pauseDuration = 8 * time.Second

// startCluster builds the programs, starts four nodes with backend servers and applies
// examples/workshop.json. Each of the two zones has one node of each of the two services.
func startCluster(t *testing.T) *cluster.Cluster {
	t.Helper()
	binDir := t.TempDir()
	build := exec.Command("go", "build", "-o", binDir+"/", "eelgrasspoint/cmd/...", "eelgrasspoint/standin/cmd/platform", "eelgrasspoint/standin/cmd/backend")
	output, err := build.CombinedOutput()
	assert.NilError(t, err, "%s", output)
	c := cluster.New(binDir, t.TempDir())
	t.Cleanup(c.Stop)
	platformAddress, err := c.StartPlatform()
	assert.NilError(t, err)
	for i, zone := range []string{"almaty-a", "almaty-b", "almaty-a", "almaty-b"} {
		spec := cluster.NodeSpec{Name: fmt.Sprintf("node-%d", i), Region: "almaty", Zone: zone, Service: []string{"bench", "vitrine"}[i/2], Slots: 8, ServiceTime: 5 * time.Millisecond}
		_, err := c.StartNode(spec, platformAddress, nil)
		assert.NilError(t, err)
	}
	eventually(t, "every node lists the backend servers of all nodes as alive", func() bool {
		for i := range c.Nodes {
			if countAliveBackends(c, i) != len(c.Nodes) {
				return false
			}
		}
		return true
	})
	examplePath, err := filepath.Abs("../../examples/workshop.json")
	assert.NilError(t, err)
	text, status := runCtl(c, 0, "apply", "--file", examplePath, "--wait")
	assert.Equal(t, status, 0, text)
	return c
}

// runCtl runs eelgrassctl against a node and returns its output and exit status.
func runCtl(c *cluster.Cluster, node int, arguments ...string) (string, int) {
	return c.Run("eelgrassctl", append([]string{"--node", c.Nodes[node].Control.String()}, arguments...)...)
}

// countAliveBackends returns the number of members with a backend server that a node lists as neither
// failed nor left, or 0 if the node does not answer.
func countAliveBackends(c *cluster.Cluster, node int) int {
	text, status := runCtl(c, node, "status", "--output", "json")
	var response schema.StatusResponse
	if status != 0 || protojson.Unmarshal([]byte(text), &response) != nil {
		return 0
	}
	count := 0
	for _, n := range response.GetNodes() {
		m := n.GetMember()
		if !m.GetFailed() && !m.GetLeft() && m.GetBackendServer() != nil {
			count++
		}
	}
	return count
}

// eventually fails the test if the condition does not become true within waitTimeout.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within %v: %s", waitTimeout, description)
}

// sendBooking sends a booking and returns its outcome, or "" if the connection broke or the body of
// an Answered booking is not its identifier.
func sendBooking(address netip.AddrPort, id string) string {
	request, _ := http.NewRequest(http.MethodPost, "http://"+address.String()+"/bookings", strings.NewReader(id))
	request.Header.Set("Eelgrass-Request-Id", id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	outcome := response.Header.Get("Eelgrass-Outcome")
	if err != nil || outcome == "Answered" && string(body) != id {
		return ""
	}
	return outcome
}

// countRuns returns the number of runs of each booking on all reachable backend servers.
func countRuns(c *cluster.Cluster) map[string]int {
	total := make(map[string]int)
	for _, n := range c.Nodes {
		response, err := http.Get("http://" + n.BackendControl.String())
		if err != nil {
			continue
		}
		var counted struct{ Runs map[string]int }
		_ = json.NewDecoder(response.Body).Decode(&counted)
		response.Body.Close()
		for id, count := range counted.Runs {
			total[id] += count
		}
	}
	return total
}

// checkBookings sends bookings one after the other to node 2, whose own backend server runs another
// service, so that each booking needs an exit node. It checks that each has an outcome, that none ran
// twice or ran with outcome NotRun, and that the last one was answered.
func checkBookings(t *testing.T, c *cluster.Cluster, prefix string, count int) {
	t.Helper()
	outcomes := make(map[string]string)
	for i := range count {
		id := fmt.Sprintf("%s-%d", prefix, i)
		outcomes[id] = sendBooking(c.Nodes[2].Callers, id)
	}
	ran := countRuns(c)
	for id, outcome := range outcomes {
		assert.Assert(t, ran[id] <= 1, "%s ran %d times", id, ran[id])
		assert.Assert(t, outcome != "NotRun" || ran[id] == 0, "%s has outcome NotRun, but it ran", id)
		assert.Assert(t, outcome != "", "%s has no outcome: the connection broke or the answer was not its own", id)
	}
	assert.Equal(t, outcomes[fmt.Sprintf("%s-%d", prefix, count-1)], "Answered", "outcome of the last booking")
}

// TestOutcomesStayCorrectWhenProcessesAreKilled guards against bookings that run twice or get a wrong
// outcome after an exit node or a backend server was killed with SIGKILL. Runs on the killed backend
// server are not counted.
func TestOutcomesStayCorrectWhenProcessesAreKilled(t *testing.T) {
	c := startCluster(t)
	checkBookings(t, c, "before", 20)
	c.Nodes[0].Process.Signal(syscall.SIGKILL)
	checkBookings(t, c, "node-killed", 60)
	eventually(t, "node 2 lists node 0 as failed", func() bool { return countAliveBackends(c, 2) == 3 })
	assert.NilError(t, c.StartNodeProcess(c.Nodes[0]))
	eventually(t, "node 2 lists node 0 as alive again", func() bool { return countAliveBackends(c, 2) == 4 })
	c.Nodes[1].Backend.Signal(syscall.SIGKILL)
	checkBookings(t, c, "backend-killed", 60)
}

// TestResumedNodeDoesNotServeZoneOutOfService pauses a node with SIGSTOP for longer than every timeout
// between nodes, and takes its zone out of service meanwhile. It guards against a node that, once
// resumed, acts on the configuration from before the pause.
func TestResumedNodeDoesNotServeZoneOutOfService(t *testing.T) {
	c := startCluster(t)
	paused := c.Nodes[0]
	paused.Process.Signal(syscall.SIGSTOP)
	checkBookings(t, c, "paused", 60)
	eventually(t, "node 2 lists node 0 as failed", func() bool { return countAliveBackends(c, 2) == 3 })
	text, status := runCtl(c, 2, "zone", "out", "almaty-a", "--force", "--wait")
	assert.Equal(t, status, 0, text)
	time.Sleep(pauseDuration)
	runsBeforeResume := countRuns(c)
	paused.Process.Signal(syscall.SIGCONT)
	for i := range 200 {
		sendBooking(paused.Callers, fmt.Sprintf("resumed-%d", i))
	}
	eventually(t, "all nodes have revision 2", func() bool {
		text, status := runCtl(c, 2, "rollout")
		return status == 0 && strings.Count(text, " 2 ") == 4
	})
	after := countRunsAt(paused)
	for id := range after {
		assert.Assert(t, !strings.HasPrefix(id, "resumed") || runsBeforeResume[id] > 0, "%s ran in a zone that is out of service", id)
	}
	eventually(t, "node 2 lists node 0 as alive again", func() bool { return countAliveBackends(c, 2) == 4 })
}

// countRunsAt returns the number of runs of each booking on the backend server beside one node.
func countRunsAt(n *cluster.Node) map[string]int {
	return countRuns(&cluster.Cluster{Nodes: []*cluster.Node{n}})
}

// TestChangeOfUnknownOutcomeSettlesOnRepeat loses the answer to a change and keeps the platform down,
// so that eelgrassctl reports an unknown outcome with exit status 3. It guards against a change that
// fails or is made twice when the same command is repeated through another node once the platform is
// back.
func TestChangeOfUnknownOutcomeSettlesOnRepeat(t *testing.T) {
	c := startCluster(t)
	setFaults(t, c, platform.Faults{LoseAnswers: 1, DownAfterLoss: true})
	text, status := runCtl(c, 0, "zone", "out", "almaty-a", "--change-id", "c7")
	assert.Equal(t, status, 3, text)
	assert.Assert(t, strings.Contains(text, "--change-id c7"), text)
	setFaults(t, c, platform.Faults{})
	text, status = runCtl(c, 3, "zone", "out", "almaty-a", "--change-id", "c7")
	assert.Equal(t, status, 0, text)
	assert.Assert(t, strings.Contains(text, "revision 2"), text)
}

func setFaults(t *testing.T, c *cluster.Cluster, faults platform.Faults) {
	t.Helper()
	body, err := json.Marshal(faults)
	assert.NilError(t, err)
	response, err := http.Post("http://"+c.PlatformAddress.String()+"/standin", "application/json", bytes.NewReader(body))
	assert.NilError(t, err)
	response.Body.Close()
}

// TestPlatformDownStopsChangesButNotBookings guards against bookings that run twice, get a wrong outcome
// or are no longer answered, and against a change that is reported as made, after the platform was killed.
func TestPlatformDownStopsChangesButNotBookings(t *testing.T) {
	c := startCluster(t)
	c.Platform.Signal(syscall.SIGKILL)
	checkBookings(t, c, "store-down", 40)
	text, status := runCtl(c, 0, "zone", "out", "almaty-a")
	assert.Equal(t, status, 1, text)
	assert.Assert(t, strings.Contains(text, "the change was not made"), text)
}
