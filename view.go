package eelgrasspoint

// View is what the exchange between nodes may know of the control state. It is immutable.
type View struct {
	Self     Member
	Members  []Member
	News     []Member
	Digest   uint64
	Revision uint64
	// Observed are the members that the node sends its heartbeats to.
	Observed []Member
	// Recent are the last changes, to be pushed to peers that may lack them.
	Recent []Change
	// History are the changes that lead up to the revision, as far as they are kept.
	History []Change
}
