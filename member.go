package eelgrasspoint

import (
	"math"
	"net/netip"
	"sync/atomic"
	"time"
)

// BackendServer is what a backend server announced of itself.
type BackendServer struct {
	Service     string
	Address     netip.AddrPort
	Incarnation uint64
	Slots       uint32
	Connections uint32
	Draining    bool
	// ID is the name by which the backend server knows itself. It is not told to other nodes.
	ID string
}

// Announcement is what a backend server said of itself to the node beside it.
type Announcement struct {
	// ID is the name of the backend server's lifetime, or empty.
	ID string
	// Incarnation rises with each lifetime; zero if it was not said. That of a backend server with
	// an ID is when it started, in milliseconds since 1970.
	Incarnation uint64
	// Sequence rises with each announcement of one lifetime; zero if it was not said.
	Sequence uint64
	// Cold is how long the backend server will go on being cold.
	Cold time.Duration
	// Backend is nil if the backend server leaves.
	Backend *BackendServer
}

// Member is a node as the others know it.
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
}

// Supersedes reports whether m is newer than other. Only the node itself raises its
// incarnation and version; a claim of failure wins over life at the same version.
func (m Member) Supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.Version != other.Version {
		return m.Version > other.Version
	}
	return m.Failed && !other.Failed
}

// Alive reports whether the member neither left nor failed.
func (m Member) Alive() bool { return !m.Left && !m.Failed }

// Load is an exit node's own count of its backend server's work.
type Load struct {
	InUse  uint32
	Limit  uint32
	Queued uint32
	// Expected is how long a run takes at present.
	Expected time.Duration
	// Slowness is how many times as long as usual work takes at present, or zero if unknown.
	Slowness float64
}

// ServerStats is what one node knows of a backend server's load. It is safe for concurrent use.
type ServerStats struct {
	inFlight     atomic.Int64
	begun        atomic.Int64
	load         atomic.Pointer[timedLoad]
	latency      atomic.Int64
	latencyAt    atomic.Int64
	errorShare   atomic.Uint64
	errorAt      atomic.Int64
	suspectUntil atomic.Int64
	failures     atomic.Int64
}

type timedLoad struct {
	load Load
	at   time.Time
}

// Begin counts one request on its way.
func (g *ServerStats) Begin(now time.Time) {
	g.begun.Add(now.UnixNano() / gaugeClockUnit)
	g.inFlight.Add(1)
}

// End counts one request done that began at the time.
func (g *ServerStats) End(began time.Time) {
	g.inFlight.Add(-1)
	g.begun.Add(-began.UnixNano() / gaugeClockUnit)
}

// MeanAge returns how long the requests on their way have been so on average. Where answers stop
// coming, it grows before any latency is observed.
func (g *ServerStats) MeanAge(now time.Time) time.Duration {
	n := g.inFlight.Load()
	if n <= 0 {
		return 0
	}
	mean := now.UnixNano()/gaugeClockUnit - g.begun.Load()/n
	return max(0, time.Duration(mean*gaugeClockUnit))
}

// gaugeClockUnit keeps the sum of many start times within 64 bits, in nanoseconds.
const gaugeClockUnit = int64(time.Microsecond)

// InFlight returns this node's own count of requests on their way.
func (g *ServerStats) InFlight() int64 { return g.inFlight.Load() }

// SetLoad keeps a hint.
func (g *ServerStats) SetLoad(load Load, at time.Time) { g.load.Store(&timedLoad{load: load, at: at}) }

// Load returns the last hint and when it came; the time is zero if none did.
func (g *ServerStats) Load() (Load, time.Time) {
	t := g.load.Load()
	if t == nil {
		return Load{}, time.Time{}
	}
	return t.load, t.at
}

// ObserveLatency smooths a latency into the gauge.
func (g *ServerStats) ObserveLatency(latency time.Duration, now time.Time) {
	g.latencyAt.Store(now.UnixNano())
	for {
		old := g.latency.Load()
		next := int64(latency)
		if old != 0 {
			next = old + int64(EWMAWeight*float64(int64(latency)-old))
		}
		if g.latency.CompareAndSwap(old, next) {
			return
		}
	}
}

// Latency returns the smoothed latency. While nothing is observed it fades towards what is
// usual for the others, so that a backend server that was slow is tried again and one that
// is new is no better than they are.
func (g *ServerStats) Latency(now time.Time, usual time.Duration) time.Duration {
	latency := g.latency.Load()
	if latency == 0 {
		return usual
	}
	age := float64(max(0, now.UnixNano()-g.latencyAt.Load()))
	kept := math.Exp2(-age / float64(LatencyHalfLife))
	return usual + time.Duration(kept*float64(latency-int64(usual)))
}

// SmoothedLatency returns the last smoothed latency, or zero if none was observed.
func (g *ServerStats) SmoothedLatency() time.Duration { return time.Duration(g.latency.Load()) }

// ObserveStatus smooths whether an answer was an error of the backend server into the gauge.
func (g *ServerStats) ObserveStatus(failed bool, now time.Time) {
	g.errorAt.Store(now.UnixNano())
	share := 0.0
	if failed {
		share = 1
	}
	for {
		old := g.errorShare.Load()
		was := math.Float64frombits(old)
		next := was + EWMAWeight*(share-was)
		if g.errorShare.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// ErrorRate returns the smoothed share of errors among the answers. It fades like Latency.
func (g *ServerStats) ErrorRate(now time.Time) float64 {
	share := math.Float64frombits(g.errorShare.Load())
	age := float64(now.UnixNano() - g.errorAt.Load())
	if share == 0 || age <= 0 {
		return share
	}
	return share * math.Exp2(-age/float64(ErrorHalfLife))
}

// RecordFailure keeps the backend server back for a time that doubles with each failure in a row.
func (g *ServerStats) RecordFailure(now time.Time) {
	n := min(g.failures.Add(1), 4)
	g.suspectUntil.Store(now.Add(EjectionTime << (n - 1) / 2).UnixNano())
}

// RecordSuccess ends a row of failures.
func (g *ServerStats) RecordSuccess() {
	if g.failures.Load() == 0 {
		return
	}
	g.failures.Store(0)
	g.suspectUntil.Store(0)
}

// Ejected reports whether the backend server is held back.
func (g *ServerStats) Ejected(now time.Time) bool { return now.UnixNano() < g.suspectUntil.Load() }

// Candidate is a backend server that a request may be sent to.
type Candidate struct {
	Node             string
	Region           string
	AvailabilityZone string
	PeerAddress      netip.AddrPort
	Incarnation      uint64
	Slots            uint32
	Gauge            *ServerStats
}

// Snapshot is everything that the traffic goroutines may know of the control state.
// It is immutable but for the gauges.
type Snapshot struct {
	Self          Member
	Configuration *Configuration
	Router        Router
	Candidates    map[string][]*Candidate
	Draining      bool
	// Nodes is the number of nodes that are known to be alive.
	Nodes int
}
