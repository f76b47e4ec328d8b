package eelgrasspoint

import "time"

// Sample is the measurement of one finished run of a request on a backend server.
type Sample struct {
	// At is the time at which the run finished.
	At time.Time
	// Duration is the service time: from the start of the run to the response headers, or to its end
	// if there are none. It includes neither the wait for a slot nor the body.
	Duration time.Duration
	// Admitted is the time of admission that Admit returned.
	Admitted time.Time
	// InUse is the number of admitted requests, including this one. Admitter.Release sets it.
	InUse     int
	Succeeded bool
	Route     string
	// Usual is set if the backend server reported, shortly before the run started, that it was
	// running at its usual speed.
	Usual bool
	// Crowded is set if the run started in one of the last slots: above TargetUtilization of the
	// announced slots, whatever the limit.
	Crowded bool
	// Shed is set if the backend server rejected the request because of overload.
	Shed bool
	// Refused is set if the backend server refused the connection.
	Refused bool
	// Ignored is set if the result does not depend on the backend server, as when the caller canceled.
	Ignored bool
}

// Limiter adapts the concurrency limit of a backend server. It reads no clock: the time is an
// argument. It is not safe for concurrent use.
type Limiter interface {
	// Limit returns the current limit.
	Limit() int
	// Observe adds a finished run and reports whether the backend server turned cold, that is, takes
	// less load than before: it refused a connection, or lowered limits brought its latency down at
	// least twice in a row. This is unrelated to Health.Cold, the slow start that it reports itself.
	Observe(sample Sample) (cold bool)
	// ObserveInFlight adds the mean age of the runs in flight.
	ObserveInFlight(age time.Duration, now time.Time)
	// Reset starts over for a backend server with the given slots, as after a restart.
	Reset(slots int)
}
