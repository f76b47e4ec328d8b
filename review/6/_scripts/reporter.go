package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// reporter sends the liveness reports of an instance, one lifetime after the other, to the node beside it.
type reporter struct {
	id   string
	node *node
	// slots is the number of slots that the reports name.
	slots int

	mu sync.Mutex
	// born is the start of the lifetime in Unix milliseconds; zero while the instance is down.
	born     int64
	sequence int
	state    string
}

const reportInterval = 1500 * time.Millisecond

// newReporter returns a reporter of an instance that is down.
func newReporter(n *node, slots int) *reporter {
	return &reporter{id: fmt.Sprintf("i-%08x", rand.Uint32()), node: n, slots: slots}
}

// begin begins a lifetime at the time of the instance's clock.
func (r *reporter) begin(now time.Time) {
	born := now.UnixMilli()
	r.mu.Lock()
	r.born, r.sequence, r.state = born, 0, "ready"
	r.mu.Unlock()
	go func() {
		for r.lives(born) {
			r.report()
			time.Sleep(reportInterval)
		}
	}()
}

// lives reports whether the lifetime has not ended.
func (r *reporter) lives(born int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.born == born
}

// stop ends the lifetime.
func (r *reporter) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.born = 0
}

// drain reports that the instance is draining, and whether that was acknowledged.
func (r *reporter) drain() bool {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	return r.report()
}

// report sends a report and returns whether it was acknowledged.
func (r *reporter) report() bool { return r.prepare()() }

// prepare returns a function that sends a report of now, and reports whether it was acknowledged.
func (r *reporter) prepare() (send func() bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	body, _ := json.Marshal(map[string]any{
		"Address": r.node.instance, "born": r.born,
		"Information": map[string]any{"Service": r.node.service, "Version": "v1", "Zone": r.node.zone, "Slots": r.slots},
		"Status":      map[string]any{"State": r.state, "Sequence": r.sequence, wire.Fields.Cold: 0},
	})
	return func() bool { return r.call(http.MethodPut, body) }
}

// call sends a call about the instance and returns whether it was acknowledged.
func (r *reporter) call(method string, body []byte) bool {
	request, _ := http.NewRequest(method, "http://"+r.node.control+wire.Paths.Instances+r.id, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// remove says that the instance leaves, and returns whether that was acknowledged. No further reports follow.
func (r *reporter) remove() bool {
	r.mu.Lock()
	body := fmt.Appendf(nil, `{"born":%d}`, r.born)
	r.born, r.state = 0, "leaving"
	r.mu.Unlock()
	return r.call(http.MethodDelete, body)
}

// leaves reports whether the instance is leaving.
func (r *reporter) leaves() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state != "ready"
}
