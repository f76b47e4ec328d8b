package replay

import (
	"math/rand/v2"
	"time"
)

// scheduleTime is how long the requests of a random schedule go on.
const scheduleTime = 3 * time.Second

// faultKinds are drawn from by Schedule; those that would need an operator or a second
// process of the same name are left to the written traces.
var faultKinds = []string{
	"KillBackend", "StopBackend", "KillNode", "StopNode", "LoseHost", "Silence", "Reset", "Cut",
	"ZoneOut", "StoreDown", "StoreSlow", "Cold", "Full", "FailFast", "TruncateAnswer",
}

// Schedule returns the random trace of a seed: six servers in two regions, requests of each
// sort and a few faults at random moments.
func Schedule(seed uint64) *Trace {
	random := rand.New(rand.NewPCG(seed, seed))
	trace := &Trace{Seed: seed, Expects: promises()}
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
		{For: scheduleTime, Rate: 12, Path: "/bench/booking", Zone: zone, Bytes: 100, Timeout: time.Second, Once: true},
		{For: scheduleTime, Rate: 3, Path: "/bench/upload", Zone: zone, Bytes: 150_000, Timeout: 2 * time.Second, Once: true},
		{For: scheduleTime, Rate: 6, Path: "/bench/payment", Zone: zone, Bytes: 100, Timeout: time.Second, Once: true, Resend: 2},
		{For: scheduleTime, Rate: 6, Path: "/bench/local", Zone: zone, Bytes: 80, Timeout: time.Second, Once: true, Home: []string{"astana"}},
		{For: scheduleTime, Rate: 12, Method: "GET", Path: "/vitrine/page", Zone: zone, Timeout: time.Second},
		{For: scheduleTime, Rate: 6, Path: "/vitrine/hedged", Zone: zone, Bytes: 60, Timeout: time.Second, Hedge: true},
	}
}

func randomFault(random *rand.Rand) Fault {
	fault := Fault{
		At:    time.Duration(random.Int64N(int64(scheduleTime))),
		For:   100*time.Millisecond + time.Duration(random.Int64N(int64(2*time.Second))),
		Kind:  faultKinds[random.IntN(len(faultKinds))],
		Count: 1 + random.IntN(2),
	}
	if fault.Kind == "ZoneOut" || random.IntN(2) == 0 {
		fault.Zone = scheduleZones[random.IntN(len(scheduleZones))].name
	}
	return fault
}

// promises bound what may never happen, whatever fails.
func promises() []Expect {
	none := 0.0
	names := []string{"RanTwice", "NotRunButRan", "WrongAnswers", "OutsideHome"}
	expects := make([]Expect, len(names))
	for i, name := range names {
		expects[i] = Expect{Measure: name, AtMost: &none}
	}
	return expects
}
