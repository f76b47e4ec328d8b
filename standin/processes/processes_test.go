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

// patience bounds every wait of these tests; the promises are bounded in virtual time.
const patience = 30 * time.Second

// frozenFor is longer than every time limit between nodes.
const frozenFor = 8 * time.Second

// start builds the programs and runs a node in each zone, a service in two of them.
func start(t *testing.T) *cluster.Cluster {
	t.Helper()
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin+"/", "eelgrasspoint/cmd/...", "eelgrasspoint/standin/cmd/platform", "eelgrasspoint/standin/cmd/backend")
	output, err := build.CombinedOutput()
	assert.NilError(t, err, "%s", output)
	c := cluster.New(bin, t.TempDir())
	t.Cleanup(c.Stop)
	platform, err := c.StartPlatform()
	assert.NilError(t, err)
	for i, zone := range []string{"almaty-a", "almaty-b", "almaty-a", "almaty-b"} {
		spec := cluster.NodeSpec{Name: fmt.Sprintf("node-%d", i), Region: "almaty", Zone: zone, Service: []string{"bench", "vitrine"}[i/2], Slots: 8, ServiceTime: 5 * time.Millisecond}
		_, err := c.StartNode(spec, platform, nil)
		assert.NilError(t, err)
	}
	eventually(t, "all nodes know each other", func() bool {
		for i := range c.Nodes {
			if alive(c, i) != len(c.Nodes) {
				return false
			}
		}
		return true
	})
	examples, err := filepath.Abs("../../examples/workshop.json")
	assert.NilError(t, err)
	text, status := ctl(c, 0, "apply", "--file", examples, "--wait")
	assert.Equal(t, status, 0, text)
	return c
}

func ctl(c *cluster.Cluster, node int, arguments ...string) (string, int) {
	return c.Run("eelgrassctl", append([]string{"--node", c.Nodes[node].Control.String()}, arguments...)...)
}

func alive(c *cluster.Cluster, node int) int {
	text, status := ctl(c, node, "status", "--output", "json")
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

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not in %v: %s", patience, what)
}

// book sends a booking and returns its outcome, or nothing if the connection broke.
func book(address netip.AddrPort, id string) string {
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

// runs adds up how often each booking ran.
func runs(c *cluster.Cluster) map[string]int {
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

// bookThrough sends bookings one after the other and checks that none breaks a promise.
func bookThrough(t *testing.T, c *cluster.Cluster, prefix string, count int) {
	t.Helper()
	outcomes := make(map[string]string)
	for i := range count {
		id := fmt.Sprintf("%s-%d", prefix, i)
		outcomes[id] = book(c.Nodes[2].Callers, id)
	}
	ran := runs(c)
	for id, outcome := range outcomes {
		assert.Assert(t, ran[id] <= 1, "%s ran %d times", id, ran[id])
		assert.Assert(t, outcome != "NotRun" || ran[id] == 0, "%s ran, but was said not to", id)
		assert.Assert(t, outcome != "", "%s has no outcome", id)
	}
	assert.Equal(t, outcomes[fmt.Sprintf("%s-%d", prefix, count-1)], "Answered", "the last booking")
}

// TestKilled ends an exit node and a backend server with SIGKILL under bookings.
func TestKilled(t *testing.T) {
	c := start(t)
	bookThrough(t, c, "before", 20)
	c.Nodes[0].Process.Signal(syscall.SIGKILL)
	bookThrough(t, c, "node-killed", 60)
	eventually(t, "the others take it for failed", func() bool { return alive(c, 2) == 3 })
	assert.NilError(t, c.RestartNode(c.Nodes[0]))
	eventually(t, "it is back", func() bool { return alive(c, 2) == 4 })
	c.Nodes[1].Backend.Signal(syscall.SIGKILL)
	bookThrough(t, c, "backend-killed", 60)
}

// TestFrozen stops a node for longer than every time limit while a zone leaves: when it wakes
// up it must not act on what it knew.
func TestFrozen(t *testing.T) {
	c := start(t)
	frozen := c.Nodes[0]
	frozen.Process.Signal(syscall.SIGSTOP)
	bookThrough(t, c, "frozen", 60)
	eventually(t, "the others take it for failed", func() bool { return alive(c, 2) == 3 })
	text, status := ctl(c, 2, "zone", "out", "almaty-a", "--force", "--wait")
	assert.Equal(t, status, 0, text)
	time.Sleep(frozenFor)
	before := runs(c)
	frozen.Process.Signal(syscall.SIGCONT)
	for i := range 200 {
		book(frozen.Callers, fmt.Sprintf("awake-%d", i))
	}
	eventually(t, "it has the revision", func() bool {
		text, status := ctl(c, 2, "rollout")
		return status == 0 && strings.Count(text, " 2 ") == 4
	})
	after := runsAt(frozen)
	for id := range after {
		assert.Assert(t, !strings.HasPrefix(id, "awake") || before[id] > 0, "%s ran in a zone that is out of service", id)
	}
	eventually(t, "it is back", func() bool { return alive(c, 2) == 4 })
}

func runsAt(n *cluster.Node) map[string]int {
	return runs(&cluster.Cluster{Nodes: []*cluster.Node{n}})
}

// TestOutcomeUnknown loses the answer to a change and keeps the store away: the command says
// that it does not know, and the same command settles it.
func TestOutcomeUnknown(t *testing.T) {
	c := start(t)
	setFaults(t, c, platform.Faults{LoseAnswers: 1, DownAfterLoss: true})
	text, status := ctl(c, 0, "zone", "out", "almaty-a", "--change-id", "c7")
	assert.Equal(t, status, 3, text)
	assert.Assert(t, strings.Contains(text, "--change-id c7"), text)
	setFaults(t, c, platform.Faults{})
	text, status = ctl(c, 3, "zone", "out", "almaty-a", "--change-id", "c7")
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

// TestStoreDown ends the platform: bookings go on, changes are refused.
func TestStoreDown(t *testing.T) {
	c := start(t)
	c.Platform.Signal(syscall.SIGKILL)
	bookThrough(t, c, "store-down", 40)
	text, status := ctl(c, 0, "zone", "out", "almaty-a")
	assert.Equal(t, status, 1, text)
	assert.Assert(t, strings.Contains(text, "the change was not made"), text)
}
