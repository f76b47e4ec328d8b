package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

// reporter sends the liveness reports of an instance, one lifetime after the other, to the node beside it.
type reporter struct {
	id   string
	node *node
	// slots is the number of slots that the reports name.
	slots int
	// lifetime is that of the instance now; zero while it is down.
	lifetime atomic.Int64
}

const reportInterval = 1500 * time.Millisecond

// newReporter returns a reporter of an instance that is down.
func newReporter(n *node, slots int) *reporter {
	return &reporter{id: fmt.Sprintf("i-%08x", rand.Uint32()), node: n, slots: slots}
}

// begin begins a lifetime.
func (r *reporter) begin() {
	born := time.Now().UnixMilli()
	r.lifetime.Store(born)
	go func() {
		for sequence := 1; r.lifetime.Load() == born; sequence++ {
			r.send(born, sequence)
			time.Sleep(reportInterval)
		}
	}()
}

// stop ends the lifetime.
func (r *reporter) stop() { r.lifetime.Store(0) }

func (r *reporter) send(born int64, sequence int) {
	body, _ := json.Marshal(map[string]any{
		"Address": r.node.instance, "born": born,
		"Information": map[string]any{"Service": r.node.service, "Version": "v1", "Zone": r.node.zone, "Slots": r.slots},
		"Status":      map[string]any{"State": "ready", "Sequence": sequence, "ColdRemainingS": 0},
	})
	request, _ := http.NewRequest(http.MethodPut, "http://"+r.node.control+"/api/instances/"+r.id, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: time.Second}
	if response, err := client.Do(request); err == nil {
		response.Body.Close()
	}
}
