package eelgrasspoint

import "time"

// Sample is the measurement of one finished request on a backend server.
type Sample struct {
	At       time.Time
	Duration time.Duration
	// Admitted is when Admit returned.
	Admitted  time.Time
	InUse     int
	Succeeded bool
	Route     string
	// Usual is set if the backend server reported its usual speed when the request started.
	Usual bool
	// Crowded is set if the request started in one of the last slots, above TargetUtilization.
	Crowded bool
	// Shed is set if the backend server rejected the request because of overload.
	Shed bool
	// Refused is set if the backend server refused the connection.
	Refused bool
	// Ignored is set if the result says nothing about the backend server, as when the caller canceled.
	Ignored bool
}

// Limiter adapts the concurrency limit of a backend server. It reads no clock: the time is an
// argument. It is not safe for concurrent use.
type Limiter interface {
	// Limit returns the current limit.
	Limit() int
	// Observe adds a finished request and reports whether the backend server turned cold.
	Observe(sample Sample) (cold bool)
	// ObserveInFlight adds the mean age of the requests in flight.
	ObserveInFlight(age time.Duration, now time.Time)
	// Reset starts over for a backend server with the given slots, as after a restart.
	Reset(slots int)
}
