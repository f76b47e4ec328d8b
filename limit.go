package eelgrasspoint

import "time"

// Sample is one finished run on a backend server.
type Sample struct {
	At       time.Time
	Duration time.Duration
	// Admitted is the moment that Admit returned.
	Admitted  time.Time
	InUse     int
	Succeeded bool
	Route     string
	// Usual is set if the backend server said that work takes as long as usual when the run began.
	Usual bool
	// Crowded is set if the run began in the last slots.
	Crowded bool
	// Shed is set if the backend server said that it has too much work.
	Shed bool
	// Refused is set if the backend server refused the connection.
	Refused bool
	// Ignored is set if the run says nothing about the backend server, as when its caller went away.
	Ignored bool
}

// Limiter decides how many requests a backend server may run at once. It is pure: samples
// carry the time. It is not safe for concurrent use.
type Limiter interface {
	// Limit returns the present limit.
	Limit() int
	// Observe learns from a finished run and reports whether the backend server turned cold.
	Observe(sample Sample) (cold bool)
	// ObserveInFlight learns how long the runs under way have been so on average.
	ObserveInFlight(age time.Duration, now time.Time)
	// Reset starts again for a backend server with the slots, as after a cold start.
	Reset(slots int)
}
