package eelgrasspoint

import "context"

// Source provides the published configuration. It is not safe for concurrent use.
type Source interface {
	// Next returns the current configuration on the first call; later calls wait for a change, but may
	// return the same configuration again when the wait times out. After an *UnavailableError the
	// call can be repeated; after an *InvalidError the last valid configuration stays in force, after an
	// *UnreadError the returned one is to be put in force.
	Next(ctx context.Context) (Configuration, error)
}
