// Package tracker remembers which member updates other nodes have, so that gossip sends each of them as few as possible.
package tracker

import (
	"sync"
	"time"

	"eelgrasspoint"
)

// Tracker is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// nodes holds the entries that nodes have or may have, by the names of the node and of the member.
	nodes map[string]map[string]entry
}

// entry is a version of a member that a node has, or that was sent to it without an acknowledgement.
type entry struct {
	incarnation, version uint64
	left, failed         bool
	acknowledged         bool
	sentAt               time.Time
}

// resendAfter is the time after which an update that was not acknowledged is sent again.
const resendAfter = eelgrasspoint.HeartbeatInterval

// maxNodes bounds the nodes that are remembered, since names come from other nodes. A node exchanges heartbeats with
// fewer.
const maxNodes = 256

// New returns a tracker that knows of no updates.
func New() *Tracker { return &Tracker{nodes: make(map[string]map[string]entry)} }

// Missing returns the updates that the node is not known to have and that were not sent to it within resendAfter, at
// most MaxUpdatesPerMessage. It forgets what the node has of all other members: they are not gossiped any more.
func (t *Tracker) Missing(node string, updates []eelgrasspoint.Member, now time.Time) []eelgrasspoint.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.nodes[node]
	kept := make(map[string]entry, len(updates))
	var missing []eelgrasspoint.Member
	for _, m := range updates {
		e, ok := known[m.Name]
		if ok {
			kept[m.Name] = e
		}
		if ok && e.covers(m) && (e.acknowledged || now.Sub(e.sentAt) < resendAfter) {
			continue
		}
		if len(missing) < eelgrasspoint.MaxUpdatesPerMessage {
			missing = append(missing, m)
		}
	}
	t.nodes[node] = kept
	if len(kept) == 0 {
		delete(t.nodes, node)
	}
	return missing
}

// covers reports whether the entry is that version of the member, or a later one.
func (e entry) covers(m eelgrasspoint.Member) bool {
	has := eelgrasspoint.Member{Incarnation: e.incarnation, Version: e.version, Left: e.left, Failed: e.failed}
	return !m.Supersedes(has)
}

// Acknowledge records that the node has the updates: it sent them, or answered a message with them.
func (t *Tracker) Acknowledge(node string, updates []eelgrasspoint.Member) {
	t.record(node, updates, entry{acknowledged: true})
}

// Sent records that the updates were sent to the node in a response, which may not have arrived.
func (t *Tracker) Sent(node string, updates []eelgrasspoint.Member, now time.Time) {
	t.record(node, updates, entry{sentAt: now})
}

func (t *Tracker) record(node string, updates []eelgrasspoint.Member, state entry) {
	if len(updates) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.nodes[node]
	if known == nil {
		if len(t.nodes) >= maxNodes {
			clear(t.nodes)
		}
		known = make(map[string]entry)
		t.nodes[node] = known
	}
	for _, m := range updates {
		if e, ok := known[m.Name]; ok && e.acknowledged && e.covers(m) {
			continue
		}
		state.incarnation, state.version, state.left, state.failed = m.Incarnation, m.Version, m.Left, m.Failed
		known[m.Name] = state
	}
}

// Forget forgets what the node has: it may have restarted.
func (t *Tracker) Forget(node string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.nodes, node)
}
