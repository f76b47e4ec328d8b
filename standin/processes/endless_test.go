package processes

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint/standin/babbler"
	"eelgrasspoint/standin/backend"
	"eelgrasspoint/standin/cluster"
)

// startNodeWithBabbler builds the programs and starts one node with a babbler beside it.
func startNodeWithBabbler(t *testing.T, script babbler.Script) (*cluster.Cluster, *babbler.Babbler) {
	t.Helper()
	binDir := t.TempDir()
	output, err := exec.Command("go", "build", "-o", binDir+"/", "eelgrasspoint/cmd/...", "eelgrasspoint/standin/cmd/platform").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	c := cluster.New(binDir, t.TempDir())
	t.Cleanup(c.Stop)
	platformAddress, err := c.StartPlatform()
	assert.NilError(t, err)
	n, err := c.StartNode(cluster.NodeSpec{Name: "node-0", Region: "almaty", Zone: "almaty-a", Service: "bench", WithoutBackend: true}, platformAddress, nil)
	assert.NilError(t, err)
	b, err := babbler.New(script)
	assert.NilError(t, err)
	t.Cleanup(b.Close)
	go backend.Announce(t.Context(), http.DefaultClient, n.Control, backend.Announcement{
		Service: "bench", Address: b.Address(), Incarnation: 1, Slots: 64, Connections: 256,
	})
	eventually(t, "the node lists the backend server", func() bool { return countAliveBackends(c, 0) == 1 })
	examplePath, err := filepath.Abs("../../examples/workshop.json")
	assert.NilError(t, err)
	text, status := runCtl(c, 0, "apply", "--file", examplePath, "--wait")
	assert.Equal(t, status, 0, text)
	return c, b
}

// TestNodeKeepsItsMemoryWhenAnswerHeadsDoNotEnd guards against a node that uses up its VM's memory, and ends,
// because of a backend server whose answers have heads without end.
func TestNodeKeepsItsMemoryWhenAnswerHeadsDoNotEnd(t *testing.T) {
	const callers, maxBytes = 64, 96 << 20
	for _, script := range []babbler.Script{
		{Begin: "HTTP/1.1 200 ", Repeat: "O"},
		{Begin: "HTTP/1.1 200 OK\r\n", Repeat: "A: b\r\n"},
	} {
		c, b := startNodeWithBabbler(t, script)
		before := c.Nodes[0].Process.PeakResidentBytes()
		var group sync.WaitGroup
		until := time.Now().Add(4 * time.Second)
		for i := range callers {
			group.Go(func() {
				for n := 0; time.Now().Before(until); n++ {
					sendBooking(c.Nodes[0].Callers, fmt.Sprintf("b-%d-%d", i, n))
				}
			})
		}
		group.Wait()
		peak := c.Nodes[0].Process.PeakResidentBytes()
		t.Logf("%q: peak resident memory from %d MB to %d MB, %d requests reached the backend server", script.Repeat, before>>20, peak>>20, b.Requests())
		assert.Assert(t, peak < maxBytes, "peak resident memory is %d MB", peak>>20)
	}
}
