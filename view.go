package eelgrasspoint

import "time"

// MembershipView is what the exchange between nodes may know of the control state. It is immutable.
type MembershipView struct {
	Self     Member
	Members  []Member
	News     []Member
	Digest   uint64
	Revision uint64
	// Observed are the members that the node sends its heartbeats to.
	Observed []Member
}

// UpdatesAt returns the news for one message. If there is more than a message takes, the part
// moves on with each heartbeat, so that all of it goes out.
func (v *MembershipView) UpdatesAt(now time.Time) []Member {
	count := len(v.News)
	if count <= MaxUpdatesPerMessage {
		return v.News
	}
	beat := now.UnixNano() / int64(HeartbeatInterval)
	start := int(beat * MaxUpdatesPerMessage % int64(count))
	part := make([]Member, 0, MaxUpdatesPerMessage)
	for i := range MaxUpdatesPerMessage {
		part = append(part, v.News[(start+i)%count])
	}
	return part
}
