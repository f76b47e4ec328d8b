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
	// MaxUnaskedBytes is the longest body that goes out before the exit node has admitted it.
	MaxUnaskedBytes      = 16 << 10
	MaxDepth             = 16
	MaxRequestIDBytes    = 128
	MaxAttempts          = 4
	MaxTries             = 6
	MaxRedirects         = 3
	MaxPrefetchBytes     = 64 << 10
	DefaultTimeLimit     = 10 * time.Second
	MaxTimeLimit         = 10 * time.Minute
	MinAttemptTime       = 2 * time.Millisecond
	HedgeDelayFloor      = 10 * time.Millisecond
	RefusalRetryAfter    = 500 * time.Millisecond
	BusyRetryAfter       = 100 * time.Millisecond
	RelayBufferBytes     = 32 << 10
	RetryShare           = 0.08
	HedgeShare           = 0.05
	RedirectShare        = 0.1
	RetryBurst           = 10
	ServerFailurePenalty = time.Second
)

// Admission at the exit node.
const (
	ColdLimit          = 2
	MinLimit           = 1
	DefaultSlots       = 16
	DefaultConnections = 256
	LimitWindow        = 50 * time.Millisecond
	BaselineWindow     = 30 * time.Second
	LatencyTolerance   = 2.0
	ShrinkFactor       = 0.7
	StallTolerance     = 4.0
	GrowFactor         = 1.5
	CureShare          = 0.85
	SlowTolerance      = 3.0
	SlowFloor          = 5 * time.Millisecond
	SlowEvidenceTime   = 300 * time.Millisecond
	RecentSmoothing    = 0.5
	TypicalSmoothing   = 0.02
	CalmTime           = time.Second
	MinFailures        = 2
	FailureShare       = 10
	MaxQueueShare      = 2
	// FastShare is the part of its slots that a backend server works in at full speed.
	FastShare = 0.8
	// QueueShare is the part of its target latency that a request may wait for a slot.
	QueueShare = 0.15
	// SlowWaitShare is the part of its target latency that a request may wait for a slow server.
	SlowWaitShare      = 0.65
	MaxQueueWait       = 120 * time.Millisecond
	MinQueue           = 64
	SuspectRequestTime = 10 * time.Minute
	CrashSettleTime    = 2 * time.Second
	MaxSuspectRequests = 4096
	ConnectTimeout     = 300 * time.Millisecond
	BackendIdleTime    = 250 * time.Millisecond
)

// Connections between nodes.
const (
	PeerPingAfter     = 700 * time.Millisecond
	PeerPingTimeout   = 1000 * time.Millisecond
	ControlIdleTime   = 5 * time.Second
	PeerIdleTime      = 90 * time.Second
	PeerHeaderTimeout = 10 * time.Second
	PeerWindowBytes   = 256 << 10
	PeerStreams       = 1000
)

// Membership between nodes.
const (
	HeartbeatInterval = time.Second
	HeartbeatTimeout  = 800 * time.Millisecond
	HeartbeatFailures = 2
	ObservedPerNode   = 1
	BridgesPerRegion  = 2
	NewsRounds        = 4
	MaxNewsPerMessage = 32
	ForgetAfter       = 10 * time.Minute
	AnnouncementTTL   = 3 * time.Second
	StoreRowInterval  = 5 * time.Minute
	ScanInterval      = time.Minute
	MaxSnapshotAge    = 3 * time.Second
	StopNoticeTime    = 500 * time.Millisecond
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
	HintHalfLife            = 200 * time.Millisecond
	SlowFactor              = 2.5
	SlowHintTime            = 60 * time.Millisecond
	LatencySmoothing        = 0.2
	ErrorHalfLife           = 2 * time.Second
	ErrorPenalty            = 20.0
	CandidatesCompared      = 4
	LatencyHalfLife         = 500 * time.Millisecond
	OtherZonePenalty        = 2 * time.Millisecond
	OtherRegionPenalty      = 40 * time.Millisecond
	MeasuringBytesPerSecond = 3000
	LinkBytesPerSecond      = 3 << 20
)

// Recorded events kept by one node.
const (
	MaxRecordedEvents = 4096
	MaxEventsAnswered = 1000
)

// Names of budgets that operators can set.
const (
	BudgetMeasuring = "Measuring"
	BudgetLink      = "Link"
)
