package executor

import (
	"fmt"
	"strconv"

	"eelgrasspoint"
)

// recordNotice stores what the backend server of an answer or a health check said about itself, and records a change.
// A notice of an earlier incarnation is ignored.
func (e *Executor) recordNotice(backend *eelgrasspoint.BackendServer, notice eelgrasspoint.ServerNotice, where string) {
	previous, current := e.replaceNotice(backend, notice)
	if !current || previous == notice {
		return
	}
	if notice.Invalid != "" && notice.Invalid != previous.Invalid {
		e.record(eelgrasspoint.EventBadInput, backend.Service, "ignored limit of backend server "+backend.Address.String()+": "+strconv.Quote(notice.Invalid))
	}
	if notice.Leaving && !previous.Leaving {
		e.record(eelgrasspoint.EventBackendLeaving, backend.Service, backend.Address.String()+", in "+where)
		if e.options.Leaving != nil {
			e.options.Leaving(*backend)
		}
	}
	switch {
	case notice.Limited && (!previous.Limited || notice.RateLimit != previous.RateLimit):
		e.record(eelgrasspoint.EventBackendLimited, backend.Service, fmt.Sprintf("%v: %v requests per second, in %s", backend.Address, notice.RateLimit, where))
	case !notice.Limited && previous.Limited:
		e.record(eelgrasspoint.EventBackendUnlimited, backend.Service, fmt.Sprintf("%v, in %s", backend.Address, where))
	}
}

// replaceNotice stores the notice, puts its limit in force and returns the notice before. It reports false for another backend server than the
// announced one.
func (e *Executor) replaceNotice(backend *eelgrasspoint.BackendServer, notice eelgrasspoint.ServerNotice) (previous eelgrasspoint.ServerNotice, current bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isCurrent(backend) {
		return eelgrasspoint.ServerNotice{}, false
	}
	previous, e.notice = e.notice, notice
	if notice.Limited {
		e.options.Admitter.SetRateLimit(notice.RateLimit)
	} else {
		e.options.Admitter.ClearRateLimit()
	}
	return previous, true
}

// isCurrent reports whether the backend server is the announced incarnation. The caller holds the lock.
func (e *Executor) isCurrent(backend *eelgrasspoint.BackendServer) bool {
	return e.backend != nil && e.backend.Incarnation == backend.Incarnation && e.backend.Address == backend.Address
}

// Notice returns what the backend server last said about itself.
func (e *Executor) Notice() eelgrasspoint.ServerNotice {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.notice
}
