package detector_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/coordination/detector"
)

const usual = 100 * time.Millisecond

var (
	safe   = &eelgrasspoint.RequestMetadata{Route: "r", Idempotent: true}
	unsafe = &eelgrasspoint.RequestMetadata{Route: "r"}
	last   = &eelgrasspoint.RequestMetadata{Route: "r", Insists: true}
)

// server is a backend server in virtual time with the detector of its node. hangs and slowness tell what the next run does.
type server struct {
	detector *detector.Detector
	now      time.Time
	hangs    bool
	slowness float64
	// pending are the events to come.
	pending []event
	// answered and lost count the runs that ended.
	answered, lost int
}

type event struct {
	at     time.Time
	happen func()
}

// newServer returns a server whose usual duration is known.
func newServer() *server {
	s := &server{detector: detector.New(), now: time.Unix(1_700_000_000, 0), slowness: 1}
	for range 10 {
		s.run(safe)
		s.advance(usual)
	}
	return s
}

// advance lets the time pass and the events that are due happen.
func (s *server) advance(d time.Duration) {
	end := s.now.Add(d)
	for {
		slices.SortStableFunc(s.pending, func(a, b event) int { return a.at.Compare(b.at) })
		if len(s.pending) == 0 || s.pending[0].at.After(end) {
			s.now = end
			return
		}
		next := s.pending[0]
		s.pending = s.pending[1:]
		s.now = next.at
		next.happen()
	}
}

func (s *server) after(d time.Duration, happen func()) {
	s.pending = append(s.pending, event{s.now.Add(d), happen})
}

// run begins a run of a request. One that hangs is given up after a second.
func (s *server) run(meta *eelgrasspoint.RequestMetadata) {
	run, patience := s.detector.Begin(meta, 1, s.now)
	if patience > 0 {
		s.after(patience, func() { s.detector.Overdue(run, s.now) })
	}
	if s.hangs {
		s.after(time.Second, func() {
			s.detector.Abandoned(run, s.now)
			if !meta.Idempotent {
				s.lost++
			}
		})
		return
	}
	duration := time.Duration(s.slowness * float64(usual))
	s.after(duration, func() {
		s.detector.Answered(run, duration, s.now)
		s.answered++
	})
}

// send runs the request unless the detector refuses it, and lets the time to the next request pass.
func (s *server) send(meta *eelgrasspoint.RequestMetadata) (refused bool) {
	defer s.advance(20 * time.Millisecond)
	if s.detector.Refuses(meta, s.now) {
		return true
	}
	s.run(meta)
	return false
}

// TestHangingServerLosesFewRequests plays 6 s in which a server hangs for nearly every second request. Those that can't be
// repeated must go elsewhere once it shows, and come back soon after it ends.
func TestHangingServerLosesFewRequests(t *testing.T) {
	s := newServer()
	refused := 0
	for n := range 300 {
		s.hangs = n%9%2 == 1
		meta := unsafe
		if n%2 == 0 {
			meta = safe
		}
		if s.send(meta) {
			refused++
		}
	}
	assert.Assert(t, s.detector.Hanging())
	// Without the detector, 66 are lost.
	assert.Assert(t, s.lost <= 12, "%d requests that can't be repeated were lost", s.lost)
	assert.Assert(t, refused > 150, "%d requests went elsewhere", refused)
	s.hangs = false
	endedAt := s.now
	for s.detector.Hanging() {
		s.send(safe)
	}
	assert.Assert(t, s.now.Sub(endedAt) < 3*time.Second, "%v", s.now.Sub(endedAt))
}

// TestSlowServerDoesNotHang guards against a server that is left out for as long as it is slow: its late answers show that
// it works.
func TestSlowServerDoesNotHang(t *testing.T) {
	s := newServer()
	s.slowness = 6
	s.answered = 0
	for range 500 {
		s.send(unsafe)
	}
	assert.Assert(t, !s.detector.Hanging())
	assert.Assert(t, s.answered > 250, "%d", s.answered)
}

// TestRequestWithoutOtherChoiceIsNeverRefused guards against a service of which all servers are refused.
func TestRequestWithoutOtherChoiceIsNeverRefused(t *testing.T) {
	s := newServer()
	s.hangs = true
	for range 4 {
		s.run(safe)
	}
	s.advance(time.Second)
	assert.Assert(t, s.detector.Hanging())
	s.send(last)
	assert.Assert(t, s.detector.Refuses(unsafe, s.now))
	assert.Assert(t, !s.detector.Refuses(last, s.now))
	pause := s.detector.Pause(s.now)
	assert.Assert(t, pause > 0 && pause <= 100*time.Millisecond, "%v", pause)
}

// TestFewOverdueRunsProveNothing guards against a server that is left out because of single requests that take long, and
// against runs that ended early for another reason.
func TestFewOverdueRunsProveNothing(t *testing.T) {
	s := newServer()
	for range 2 {
		s.hangs = true
		s.send(safe)
		s.hangs = false
		s.send(safe)
	}
	s.advance(time.Second)
	assert.Assert(t, !s.detector.Hanging())
	for range 20 {
		run, _ := s.detector.Begin(safe, 1, s.now)
		s.advance(usual)
		s.detector.Abandoned(run, s.now)
	}
	assert.Assert(t, !s.detector.Hanging())
}

// TestGivenUpRunsCount guards against a server whose hanging never shows, since entry nodes hedge and cancel.
func TestGivenUpRunsCount(t *testing.T) {
	s := newServer()
	for range 4 {
		run, patience := s.detector.Begin(safe, 1, s.now)
		s.advance(patience * 3 / 4)
		s.detector.Abandoned(run, s.now)
	}
	assert.Assert(t, s.detector.Hanging())
	s.detector.Reset()
	assert.Assert(t, !s.detector.Hanging())
}
