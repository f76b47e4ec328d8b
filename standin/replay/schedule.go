package replay

import (
	"math/rand/v2"
	"time"
)

// requestPeriod is the time in which a random schedule sends requests.
const requestPeriod = 3 * time.Second

// randomFaultKinds are the kinds that Schedule draws from: all except ZoneIn, since a ZoneOut of a random
// schedule ends by itself.
var randomFaultKinds = []string{
	"KillBackend", "StopBackend", "KillNode", "StopNode", "LoseHost", "Silence", "Reset", "Cut",
	"ZoneOut", "StoreDown", "StoreSlow", "Cold", "Full", "FailFast", "TruncateAnswer",
}

// Schedule returns a random trace that depends only on the seed: six servers in two regions, six
// streams of requests from each zone and two to five faults at random times.
func Schedule(seed uint64) *Trace {
	random := rand.New(rand.NewPCG(seed, seed))
	trace := &Trace{Seed: seed, Expects: invariants()}
	for _, zone := range scheduleZones {
		trace.Servers = append(trace.Servers,
			Servers{Region: zone.region, Zone: zone.name, Service: "bench", Count: 1, Slots: 4, ServiceTime: 15 * time.Millisecond},
		)
	}
	trace.Servers = append(trace.Servers,
		Servers{Region: "almaty", Zone: "almaty-a", Service: "vitrine", Count: 1, Slots: 4, ServiceTime: 10 * time.Millisecond},
		Servers{Region: "astana", Zone: "astana-a", Service: "vitrine", Count: 1, Slots: 4, ServiceTime: 10 * time.Millisecond},
	)
	for _, zone := range scheduleZones {
		trace.Requests = append(trace.Requests, scheduleRequests(zone.name)...)
	}
	for range 2 + random.IntN(4) {
		trace.Faults = append(trace.Faults, randomFault(random))
	}
	return trace
}

var scheduleZones = []struct{ region, name string }{
	{"almaty", "almaty-a"}, {"almaty", "almaty-b"}, {"astana", "astana-a"}, {"astana", "astana-b"},
}

func scheduleRequests(zone string) []Requests {
	return []Requests{
		{For: requestPeriod, Rate: 12, Path: "/bench/booking", Zone: zone, Bytes: 100, Timeout: time.Second, Once: true},
		{For: requestPeriod, Rate: 3, Path: "/bench/upload", Zone: zone, Bytes: 150_000, Timeout: 2 * time.Second, Once: true},
		{For: requestPeriod, Rate: 6, Path: "/bench/payment", Zone: zone, Bytes: 100, Timeout: time.Second, Once: true, Resend: 2},
		{For: requestPeriod, Rate: 6, Path: "/bench/local", Zone: zone, Bytes: 80, Timeout: time.Second, Once: true, Home: []string{"astana"}},
		{For: requestPeriod, Rate: 12, Method: "GET", Path: "/vitrine/page", Zone: zone, Timeout: time.Second},
		{For: requestPeriod, Rate: 6, Path: "/vitrine/hedged", Zone: zone, Bytes: 60, Timeout: time.Second, Hedge: true},
	}
}

func randomFault(random *rand.Rand) Fault {
	fault := Fault{
		At:    time.Duration(random.Int64N(int64(requestPeriod))),
		For:   100*time.Millisecond + time.Duration(random.Int64N(int64(2*time.Second))),
		Kind:  randomFaultKinds[random.IntN(len(randomFaultKinds))],
		Count: 1 + random.IntN(2),
	}
	if fault.Kind == "ZoneOut" || random.IntN(2) == 0 {
		fault.Zone = scheduleZones[random.IntN(len(scheduleZones))].name
	}
	return fault
}

// invariants returns the expectations that must hold under all faults.
func invariants() []Expect {
	zero := 0.0
	names := []string{"RanTwice", "NotRunButRan", "WrongAnswers", "OutsideHome"}
	expects := make([]Expect, len(names))
	for i, name := range names {
		expects[i] = Expect{Measure: name, AtMost: &zero}
	}
	return expects
}
