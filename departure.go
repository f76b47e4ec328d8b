package eelgrasspoint

import (
	"slices"
	"time"
)

// Departure records that a lifetime of the backend server beside a node leaves: it announced that it is draining,
// deregistered, or said so in an answer. It gets no new requests, also from a later process of the node.
type Departure struct {
	// ID is that of the lifetime, empty if it has none.
	ID string
	// Incarnation is that of the lifetime. Zero means unknown: then every lifetime with the ID that began before At
	// has left.
	Incarnation uint64
	// At is the time of the departure by the clock of its node.
	At time.Time
}

// Bounds on departures.
const (
	// DepartureTTL is longer than the delay of any announcement, which is a few seconds.
	DepartureTTL = 30 * time.Second
	// MaxDepartures is the number of departures that a node keeps, beyond which the oldest is deleted.
	MaxDepartures = 8
)

// Covers reports whether the announcement belongs to a lifetime that left. The incarnation of a backend server with
// an ID is its start time in Unix milliseconds. Where the announcement or the departure has no incarnation, the
// announced lifetime is taken to have begun before the departure for DepartureTTL. A departure that is as far in the
// future was recorded with a wrong clock.
func (d Departure) Covers(a *Announcement, now time.Time) bool {
	if a.ID != d.ID {
		return false
	}
	if a.Incarnation != 0 && d.Incarnation != 0 {
		return a.Incarnation <= d.Incarnation
	}
	return now.Sub(d.At).Abs() < DepartureTTL && a.Incarnation <= uint64(d.At.UnixMilli())
}

// Equal reports whether both departures are the same.
func (d Departure) Equal(other Departure) bool { return d.sameLifetime(other) && d.At.Equal(other.At) }

// sameLifetime reports whether both departures are of the same lifetime.
func (d Departure) sameLifetime(other Departure) bool {
	return d.ID == other.ID && d.Incarnation == other.Incarnation
}

// MergeDepartures returns the latest departures of both lists, oldest first and at most MaxDepartures. Of two
// departures of the same lifetime, it keeps the first; of two with an unknown incarnation, the later one.
func MergeDepartures(a, b []Departure) []Departure {
	var merged []Departure
	for _, d := range slices.Concat(a, b) {
		known := slices.IndexFunc(merged, d.sameLifetime)
		switch {
		case known < 0:
			merged = append(merged, d)
		case d.Incarnation == 0 && d.At.After(merged[known].At):
			merged[known] = d
		}
	}
	slices.SortStableFunc(merged, func(a, b Departure) int { return a.At.Compare(b.At) })
	return merged[max(0, len(merged)-MaxDepartures):]
}
