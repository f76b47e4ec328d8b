package eelgrasspoint_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
)

// TestCovers guards against an announcement of a departed lifetime that is accepted, and against one of the next
// lifetime that is not.
func TestCovers(t *testing.T) {
	now := time.Now()
	before, after := uint64(now.Add(-time.Second).UnixMilli()), uint64(now.Add(time.Second).UnixMilli())
	cases := []struct {
		name        string
		departure   eelgrasspoint.Departure
		id          string
		incarnation uint64
		want        bool
	}{
		{"the same lifetime", eelgrasspoint.Departure{ID: "a", Incarnation: 5, At: now}, "a", 5, true},
		{"an earlier lifetime", eelgrasspoint.Departure{ID: "a", Incarnation: 5, At: now}, "a", 4, true},
		{"the next lifetime", eelgrasspoint.Departure{ID: "a", Incarnation: 5, At: now}, "a", 6, false},
		{"another ID", eelgrasspoint.Departure{ID: "a", Incarnation: 5, At: now}, "b", 5, false},
		{"the same lifetime, long ago", eelgrasspoint.Departure{ID: "a", Incarnation: 5, At: now.Add(-time.Hour)}, "a", 5, true},
		{"announced without incarnation", eelgrasspoint.Departure{ID: "a", Incarnation: 5, At: now}, "a", 0, true},
		{"announced without incarnation, long after", eelgrasspoint.Departure{ID: "a", Incarnation: 5, At: now.Add(-eelgrasspoint.DepartureTTL)}, "a", 0, false},
		{"departed without incarnation, begun before", eelgrasspoint.Departure{ID: "a", At: now}, "a", before, true},
		{"departed without incarnation, begun after", eelgrasspoint.Departure{ID: "a", At: now}, "a", after, false},
		{"departed without incarnation, with a wrong clock", eelgrasspoint.Departure{ID: "a", At: now.Add(time.Hour)}, "a", before, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := &eelgrasspoint.Announcement{ID: c.id, Incarnation: c.incarnation}
			assert.Equal(t, c.departure.Covers(a, now), c.want)
		})
	}
}

func ExampleMergeDepartures() {
	at := time.Unix(100, 0)
	own := []eelgrasspoint.Departure{{ID: "a", Incarnation: 5, At: at}}
	received := []eelgrasspoint.Departure{{ID: "a", Incarnation: 5, At: at.Add(time.Second)}, {ID: "b", At: at.Add(-time.Second)}}
	for _, d := range eelgrasspoint.MergeDepartures(own, received) {
		fmt.Println(d.ID, d.At.Unix())
	}
	// Output:
	// b 99
	// a 100
}
