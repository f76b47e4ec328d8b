package eelgrasspoint

// MembershipView is the state that gossip and heartbeats between nodes use. It is immutable.
type MembershipView struct {
	Self    Member
	Members []Member
	// News are the recently changed members, the updates to gossip.
	News []Member
	// Digest is a hash of the alive members (see assigner.Digest).
	Digest uint64
	// Revision is that of the configuration in force.
	Revision Revision
	// StateDigest is that of the configuration in force.
	StateDigest uint64
	// Observed are the members that receive the node's heartbeats.
	Observed []Member
}
