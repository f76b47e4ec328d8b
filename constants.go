package eelgrasspoint

import "time"

// Header names of the contract with callers.
const (
	HeaderOutcome   = "Eelgrass-Outcome"
	HeaderClient    = "Eelgrass-Client"
	HeaderTimeout   = "Eelgrass-Timeout"
	HeaderRequestID = "Eelgrass-Request-Id"
	HeaderDepth     = "Eelgrass-Depth"
)

// Header names used between nodes only; they never reach a caller or a backend server.
const (
	HeaderReason      = "Eelgrass-Reason"
	HeaderLoad        = "Eelgrass-Load"
	HeaderRoute       = "Eelgrass-Route"
	HeaderPermitted   = "Eelgrass-Permitted"
	HeaderFingerprint = "Eelgrass-Fingerprint"
	HeaderAttempt     = "Eelgrass-Attempt"
	HeaderFrom        = "Eelgrass-From"
	HeaderInsists     = "Eelgrass-Insists"
	HeaderServedBy    = "Eelgrass-Served-By"
	HeaderCaller      = "Eelgrass-Caller"
	HeaderRevision    = "Eelgrass-Revision"
	HeaderService     = "Eelgrass-Service"
	HeaderWeight      = "Eelgrass-Weight"
	HeaderTarget      = "Eelgrass-Target"
)

// Size limits of requests and answers.
const (
	MaxHeaderBytes    = 64 << 10
	MaxRequestIDBytes = 128
	// MaxDepth is the number of nested calls at which a request is refused, which ends call loops.
	MaxDepth = 16
	// MaxReplayBytes is how much of one request's body is buffered for another attempt.
	MaxReplayBytes = 64 << 10
	// MaxReplayTotalBytes bounds the replay buffers of all requests of the process.
	MaxReplayTotalBytes = 8 << 20
	// MaxBodyBytesWithoutContinue is the longest body that is sent without Expect: 100-continue,
	// and so before the exit node admits the request.
	MaxBodyBytesWithoutContinue = 16 << 10
	// MaxPrefetchBytes bounds what is read of an answer before any of it is relayed, so that the
	// request can be sent elsewhere if the answer breaks off.
	MaxPrefetchBytes = 64 << 10
	RelayBufferBytes = 32 << 10
)

// Time limits of requests and pauses between them.
const (
	DefaultTimeLimit = 10 * time.Second
	MaxTimeLimit     = 10 * time.Minute
	// MinAttemptTime must be left before the deadline for another attempt to start.
	MinAttemptTime = 2 * time.Millisecond
	MinHedgeDelay  = 10 * time.Millisecond
	// DefaultRetryAfter and BusyRetryAfter are the pauses that refusals ask for; the latter is for
	// backend servers that are overloaded or slow.
	DefaultRetryAfter = 500 * time.Millisecond
	BusyRetryAfter    = 100 * time.Millisecond
	// EjectionTime is the base of the time for which a failing backend server is avoided: half of it
	// after one failure, up to four times it after four failures in a row.
	EjectionTime = time.Second
)

// Limits of the attempts of one request.
const (
	// DefaultMaxAttempts bounds the attempts that may have reached a backend server, on routes that
	// set no bound.
	DefaultMaxAttempts = 4
	// MaxTotalAttempts also counts the attempts that reached no backend server.
	MaxTotalAttempts = 6
	// MaxRedirects is the number of refusals for load after which a candidate is asked to queue the
	// request rather than to refuse it.
	MaxRedirects = 3
)

// Budgets of extra attempts: tokens earned per first attempt, and the most that are kept.
const (
	RetryBudgetRatio    = 0.08
	HedgeBudgetRatio    = 0.05
	RedirectBudgetRatio = 0.1
	AttemptBudgetBurst  = 10
)

// Capacity of a backend server that announces none.
const (
	DefaultSlots       = 16
	DefaultConnections = 256
)

// Adaptive concurrency limit of a backend server.
const (
	// ColdLimit is the limit at the start and after a refused connection, and the floor of repeated
	// decreases while runs in flight take too long.
	ColdLimit = 2
	MinLimit  = 1
	// LimitWindow is the shortest time over which runs are judged together, and between two decreases
	// while runs in flight take too long.
	LimitWindow = 50 * time.Millisecond
	// BaselineWindow is the age at which the baseline latency is replaced even by a higher one.
	BaselineWindow      = 30 * time.Second
	LimitIncreaseFactor = 1.5
	LimitDecreaseFactor = 0.7
	// LatencyTolerance is the multiple of the baseline above which latency counts as raised.
	LatencyTolerance = 2.0
	// InFlightLatencyTolerance is the same for runs that have not finished.
	InFlightLatencyTolerance = 4.0
	// RecoveredLatencyRatio is the most that latency may be after the limit was lowered, as a part of
	// the latency before, for load to be taken as the cause.
	RecoveredLatencyRatio = 0.85
	// TrialCooldown is the pause after a lower limit brought no lower latency.
	TrialCooldown = time.Second
	// MinFailures is the number of failed runs in a window that lowers the limit; one alone says
	// nothing.
	MinFailures = 2
	// MaxSuccessesPerFailure lowers the limit unless successes in a window are at least this many
	// times its failures.
	MaxSuccessesPerFailure = 10
)

// Detection of slow backend servers by the latency of their runs.
const (
	// SlowTolerance is the multiple of the typical latency above which a backend server is slow.
	SlowTolerance = 3.0
	// MinLatencyIncrease is the least increase that counts as slow; a smaller one can't be told from
	// the scheduling of the machine.
	MinLatencyIncrease = 5 * time.Millisecond
	// RecentLatencyTTL is how long after the last run the recent latency is relied upon.
	RecentLatencyTTL        = 300 * time.Millisecond
	RecentLatencySmoothing  = 0.5
	TypicalLatencySmoothing = 0.02
)

// Queueing at the exit node.
const (
	// TargetUtilization is the part of its slots that a backend server runs at full speed.
	TargetUtilization = 0.8
	MaxQueuedPerSlot  = 2
	// MinQueueCapacity is the capacity of the queue where MaxQueuedPerSlot gives less.
	MinQueueCapacity = 64
	// MaxQueueWaitRatio is the part of its target latency that a request may wait for a slot.
	MaxQueueWaitRatio = 0.15
	// DefaultMaxQueueWait applies to requests without a target latency.
	DefaultMaxQueueWait = 120 * time.Millisecond
	// MaxSlowWaitRatio is the part of its target latency that a request may wait for a slow server.
	MaxSlowWaitRatio = 0.65
)

// Quarantine of requests that crash backend servers.
const (
	QuarantineTime       = 10 * time.Minute
	MaxQuarantineRecords = 4096
	// CrashConfirmTimeout is how long after a lost connection a crash may be confirmed; connections
	// also break without one.
	CrashConfirmTimeout = 2 * time.Second
)

// Connections to backend servers and between nodes.
const (
	ConnectTimeout = 300 * time.Millisecond
	// BackendIdleTimeout is short because an idle connection may have gone silent, and a new one
	// costs about a millisecond.
	BackendIdleTimeout = 250 * time.Millisecond
	// PeerPingAfter is how long a connection between nodes receives nothing before it is pinged.
	PeerPingAfter      = 700 * time.Millisecond
	PeerPingTimeout    = 1000 * time.Millisecond
	ControlIdleTimeout = 5 * time.Second
	PeerIdleTimeout    = 90 * time.Second
	// PeerContinueTimeout is how long a request body waits for 100 Continue.
	PeerContinueTimeout = 10 * time.Second
	PeerWindowBytes     = 256 << 10
	MaxPeerStreams      = 1000
)

// Failure detection and gossip between nodes.
const (
	HeartbeatInterval = time.Second
	HeartbeatTimeout  = 800 * time.Millisecond
	// HeartbeatFailures is the number of failures in a row after which a member counts as failed.
	HeartbeatFailures = 2
	// ObservedPerNode is the number of heartbeat targets on the first ring of a region; one more is
	// on the second ring.
	ObservedPerNode = 1
	// BridgesPerRegion is the number of nodes of a region that send heartbeats to the other regions.
	BridgesPerRegion = 2
	// GossipRounds is the number of heartbeat intervals for which a change is gossiped.
	GossipRounds         = 4
	MaxUpdatesPerMessage = 32
	// DeadMemberTTL is how long a member that left or failed is remembered.
	DeadMemberTTL = 10 * time.Minute
	// MaxSnapshotAge is the age above which the process is taken to have been paused.
	MaxSnapshotAge = 3 * time.Second
	// StopNoticeTime is how long at least a stopping node takes requests while callers learn of it.
	StopNoticeTime = 500 * time.Millisecond
)

// Announcements of backend servers and rows of members in the table service.
const (
	AnnouncementTTL = 3 * time.Second
	// MemberRowInterval is the pause between two writes of a node's own row.
	MemberRowInterval = 5 * time.Minute
	// MemberScanDelay is the pause between joining and the second scan of the members' rows.
	MemberScanDelay = time.Minute
)

// Reads and changes of the configuration.
const (
	PollInterval = 20 * time.Second
	// ReadBackTimeout bounds finding out whether a change took effect after its answer was lost.
	ReadBackTimeout = 5 * time.Second
	StoreTimeout    = 2 * time.Second
	RolloutTimeout  = 2 * time.Second
)

// Choice among the candidates of a request.
const (
	// SampledCandidates are drawn at random and compared: with stale load hints, the best of all
	// would be the best for every node at once.
	SampledCandidates = 4
	LoadHintHalfLife  = 200 * time.Millisecond
	// SlownessThreshold is the slowness at which a backend server counts as slow.
	SlownessThreshold = 2.5
	SlowHintTTL       = 60 * time.Millisecond
	// EWMAWeight is the weight of a new value in the averages of latency and errors.
	EWMAWeight      = 0.2
	LatencyHalfLife = 500 * time.Millisecond
	ErrorHalfLife   = 2 * time.Second
	// ErrorPenalty multiplies the error rate; the expected latency grows by the product.
	ErrorPenalty       = 20.0
	OtherZonePenalty   = 2 * time.Millisecond
	OtherRegionPenalty = 40 * time.Millisecond
)

// Default budgets. That of the link is shared by the nodes of a region.
const (
	MeasuringBytesPerSecond = 3000
	LinkBytesPerSecond      = 3 << 20
)

// Limits of recorded events.
const (
	MaxRecordedEvents = 4096
	// MaxTimelineEvents bounds the events in one answer.
	MaxTimelineEvents = 1000
)

// Names of budgets that operators can set.
const (
	BudgetMeasuring = "Measuring"
	BudgetLink      = "Link"
)
