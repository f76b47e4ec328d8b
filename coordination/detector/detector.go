// Package detector decides from the runs of a backend server whether it hangs: whether it accepts requests that it
// never answers.
package detector

import (
	"slices"
	"sync"
	"time"

	"eelgrasspoint"
)

const (
	// patienceFactor is the multiple of the usual duration after which a run without an answer is overdue.
	patienceFactor = 4.0
	// abandonedShare is the part of that time after which a run that its entry node gave up counts as overdue, too:
	// entry nodes hedge requests that take longer than usual.
	abandonedShare = 0.6
	// unknownSlowness is the slowness that a run is taken to have if it is not known.
	unknownSlowness = 5.0
	// minPatience bounds that time below: shorter runs may be late because of the machine.
	minPatience = 150 * time.Millisecond
	// minDurations is the number of answered runs of a route from which its usual duration is known.
	minDurations = 5
	// durationSmoothing is the weight of a new value in the usual duration.
	durationSmoothing = 0.1
	// maxRoutes bounds the routes whose usual duration is kept.
	maxRoutes = 256
)

const (
	// recentTime and recentRuns bound the runs that the decision takes into account.
	recentTime = 3 * time.Second
	recentRuns = 16
	// minOverdue and minOverdueShare are the overdue runs, and their share of the recent ones, from which a server
	// is taken to hang. A single one may be the request's fault.
	minOverdue      = 3
	minOverdueShare = 0.25
	// trialInterval is the pause between two trials of a server that hangs, and lastResortInterval the time without
	// one after which a request that can't be repeated is a trial, too.
	trialInterval      = 100 * time.Millisecond
	lastResortInterval = time.Second
	// trialsToRecover is the number of trials answered in a row after which a server no longer counts as hanging.
	trialsToRecover = 8
)

// Detector decides for one backend server. It is made for servers that hang for a part of their requests or for all, while
// their health checks pass, so that requests which can't be repeated go elsewhere before they are lost. It is safe for
// concurrent use.
type Detector struct {
	mu        sync.Mutex
	durations map[string]*usualDuration
	// recent are the latest runs that were answered or overdue, in order.
	recent  []*Run
	hanging bool
	// trialAt is the start of the last trial; inTrial is set while one runs.
	trialAt time.Time
	inTrial bool
	// answeredTrials counts the trials answered in a row.
	answeredTrials int
}

// usualDuration is the moving average of the durations of the answered runs of a route, divided by their slowness.
type usualDuration struct {
	value time.Duration
	count int
}

// Run is one run, from Begin to Answered or Abandoned. Its fields belong to the detector.
type Run struct {
	route          string
	slowness       float64
	trial, overdue bool
	ended          bool
	startedAt      time.Time
	// patience is zero if it is not known.
	patience time.Duration
	// at is when the run was answered or overdue.
	at time.Time
}

// New returns a detector of a backend server that does not hang.
func New() *Detector { return &Detector{durations: make(map[string]*usualDuration)} }

// Reset forgets everything but the usual durations, for a new incarnation of the backend server.
func (d *Detector) Reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recent, d.hanging, d.inTrial, d.answeredTrials = nil, false, false, 0
}

// Hanging reports whether the backend server is taken to hang.
func (d *Detector) Hanging() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hanging
}

// Refuses reports whether a request should go to another backend server. Of a server that hangs, it lets single requests
// through as trials, those that can be repeated first. A request that has no other choice is never refused.
func (d *Detector) Refuses(meta *eelgrasspoint.RequestMetadata, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.hanging || meta.Insists {
		return false
	}
	interval := lastResortInterval
	if meta.Idempotent {
		interval = trialInterval
	}
	if d.inTrial || now.Sub(d.trialAt) < interval {
		return true
	}
	// The run begins later, so that others must not take its place meanwhile.
	d.trialAt = now
	return false
}

// Pause returns the time until a server that hangs gets the next trial, or zero.
func (d *Detector) Pause(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.hanging {
		return 0
	}
	return max(d.trialAt.Add(trialInterval).Sub(now), 0)
}

// Begin registers a run that starts now. Its patience is the time without an answer after which Overdue is to be
// called, or zero if the usual duration is not known yet. slowness is the multiple of the usual duration that the run
// is expected to take, or zero if that is not known.
func (d *Detector) Begin(meta *eelgrasspoint.RequestMetadata, slowness float64, now time.Time) (run *Run, patience time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	run = &Run{route: meta.Route, slowness: slowness, trial: d.hanging, startedAt: now}
	if d.hanging {
		d.trialAt, d.inTrial = now, true
	}
	usual := d.durations[meta.Route]
	if usual == nil || usual.count < minDurations {
		return run, 0
	}
	if slowness == 0 {
		slowness = unknownSlowness
	}
	run.patience = max(minPatience, time.Duration(patienceFactor*max(slowness, 1)*float64(usual.value)))
	return run, run.patience
}

// Overdue notes that a run has no answer for its patience, and reports whether the server is taken to hang from now on.
func (d *Detector) Overdue(run *Run, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !run.ended && d.noteOverdue(run, now)
}

// noteOverdue is Overdue for a run that may have ended. The caller holds the lock.
func (d *Detector) noteOverdue(run *Run, now time.Time) bool {
	if run.overdue {
		return false
	}
	run.overdue = true
	if run.trial {
		d.inTrial, d.answeredTrials = false, 0
	}
	d.note(run, now)
	if d.hanging || !d.tooManyOverdue() {
		return false
	}
	d.hanging, d.answeredTrials, d.trialAt = true, 0, now
	return true
}

// Answered notes the answer of a run, which may come after Overdue, and reports whether the server no longer counts as
// hanging from now on. A slow server answers late, but does not hang.
func (d *Detector) Answered(run *Run, duration time.Duration, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if run.ended {
		return false
	}
	run.ended = true
	d.observe(run.route, time.Duration(float64(duration)/max(run.slowness, 1)))
	if run.trial {
		d.inTrial = false
		d.answeredTrials++
	}
	late := run.overdue
	if late {
		run.overdue = false
	} else {
		d.note(run, now)
	}
	// Late answers show that the runs that seemed to hang were slow.
	recovered := d.answeredTrials >= trialsToRecover || late && !d.tooManyOverdue()
	if !d.hanging || !recovered {
		return false
	}
	d.hanging, d.recent = false, nil
	return true
}

// Abandoned notes that a run ended without an answer, and reports whether the server is taken to hang from now on. The
// run counts as overdue if it took much longer than usual.
func (d *Detector) Abandoned(run *Run, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if run.ended {
		return false
	}
	run.ended = true
	if run.patience > 0 && float64(now.Sub(run.startedAt)) >= abandonedShare*float64(run.patience) {
		return d.noteOverdue(run, now)
	}
	if run.trial {
		d.inTrial = false
	}
	return false
}

// UsualDuration returns the duration of the route's runs at the server's usual speed, or zero if it is not known yet.
func (d *Detector) UsualDuration(route string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	usual := d.durations[route]
	if usual == nil || usual.count < minDurations {
		return 0
	}
	return usual.value
}

// note adds a run to the recent ones.
func (d *Detector) note(run *Run, now time.Time) {
	run.at = now
	d.recent = append(d.recent, run)
	d.recent = slices.DeleteFunc(d.recent, func(r *Run) bool { return now.Sub(r.at) > recentTime })
	d.recent = d.recent[max(0, len(d.recent)-recentRuns):]
}

func (d *Detector) tooManyOverdue() bool {
	overdue := 0
	for _, run := range d.recent {
		if run.overdue {
			overdue++
		}
	}
	return overdue >= minOverdue && float64(overdue) >= minOverdueShare*float64(len(d.recent))
}

func (d *Detector) observe(route string, duration time.Duration) {
	usual := d.durations[route]
	if usual == nil {
		if len(d.durations) >= maxRoutes {
			return
		}
		usual = &usualDuration{value: duration}
		d.durations[route] = usual
	}
	usual.count++
	usual.value += time.Duration(max(durationSmoothing, 1/float64(usual.count)) * float64(duration-usual.value))
}
