package eelgrasspoint

import "context"

// Source is where the configuration in force is published. It is used by one goroutine.
type Source interface {
	// Next returns the present configuration when first called, and later waits for one that
	// differs. It may return the last one again when a wait ends. Errors are *UnavailableError,
	// after which the call may be repeated, and *InvalidError, which leaves the last valid
	// configuration in force.
	Next(ctx context.Context) (Configuration, error)
}
