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

// Limits of one request.
const (
	MaxHeaderBytes      = 64 << 10
	MaxReplayBytes      = 64 << 10
	MaxReplayTotalBytes = 8 << 20
	// MaxBodyBytesWithoutContinue is the longest body that goes out before the exit node has admitted it.
	MaxBodyBytesWithoutContinue = 16 << 10
	MaxDepth                    = 16
	MaxRequestIDBytes           = 128
	DefaultMaxAttempts          = 4
	MaxTotalAttempts            = 6
	MaxRedirects                = 3
	MaxPrefetchBytes            = 64 << 10
	DefaultTimeLimit            = 10 * time.Second
	MaxTimeLimit                = 10 * time.Minute
	MinAttemptTime              = 2 * time.Millisecond
	MinHedgeDelay               = 10 * time.Millisecond
	DefaultRetryAfter           = 500 * time.Millisecond
	BusyRetryAfter              = 100 * time.Millisecond
	RelayBufferBytes            = 32 << 10
	RetryBudgetRatio            = 0.08
	HedgeBudgetRatio            = 0.05
	RedirectBudgetRatio         = 0.1
	AttemptBudgetBurst          = 10
	EjectionTime                = time.Second
)

// Admission at the exit node.
const (
	ColdLimit                = 2
	MinLimit                 = 1
	DefaultSlots             = 16
	DefaultConnections       = 256
	LimitWindow              = 50 * time.Millisecond
	BaselineWindow           = 30 * time.Second
	LatencyTolerance         = 2.0
	LimitDecreaseFactor      = 0.7
	InFlightLatencyTolerance = 4.0
	LimitIncreaseFactor      = 1.5
	RecoveredLatencyRatio    = 0.85
	SlowTolerance            = 3.0
	MinLatencyIncrease       = 5 * time.Millisecond
	RecentLatencyTTL         = 300 * time.Millisecond
	RecentLatencySmoothing   = 0.5
	TypicalLatencySmoothing  = 0.02
	TrialCooldown            = time.Second
	MinFailures              = 2
	MaxSuccessesPerFailure   = 10
	MaxQueuedPerSlot         = 2
	// TargetUtilization is the part of its slots that a backend server works in at full speed.
	TargetUtilization = 0.8
	// MaxQueueWaitRatio is the part of its target latency that a request may wait for a slot.
	MaxQueueWaitRatio = 0.15
	// MaxSlowWaitRatio is the part of its target latency that a request may wait for a slow server.
	MaxSlowWaitRatio     = 0.65
	DefaultMaxQueueWait  = 120 * time.Millisecond
	MinQueueCapacity     = 64
	QuarantineTime       = 10 * time.Minute
	CrashConfirmTimeout  = 2 * time.Second
	MaxQuarantineRecords = 4096
	ConnectTimeout       = 300 * time.Millisecond
	BackendIdleTimeout   = 250 * time.Millisecond
)

// Connections between nodes.
const (
	PeerPingAfter       = 700 * time.Millisecond
	PeerPingTimeout     = 1000 * time.Millisecond
	ControlIdleTimeout  = 5 * time.Second
	PeerIdleTimeout     = 90 * time.Second
	PeerContinueTimeout = 10 * time.Second
	PeerWindowBytes     = 256 << 10
	MaxPeerStreams      = 1000
)

// Membership between nodes.
const (
	HeartbeatInterval    = time.Second
	HeartbeatTimeout     = 800 * time.Millisecond
	HeartbeatFailures    = 2
	ObservedPerNode      = 1
	BridgesPerRegion     = 2
	GossipRounds         = 4
	MaxUpdatesPerMessage = 32
	DeadMemberTTL        = 10 * time.Minute
	AnnouncementTTL      = 3 * time.Second
	MemberRowInterval    = 5 * time.Minute
	MemberScanDelay      = time.Minute
	MaxSnapshotAge       = 3 * time.Second
	StopNoticeTime       = 500 * time.Millisecond
)

// Configuration.
const (
	PollInterval    = 20 * time.Second
	ReadBackTimeout = 5 * time.Second
	StoreTimeout    = 2 * time.Second
	RolloutTimeout  = 2 * time.Second
)

// Load hints and the cost of measuring.
const (
	LoadHintHalfLife        = 200 * time.Millisecond
	SlownessThreshold       = 2.5
	SlowHintTTL             = 60 * time.Millisecond
	EWMAWeight              = 0.2
	ErrorHalfLife           = 2 * time.Second
	ErrorPenalty            = 20.0
	SampledCandidates       = 4
	LatencyHalfLife         = 500 * time.Millisecond
	OtherZonePenalty        = 2 * time.Millisecond
	OtherRegionPenalty      = 40 * time.Millisecond
	MeasuringBytesPerSecond = 3000
	LinkBytesPerSecond      = 3 << 20
)

// Recorded events kept by one node.
const (
	MaxRecordedEvents = 4096
	MaxTimelineEvents = 1000
)

// Names of budgets that operators can set.
const (
	BudgetMeasuring = "Measuring"
	BudgetLink      = "Link"
)
