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

// Header names of the contract with backend servers, in their answers: see ServerNotice.
const (
	HeaderRateLimit = "Eelgrass-Rate-Limit"
	HeaderLeaving   = "Eelgrass-Leaving"
)

// Header names used between nodes only; they never reach a caller or a backend server.
const (
	HeaderReason      = "Eelgrass-Reason"
	HeaderLoad        = "Eelgrass-Load"
	HeaderRoute       = "Eelgrass-Route"
	HeaderPermitted   = "Eelgrass-Permitted"
	HeaderFingerprint = "Eelgrass-Fingerprint"
	// HeaderBodyOpen is set if RequestMetadata.BodyOpen is.
	HeaderBodyOpen = "Eelgrass-Body-Open"
	HeaderAttempt  = "Eelgrass-Attempt"
	// HeaderEntryRegion is the region of the entry node.
	HeaderEntryRegion = "Eelgrass-From"
	HeaderInsists     = "Eelgrass-Insists"
	// HeaderServedBy is the name of the exit node, set on answers.
	HeaderServedBy = "Eelgrass-Served-By"
	// HeaderCaller is RequestMetadata.Caller.
	HeaderCaller   = "Eelgrass-Caller"
	HeaderRevision = "Eelgrass-Revision"
	HeaderService  = "Eelgrass-Service"
	HeaderWeight   = "Eelgrass-Weight"
	// HeaderWithdraw is the age in milliseconds of the attempt that a withdrawal names, and the header of the answer that
	// proves that the attempt has not begun.
	HeaderWithdraw = "Eelgrass-Withdraw"
	// HeaderTargetLatency is RequestMetadata.TargetLatency.
	HeaderTargetLatency = "Eelgrass-Target"
)

// Size limits of requests and answers.
const (
	MaxHeaderBytes    = 64 << 10
	MaxRequestIDBytes = 128
	// MaxAnswerHeaderBytes bounds the head of an answer of a backend server or of the table service, with the
	// informational answers (1xx) before it.
	MaxAnswerHeaderBytes = 64 << 10
	// MaxPeerAnswerHeaderBytes bounds the headers of an answer from another node, each of which HTTP/2 counts
	// as 32 bytes longer than it is.
	MaxPeerAnswerHeaderBytes = 16 * MaxAnswerHeaderBytes
	// MaxExchangeAnswerBytes bounds the answer of a node to a call of the Exchange service, once it is decompressed.
	MaxExchangeAnswerBytes = 16 << 20
	// MaxDepth is the number of nested calls at which a request is refused, which ends call loops.
	MaxDepth = 16
	// MaxReplayBytes bounds the part of one request's body that is buffered for another attempt.
	MaxReplayBytes = 64 << 10
	// MaxReplayTotalBytes bounds the replay buffers of all requests of the process.
	MaxReplayTotalBytes = 8 << 20
	// MaxBodyBytesWithoutContinue is the longest body that is sent without Expect: 100-continue,
	// and so before the exit node admits the request.
	MaxBodyBytesWithoutContinue = 16 << 10
	// MaxPrefetchBytes bounds what is read of an answer before any of it is relayed, so that the
	// request can be sent elsewhere if the answer breaks off.
	MaxPrefetchBytes = 64 << 10
	// MaxPrefetchTotalBytes bounds the same for all answers of the process. Answers beyond it are relayed as
	// they arrive.
	MaxPrefetchTotalBytes = 8 << 20
	RelayBufferBytes      = 32 << 10
)

// Time limits of requests and pauses between them.
const (
	DefaultTimeLimit = 10 * time.Second
	MaxTimeLimit     = 10 * time.Minute
	// MinAttemptTime is the time that must remain until the deadline for another attempt to start.
	MinAttemptTime = 2 * time.Millisecond
	MinHedgeDelay  = 10 * time.Millisecond
	// DefaultRetryAfter and BusyRetryAfter are the Retry-After values of refusals. BusyRetryAfter
	// applies if the backend server is overloaded or slow, or rejected the request.
	DefaultRetryAfter = 500 * time.Millisecond
	BusyRetryAfter    = 100 * time.Millisecond
	// EjectionTime is how long a backend server is avoided after two failures in a row: half as long
	// after one, twice after three, four times after four or more.
	EjectionTime = time.Second
)

// Limits of the attempts of one request.
const (
	// DefaultMaxAttempts bounds the attempts that may have reached a backend server, on routes that
	// set no bound.
	DefaultMaxAttempts = 4
	// MaxTotalAttempts also counts the attempts that reached no backend server.
	MaxTotalAttempts = 6
	// MaxRedirects is the number of refusals because of load after which the request is sent with
	// Insists, so that the exit node queues it rather than refusing it.
	MaxRedirects = 3
)

// Budgets of extra attempts: tokens earned per first attempt, and the maximum number of tokens kept.
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
	// LimitWindow is the minimum duration of a window of runs, and the minimum time between two
	// decreases while runs in flight take too long.
	LimitWindow = 50 * time.Millisecond
	// BaselineWindow is the age at which the baseline latency is replaced even by a higher one.
	BaselineWindow      = 30 * time.Second
	LimitIncreaseFactor = 1.5
	LimitDecreaseFactor = 0.7
	// LatencyTolerance is the multiple of the baseline above which latency counts as raised.
	LatencyTolerance = 2.0
	// InFlightLatencyTolerance is the same for runs that have not finished.
	InFlightLatencyTolerance = 4.0
	// RecoveredLatencyRatio is a fraction of the latency before the limit was lowered. If latency falls
	// to it or below, load is taken as the cause.
	RecoveredLatencyRatio = 0.85
	// TrialCooldown is the pause before the next trial after one that did not lower latency.
	TrialCooldown = time.Second
	// MinFailures and MaxSuccessesPerFailure are the two conditions for lowering the limit because of
	// runs in a window that failed or were shed: at least MinFailures of them, since one alone shows
	// nothing, and fewer than MaxSuccessesPerFailure successful runs for each of them.
	MinFailures            = 2
	MaxSuccessesPerFailure = 10
)

// Detection of slow backend servers by the latency of their runs.
const (
	// SlowTolerance is the multiple of the typical latency above which a backend server counts as slow
	// if it does not report its load. See SlownessThreshold for one that does.
	SlowTolerance = 3.0
	// MinLatencyIncrease is the least increase of latency that counts; a smaller one may be due to CPU
	// scheduling.
	MinLatencyIncrease = 5 * time.Millisecond
	// RecentLatencyTTL is the time since the last successful run up to which the next run is expected to
	// take the recent latency. Later, it is expected to take the typical one.
	RecentLatencyTTL = 300 * time.Millisecond
	// RecentLatencySmoothing and TypicalLatencySmoothing are the weights of a new value in the two
	// EWMAs.
	RecentLatencySmoothing  = 0.5
	TypicalLatencySmoothing = 0.02
)

// Queueing at the exit node.
const (
	// TargetUtilization is the fraction of its slots up to which a backend server runs at full speed.
	TargetUtilization = 0.8
	MaxQueuedPerSlot  = 2
	// MinQueueCapacity is the capacity of the queue if MaxQueuedPerSlot results in less.
	MinQueueCapacity = 64
	// MaxQueueWaitRatio is the fraction of its target latency that a request may wait for a slot.
	MaxQueueWaitRatio = 0.15
	// DefaultMaxQueueWait applies to requests without a target latency.
	DefaultMaxQueueWait = 120 * time.Millisecond
	// MaxColdWaitRatio is the same while the backend server is in its slow start.
	MaxColdWaitRatio = 0.5
	// MaxSlowWaitRatio is the fraction of its target latency that a request may wait while the backend
	// server is slow.
	MaxSlowWaitRatio = 0.65
)

// Quarantine of requests that crash backend servers.
const (
	// QuarantineTime is how long a request stays suspect or quarantined after the last crash recorded
	// for it.
	QuarantineTime = 10 * time.Minute
	// MaxQuarantineRecords bounds the suspect and quarantined requests, and each of two generations of
	// requests that succeeded.
	MaxQuarantineRecords = 4096
	// MaxHeldBodyBytes bounds a body that is read whole before its request runs, since a request with the same head was in
	// flight at a crash. MaxHeldTotalBytes bounds those of all requests of the process.
	MaxHeldBodyBytes  = 1 << 20
	MaxHeldTotalBytes = 8 << 20
	// CrashConfirmTimeout is how long a suspected crash waits for confirmation after a lost connection.
	// Then it is dropped, since connections also break without a crash.
	CrashConfirmTimeout = 2 * time.Second
)

// Connections to backend servers and between nodes.
const (
	ConnectTimeout = 300 * time.Millisecond
	// ExchangeConnectTimeout bounds an attempt to connect for the Exchange service. Each call has a bound of its
	// own; a connection to a node behind a full link can take longer than ConnectTimeout.
	ExchangeConnectTimeout = 2 * time.Second
	// BackendSilenceLimit is how long a backend server's machine, which is also the node's, leaves sent data
	// unacknowledged before the connection is closed.
	BackendSilenceLimit = 500 * time.Millisecond
	// BackendIdleTimeout is short because an idle connection may be dead without having been closed,
	// and a new one costs about a millisecond.
	BackendIdleTimeout = 250 * time.Millisecond
	// PeerCheckAfter is how long a connection between nodes with attempts receives nothing at most before a check is sent
	// on it. Without anything for another PeerSuspectAfter at most, new attempts use a new connection; after
	// PeerSilentAfter in all, the attempts that can be repeated do.
	PeerCheckAfter   = 150 * time.Millisecond
	PeerSuspectAfter = 200 * time.Millisecond
	PeerSilentAfter  = 1700 * time.Millisecond
	// PeerProbeTimeout bounds a check of a connection, a probe of an exit node and a withdrawal of an attempt.
	PeerProbeTimeout = time.Second
	// PeerSilenceLimit is how long a connection between nodes receives nothing before it is closed with the
	// attempts that can't be repeated. The bytes of the large bodies of several requests need seconds on a slow
	// link.
	PeerSilenceLimit = 4 * time.Second
	// ExchangeIdleTimeout is the idle timeout of the connections for the Exchange service (heartbeats,
	// gossip and operators' requests), PeerIdleTimeout that of the connections for attempts.
	ExchangeIdleTimeout = 5 * time.Second
	PeerIdleTimeout     = 90 * time.Second
	// PeerContinueTimeout is how long a node waits for 100 Continue from another before it sends the
	// body anyway.
	PeerContinueTimeout = 10 * time.Second
	// PeerWindowBytes is the HTTP/2 flow-control window of one stream.
	PeerWindowBytes = 256 << 10
	MaxPeerStreams  = 1000
)

// Failure detection and gossip between nodes.
const (
	HeartbeatInterval = time.Second
	HeartbeatTimeout  = 800 * time.Millisecond
	// ExchangeResendAfter is how long a call to another node has no response before it is sent again on a new
	// connection: early enough that a heartbeat is still answered in time.
	ExchangeResendAfter = HeartbeatTimeout / 2
	// ConfigurationTimeout bounds the fetch of a configuration from another node.
	ConfigurationTimeout = 3 * time.Second
	// HeartbeatFailures is the number of failures in a row after which a member counts as failed.
	HeartbeatFailures = 2
	// FirstRingTargets is the number of heartbeat targets on the first of the two rings of a region's
	// nodes (see package assigner); one more is on the second ring.
	FirstRingTargets = 1
	// BridgesPerRegion is the number of nodes of a region that send heartbeats to the other regions.
	BridgesPerRegion = 2
	// GossipRounds is the number of heartbeat intervals for which a change is gossiped.
	GossipRounds         = 4
	MaxUpdatesPerMessage = 32
	// DeadMemberTTL is how long a member that left or failed stays in the membership.
	DeadMemberTTL = 10 * time.Minute
	// MaxSnapshotAge is the age of the snapshot above which the process is taken to have been paused
	// and the snapshot to be stale.
	MaxSnapshotAge = 3 * time.Second
	// StopNoticeTime is the minimum time for which a stopping node still accepts requests, so that
	// callers can learn that it stops.
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
	// PollInterval is the pause between two reads of the published configuration.
	PollInterval = 20 * time.Second
	// CommitRetryTimeout bounds the repetitions of a configuration change whose response was lost; they
	// show whether the change took effect.
	CommitRetryTimeout = 5 * time.Second
	// ChangesCallInterval is the time in which one node of each region begins a new call for changes, and MaxChangesWait the
	// longest that a call waits.
	ChangesCallInterval = time.Second
	MaxChangesWait      = 25 * time.Second
	// StoreSilenceLimit is how long a connection to the table service acknowledges nothing before it is closed. It
	// leaves half a second of the shortest time in which a change must be in force everywhere.
	StoreSilenceLimit = 2 * time.Second
	// StoreTimeout bounds one call to the table service.
	StoreTimeout = 2 * time.Second
	// OperatorCallTimeout bounds each call to another node that is made to answer an operator's request,
	// such as one for the revision in force on every node.
	OperatorCallTimeout = 2 * time.Second
)

// Choice among the candidates of a request.
const (
	// SampledCandidates is the number of candidates that are drawn at random and compared. If all were
	// compared, stale load hints would make every node choose the same one.
	SampledCandidates = 4
	LoadHintHalfLife  = 200 * time.Millisecond
	// SlownessThreshold is the reported slowness from which a backend server counts as slow. See
	// SlowTolerance for one that does not report its load.
	SlownessThreshold = 2.5
	// SlowHintTTL is the age of a load hint from which its slowness no longer marks the backend server
	// as slow.
	SlowHintTTL = 60 * time.Millisecond
	// ServerStatsSmoothing is the weight of a new value in the EWMAs of latency and errors in ServerStats.
	ServerStatsSmoothing = 0.2
	LatencyHalfLife      = 500 * time.Millisecond
	ErrorHalfLife        = 2 * time.Second
	// ErrorPenalty is the weight of the error rate: the expected latency is multiplied by
	// 1 + ErrorPenalty * error rate.
	ErrorPenalty       = 20.0
	OtherZonePenalty   = 2 * time.Millisecond
	OtherRegionPenalty = 40 * time.Millisecond
)

// Defaults of BudgetMeasuring and BudgetLink.
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
	// BudgetMeasuring bounds the load hints that each node sends with answers to other regions.
	BudgetMeasuring = "Measuring"
	// BudgetLink bounds the requests sent to other regions and their answers, for all nodes of a region
	// together.
	BudgetLink = "Link"
)
