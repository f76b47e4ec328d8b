package eelgrasspoint

import (
	"math"
	"net/netip"
	"sync/atomic"
	"time"
)

// BackendServer describes a backend server as it announced itself.
type BackendServer struct {
	Service     string
	Address     netip.AddrPort
	Incarnation uint64
	Slots       uint32
	Connections uint32
	Draining    bool
	// ID is the identifier that the backend server gives to this incarnation, empty if unknown. It is
	// not sent to other nodes.
	ID string
}

// Announcement is the registration or deregistration of a backend server at its local node.
type Announcement struct {
	// ID is the identifier that the backend server gives to this incarnation, empty if unknown.
	ID string
	// Incarnation rises with each start of the backend server; zero means unknown. For a backend server
	// with an ID, it is the start time in Unix milliseconds.
	Incarnation uint64
	// Sequence rises with each announcement of one incarnation; zero means unknown.
	Sequence uint64
	// Cold is the remaining time of the backend server's slow start.
	Cold time.Duration
	// Backend is nil for a deregistration.
	Backend *BackendServer
}

// Member is the membership entry of a node.
type Member struct {
	Name             string
	Region           string
	AvailabilityZone string
	PeerAddress      netip.AddrPort
	Incarnation      uint64
	Version          uint64
	Left             bool
	Failed           bool
	BackendServer    *BackendServer
	// Departures are the latest lifetimes of the backend server that left, oldest first. Other nodes keep them when a
	// newer entry replaces this one, since the next process of the node has to learn them.
	Departures []Departure
}

// Supersedes reports whether m is newer than other. Only the node itself raises its incarnation
// and version, and so refutes a failure; at the same version, failed supersedes alive.
func (m Member) Supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.Version != other.Version {
		return m.Version > other.Version
	}
	return m.Failed && !other.Failed
}

// Alive reports whether the member has neither left nor failed.
func (m Member) Alive() bool { return !m.Left && !m.Failed }

// Load is a load hint: the load of a backend server as seen by its exit node. What the backend server
// itself reports to that node is a ServerLoad, the load report.
type Load struct {
	InUse  uint32
	Limit  uint32
	Queued uint32
	// Expected is the expected service time of a request that starts now.
	Expected time.Duration
	// Slowness is the current service time as a multiple of the usual one, or zero if unknown.
	Slowness float64
	// Pause is the time until the backend server takes another request, by the limit that it names or in its slow
	// start, or zero if it takes one now.
	Pause time.Duration
}

// ServerStats holds one node's statistics of a backend server. It is safe for concurrent use.
type ServerStats struct {
	inFlight atomic.Int64
	// startTimes is the sum of the start times of the requests in flight, in startTimeUnit.
	startTimes atomic.Int64
	load       atomic.Pointer[timedLoad]
	// latency is the EWMA of the latency in nanoseconds. It is measured at this node, up to the response
	// headers, and includes the network and the wait for a slot.
	latency atomic.Int64
	// latencyAt, errorAt and ejectedUntil are times in Unix nanoseconds.
	latencyAt atomic.Int64
	// errorRate holds the bits of a float64.
	errorRate    atomic.Uint64
	errorAt      atomic.Int64
	ejectedUntil atomic.Int64
	// failures is the number of consecutive failures.
	failures atomic.Int64
}

type timedLoad struct {
	load Load
	at   time.Time
}

// Begin counts a request as in flight.
func (s *ServerStats) Begin(now time.Time) {
	s.startTimes.Add(now.UnixNano() / startTimeUnit)
	s.inFlight.Add(1)
}

// End counts a request as no longer in flight. The time must be the one passed to Begin.
func (s *ServerStats) End(startedAt time.Time) {
	s.inFlight.Add(-1)
	s.startTimes.Add(-startedAt.UnixNano() / startTimeUnit)
}

// MeanAge returns the mean age of the requests in flight. If answers stop coming, it grows before
// any latency is observed.
func (s *ServerStats) MeanAge(now time.Time) time.Duration {
	n := s.inFlight.Load()
	if n <= 0 {
		return 0
	}
	mean := now.UnixNano()/startTimeUnit - s.startTimes.Load()/n
	return max(0, time.Duration(mean*startTimeUnit))
}

// startTimeUnit, in nanoseconds, is coarse enough that the sum of many start times fits 64 bits.
const startTimeUnit = int64(time.Microsecond)

// InFlight returns the number of this node's own requests in flight.
func (s *ServerStats) InFlight() int64 { return s.inFlight.Load() }

// SetLoad stores a load hint received at the given time.
func (s *ServerStats) SetLoad(load Load, at time.Time) { s.load.Store(&timedLoad{load: load, at: at}) }

// Load returns the last load hint and when it was received; the time is zero if there is none.
func (s *ServerStats) Load() (Load, time.Time) {
	t := s.load.Load()
	if t == nil {
		return Load{}, time.Time{}
	}
	return t.load, t.at
}

// PauseLeft returns the time until the backend server takes another request, by its last load hint.
func (s *ServerStats) PauseLeft(now time.Time) time.Duration {
	load, at := s.Load()
	return max(load.Pause-now.Sub(at), 0)
}

// ObserveLatency adds a latency to the moving average.
func (s *ServerStats) ObserveLatency(latency time.Duration, now time.Time) {
	s.latencyAt.Store(now.UnixNano())
	for {
		old := s.latency.Load()
		next := int64(latency)
		if old != 0 {
			next = old + int64(ServerStatsSmoothing*float64(int64(latency)-old))
		}
		if s.latency.CompareAndSwap(old, next) {
			return
		}
	}
}

// Latency returns the moving average of the latency. Without observations it decays towards mean, that
// of the compared candidates, so that a server that was slow is tried again and a new one is not
// preferred.
func (s *ServerStats) Latency(now time.Time, mean time.Duration) time.Duration {
	latency := s.latency.Load()
	if latency == 0 {
		return mean
	}
	age := float64(max(0, now.UnixNano()-s.latencyAt.Load()))
	weight := math.Exp2(-age / float64(LatencyHalfLife))
	return mean + time.Duration(weight*float64(latency-int64(mean)))
}

// SmoothedLatency returns the moving average of the latency without decay, or zero if none was
// observed.
func (s *ServerStats) SmoothedLatency() time.Duration { return time.Duration(s.latency.Load()) }

// ObserveStatus adds an answer to the moving average of the error rate; failed means a server error.
func (s *ServerStats) ObserveStatus(failed bool, now time.Time) {
	s.errorAt.Store(now.UnixNano())
	value := 0.0
	if failed {
		value = 1
	}
	for {
		old := s.errorRate.Load()
		rate := math.Float64frombits(old)
		next := rate + ServerStatsSmoothing*(value-rate)
		if s.errorRate.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// ErrorRate returns the moving average of the error rate. Without observations it decays to zero.
func (s *ServerStats) ErrorRate(now time.Time) float64 {
	rate := math.Float64frombits(s.errorRate.Load())
	age := float64(now.UnixNano() - s.errorAt.Load())
	if rate == 0 || age <= 0 {
		return rate
	}
	return rate * math.Exp2(-age/float64(ErrorHalfLife))
}

// RecordFailure ejects the backend server for half of EjectionTime; the time doubles with each further
// consecutive failure, up to the fourth.
func (s *ServerStats) RecordFailure(now time.Time) {
	n := min(s.failures.Add(1), 4)
	s.ejectedUntil.Store(now.Add(EjectionTime << (n - 1) / 2).UnixNano())
}

// RecordSuccess resets the count of consecutive failures and ends the ejection.
func (s *ServerStats) RecordSuccess() {
	if s.failures.Load() == 0 {
		return
	}
	s.failures.Store(0)
	s.ejectedUntil.Store(0)
}

// Ejected reports whether the backend server is avoided because of recent failures.
func (s *ServerStats) Ejected(now time.Time) bool { return now.UnixNano() < s.ejectedUntil.Load() }

// Candidate is a backend server that can be chosen for a request.
type Candidate struct {
	Node             string
	Region           string
	AvailabilityZone string
	PeerAddress      netip.AddrPort
	Incarnation      uint64
	Slots            uint32
	// Gauge holds this node's statistics of the backend server.
	Gauge *ServerStats
}

// Snapshot is the control state that request handling uses. It is immutable except for the
// candidates' statistics.
type Snapshot struct {
	Self          Member
	Configuration *Configuration
	Router        Router
	Candidates    map[string][]*Candidate
	Draining      bool
	// Nodes is the number of alive nodes.
	Nodes int
}
