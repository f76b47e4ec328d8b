package eelgrasspoint

import "time"

// View is what the exchange between nodes may know of the control state. It is immutable.
type View struct {
	Self     Member
	Members  []Member
	News     []Member
	Digest   uint64
	Revision uint64
	// Observed are the members that the node sends its heartbeats to.
	Observed []Member
}

// NewsAt returns the news for one message. If there is more than a message takes, the part
// moves on with each heartbeat, so that all of it goes out.
func (v *View) NewsAt(now time.Time) []Member {
	count := len(v.News)
	if count <= MaxNewsPerMessage {
		return v.News
	}
	beat := now.UnixNano() / int64(HeartbeatInterval)
	start := int(beat * MaxNewsPerMessage % int64(count))
	part := make([]Member, 0, MaxNewsPerMessage)
	for i := range MaxNewsPerMessage {
		part = append(part, v.News[(start+i)%count])
	}
	return part
}
