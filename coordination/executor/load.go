package executor

import (
	"time"

	"eelgrasspoint"
)

// timedLoad is what the backend server last said of its work.
type timedLoad struct {
	load eelgrasspoint.ServerLoad
	at   time.Time
}

// learnLoad keeps what the backend server said beside an answer.
func (e *Executor) learnLoad(remark eelgrasspoint.Remark) {
	if !remark.HasLoad {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load = timedLoad{load: remark.Load, at: e.options.Clock()}
}

// ServerLoad returns what the backend server last said of its work, and when; the time is zero
// if it said nothing.
func (e *Executor) ServerLoad() (eelgrasspoint.ServerLoad, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load.load, e.load.at
}
