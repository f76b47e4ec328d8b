package soak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"eelgrasspoint/standin/platform"
	"eelgrasspoint/standin/proxy"
)

// Event is one fault or one planned operation.
type Event struct {
	Name string
	At   time.Duration
	// Lasts is the duration of the event's effect. The action of zone out adds zoneOutLimit; those of
	// terminate node and backend server leaves use a quarter of it; those of reload settings, move route,
	// silence and reset ignore it.
	Lasts time.Duration
	// VM is the index of the drawn VM. Zone out uses its zone; move route affects no VM, store affects all.
	VM int
	// Figure is a random number from which the action derives its choices: the link, the stalled
	// direction, the delay, the clock offset of a new backend server, or the fault of the store.
	Figure int
}

// action runs the events of one name. Actions on the processes of one VM exclude each other.
type action struct {
	name string
	// planned is set for planned operations: all guarantees hold while they run, so the VM does not
	// count as disturbed.
	planned bool
	run     func(s *Soak, v *vm, e Event)
}

// actions are the actions of all events. The event cut stalls a link in one or both directions until the
// event ends; silence stalls the open connections of a link for good.
var actions = []action{
	{name: "terminate node", planned: true, run: terminateNode},
	{name: "reload settings", planned: true, run: func(_ *Soak, v *vm, _ Event) { v.node.Process.Signal(syscall.SIGHUP) }},
	{name: "backend server leaves", planned: true, run: replaceBackend},
	{name: "move route", planned: true, run: func(s *Soak, _ *vm, _ Event) { s.operator.moveRoute(context.Background()) }},
	{name: "zone out", planned: true, run: zoneOut},
	{name: "kill node", run: killNode},
	{name: "pause node", run: pauseNode},
	{name: "crash backend server", run: crashBackend},
	{name: "delay", run: delayLink},
	{name: "cut", run: stallLink},
	{name: "silence", run: stallConnections},
	{name: "reset", run: func(_ *Soak, v *vm, e Event) { v.chooseLink(e.Figure).Reset() }},
	{name: "store", run: disturbStore},
}

// rareActions are not drawn from actions: their events have generators of their own, so that the other events of a
// seed stay the same.
var rareActions = []action{
	{name: limitName, planned: true, run: limitBackend},
	{name: hangName, run: hangBackend},
	{name: departureName, run: killAfterDeparture},
}

// Rate and duration of the events of a schedule.
const (
	// eventsPerSecond is the mean rate of events for up to 12 nodes; above 12 the rate grows in proportion
	// to the number of nodes. Seeds that are restricted to planned operations have a lower rate, because
	// their other events are dropped.
	eventsPerSecond  = 0.8
	maxEventDuration = 6 * time.Second
	minEventDuration = 200 * time.Millisecond
	// Every plannedOnlyEvery-th seed has planned operations only.
	plannedOnlyEvery = 4
)

// Bounds on the restart of a node.
const (
	// nodeStartLimit is how long restartNode waits for the node to listen.
	nodeStartLimit = 5 * time.Second
	// dialInterval is the pause between two attempts to connect to the node, and the timeout of each
	// attempt.
	dialInterval = 10 * time.Millisecond
)

// Schedule draws the events of a seed, ordered by time. The same arguments give the same events.
func Schedule(seed uint64, duration time.Duration, nodes int) []Event {
	random := rand.New(rand.NewPCG(seed, uint64(nodes)))
	plannedOnly := seed%plannedOnlyEvery == 0
	rate := eventsPerSecond * max(1, float64(nodes)/12)
	var events []Event
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= duration {
			events = append(events, drawLimits(seed, duration, nodes)...)
			events = append(events, drawHangs(seed, duration, nodes)...)
			events = append(events, drawDepartures(seed, duration, nodes)...)
			slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
			return events
		}
		e := Event{
			At: at, VM: random.IntN(nodes), Figure: random.IntN(1 << 16),
			Lasts: minEventDuration + time.Duration(random.Int64N(int64(maxEventDuration-minEventDuration))),
		}
		a := actions[random.IntN(len(actions))]
		if plannedOnly && !a.planned {
			continue
		}
		e.Name = a.name
		events = append(events, e)
	}
}

// runSchedule starts each event at its time and waits until all have ended.
func (s *Soak) runSchedule(ctx context.Context) {
	startedAt := time.Now()
	var group sync.WaitGroup
	for _, e := range Schedule(s.options.Seed, s.options.Duration, len(s.vms)) {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(startedAt.Add(e.At))):
			group.Go(func() { s.runEvent(e) })
		}
	}
	time.Sleep(time.Until(startedAt.Add(s.options.Duration)))
	group.Wait()
}

// runEvent runs the action of one event and, unless it is planned, marks the VM as disturbed meanwhile.
func (s *Soak) runEvent(e Event) {
	v := s.vms[e.VM]
	for _, a := range slices.Concat(rareActions, actions) {
		if a.name != e.Name {
			continue
		}
		s.logf("event %s: drawn VM %s, drawn duration %v, drawn number %d", e.Name, v.name, e.Lasts.Round(time.Millisecond), e.Figure)
		if !a.planned {
			defer v.markDisturbed()()
		}
		a.run(s, v, e)
	}
}

func terminateNode(s *Soak, v *vm, e Event) {
	v.processLock.Lock()
	defer v.processLock.Unlock()
	endStop := v.terminate()
	time.Sleep(e.Lasts / 4)
	s.restartNode(v)
	endStop()
}

func killNode(s *Soak, v *vm, e Event) {
	v.processLock.Lock()
	defer v.processLock.Unlock()
	v.node.Process.Signal(syscall.SIGKILL)
	v.node.Process.Wait(time.Second)
	time.Sleep(e.Lasts)
	s.restartNode(v)
}

// restartNode starts the node again and waits until it listens, since before that the process cannot
// handle signals yet.
func (s *Soak) restartNode(v *vm) {
	v.restarts.Add(1)
	if err := s.cluster.StartNodeProcess(v.node); err != nil {
		s.checker.recordViolation("soak", "%s: node did not start: %v", v.name, err)
	}
	for limit := time.Now().Add(nodeStartLimit); time.Now().Before(limit); time.Sleep(dialInterval) {
		conn, err := net.DialTimeout("tcp", v.node.Callers.String(), dialInterval)
		if err == nil {
			_ = conn.Close()
			return
		}
	}
	s.checker.recordViolation("start", "%s did not listen within %v of its start", v.name, nodeStartLimit)
}

func pauseNode(_ *Soak, v *vm, e Event) {
	v.processLock.Lock()
	defer v.processLock.Unlock()
	v.node.Process.Signal(syscall.SIGSTOP)
	time.Sleep(e.Lasts)
	v.node.Process.Signal(syscall.SIGCONT)
}

// maxClockOffset bounds the clock offset of a backend server that starts, in both directions.
const maxClockOffset = 4 * time.Second

// clockOffset returns the clock offset of an event: one of five values from -maxClockOffset to
// maxClockOffset.
func clockOffset(e Event) time.Duration {
	return time.Duration(e.Figure%5-2) * maxClockOffset / 2
}

// replaceBackend lets the backend server leave and starts a new one.
func replaceBackend(s *Soak, v *vm, e Event) {
	v.processLock.Lock()
	defer v.processLock.Unlock()
	v.leaveBackend()
	time.Sleep(e.Lasts / 4)
	s.restartBackend(v, clockOffset(e))
}

func crashBackend(s *Soak, v *vm, e Event) {
	v.processLock.Lock()
	defer v.processLock.Unlock()
	v.crashBackend()
	time.Sleep(e.Lasts)
	s.restartBackend(v, clockOffset(e))
}

func (s *Soak) restartBackend(v *vm, offset time.Duration) {
	if err := v.startBackend(offset); err != nil {
		s.checker.recordViolation("soak", "%s: backend server did not start: %v", v.name, err)
	}
}

// zoneOut takes a zone out of service for longer than zoneOutLimit. It does nothing while a zone is out
// of service, since the product guarantees service with at most one zone missing.
func zoneOut(s *Soak, v *vm, e Event) {
	if !s.operator.zoneLock.TryLock() {
		return
	}
	defer s.operator.zoneLock.Unlock()
	s.operator.setZone(context.Background(), v.zone, true)
	time.Sleep(zoneOutLimit + e.Lasts)
	s.operator.setZone(context.Background(), v.zone, false)
}

// chooseLink returns one of the VM's three links.
func (v *vm) chooseLink(figure int) *proxy.Proxy {
	return []*proxy.Proxy{v.peerLink, v.backendLink, v.storeLink}[figure%3]
}

// delayLink delays a link by less than 400 ms.
func delayLink(_ *Soak, v *vm, e Event) {
	l := v.chooseLink(e.Figure)
	l.SetDelay(time.Duration(e.Figure%400) * time.Millisecond)
	time.Sleep(e.Lasts)
	l.SetDelay(0)
}

// stallLink holds back the bytes of a link in one or both directions, then forwards them.
func stallLink(_ *Soak, v *vm, e Event) {
	l := v.chooseLink(e.Figure)
	stall := []proxy.Stall{{ToTarget: true}, {FromTarget: true}, {ToTarget: true, FromTarget: true}}[e.Figure/3%3]
	l.SetStall(stall)
	defer l.SetStall(proxy.Stall{})
	if l == v.backendLink && stall.ToTarget {
		defer v.openInterval(&v.requestStalls)()
	}
	time.Sleep(e.Lasts)
}

// stallConnections stalls the open connections of a link for good; new ones work.
func stallConnections(_ *Soak, v *vm, e Event) { v.chooseLink(e.Figure).StallConnections() }

// disturbStore injects a fault into the store and marks all VMs as disturbed meanwhile.
func disturbStore(s *Soak, _ *vm, e Event) {
	defer s.markAllDisturbed()()
	s.platform.SetFaults([]platform.Faults{
		{Down: true},
		{Delay: time.Duration(e.Figure%1500) * time.Millisecond},
		{LoseAnswers: 1 + e.Figure%5},
		{DropWrites: 1 + e.Figure%5},
	}[e.Figure%4])
	time.Sleep(e.Lasts)
	s.platform.SetFaults(platform.Faults{})
}

// markAllDisturbed marks all VMs as disturbed until the returned function is called.
func (s *Soak) markAllDisturbed() func() {
	var ends []func()
	for _, v := range s.vms {
		ends = append(ends, v.markDisturbed())
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}
