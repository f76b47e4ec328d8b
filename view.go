package eelgrasspoint

import "time"

// MembershipView is the state that gossip and heartbeats between nodes use. It is immutable.
type MembershipView struct {
	Self    Member
	Members []Member
	// News are the recently changed members, the updates to gossip (see UpdatesAt).
	News []Member
	// Digest is a hash of the alive members (see assigner.Digest).
	Digest uint64
	// Revision is that of the configuration in force.
	Revision uint64
	// Observed are the members that receive the node's heartbeats.
	Observed []Member
}

// UpdatesAt returns the changed members to gossip in one message. If there are more than
// MaxUpdatesPerMessage, it rotates through them with each heartbeat interval, so that all are sent.
func (v *MembershipView) UpdatesAt(now time.Time) []Member {
	count := len(v.News)
	if count <= MaxUpdatesPerMessage {
		return v.News
	}
	round := now.UnixNano() / int64(HeartbeatInterval)
	start := int(round * MaxUpdatesPerMessage % int64(count))
	updates := make([]Member, 0, MaxUpdatesPerMessage)
	for i := range MaxUpdatesPerMessage {
		updates = append(updates, v.News[(start+i)%count])
	}
	return updates
}
