package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"eelgrasspoint/standin/platform"
	"eelgrasspoint/standin/proxy"
)

// Event is one disturbance or piece of planned work.
type Event struct {
	Name string
	At   time.Duration
	// Lasts is how long what it does holds.
	Lasts time.Duration
	// VM is the number of the VM that it concerns.
	VM int
	// Figure chooses among the ways in which it may go.
	Figure int
}

// action does an event. Actions on one VM's processes exclude each other.
type action struct {
	name string
	// planned work is no excuse for anything.
	planned bool
	run     func(s *Soak, v *vm, e Event)
}

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
	{name: "cut", run: cutLink},
	{name: "silence", run: silenceLink},
	{name: "reset", run: func(_ *Soak, v *vm, e Event) { v.link(e.Figure).Reset() }},
	{name: "store", run: disturbStore},
}

// Bounds of the schedule.
const (
	// eventsPerSecond is how many events begin, for each dozen of nodes.
	eventsPerSecond = 0.8
	maxLasts        = 6 * time.Second
	minLasts        = 200 * time.Millisecond
	startLimit      = 5 * time.Second
	listenInterval  = 10 * time.Millisecond
	// plannedSeeds is the share of seeds, one in so many, with planned work only.
	plannedSeeds = 4
)

// Schedule draws the events of a seed, in order of their time.
func Schedule(seed uint64, duration time.Duration, nodes int) []Event {
	random := rand.New(rand.NewPCG(seed, uint64(nodes)))
	plannedOnly := seed%plannedSeeds == 0
	rate := eventsPerSecond * max(1, float64(nodes)/12)
	var events []Event
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= duration {
			return events
		}
		e := Event{
			At: at, VM: random.IntN(nodes), Figure: random.IntN(1 << 16),
			Lasts: minLasts + time.Duration(random.Int64N(int64(maxLasts-minLasts))),
		}
		a := actions[random.IntN(len(actions))]
		if plannedOnly && !a.planned {
			continue
		}
		e.Name = a.name
		events = append(events, e)
	}
}

// play begins each event at its time and waits for all to end.
func (s *Soak) play(ctx context.Context) {
	began := time.Now()
	var group sync.WaitGroup
	for _, e := range Schedule(s.options.Seed, s.options.Duration, len(s.vms)) {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(began.Add(e.At))):
			group.Go(func() { s.inject(e) })
		}
	}
	time.Sleep(time.Until(began.Add(s.options.Duration)))
	group.Wait()
}

func (s *Soak) inject(e Event) {
	v := s.vms[e.VM]
	for i := range actions {
		a := &actions[i]
		if a.name != e.Name {
			continue
		}
		s.logf("%s %s for %v (%d)", e.Name, v.name, e.Lasts.Round(time.Millisecond), e.Figure)
		if !a.planned {
			defer v.disturb()()
		}
		a.run(s, v, e)
	}
}

func terminateNode(s *Soak, v *vm, e Event) {
	v.process.Lock()
	defer v.process.Unlock()
	back := v.terminate()
	time.Sleep(e.Lasts / 4)
	s.restartNode(v)
	back()
}

func killNode(s *Soak, v *vm, e Event) {
	v.process.Lock()
	defer v.process.Unlock()
	v.node.Process.Signal(syscall.SIGKILL)
	v.node.Process.Wait(time.Second)
	time.Sleep(e.Lasts)
	s.restartNode(v)
}

// restartNode waits until the node listens: a signal before that meets no program yet.
func (s *Soak) restartNode(v *vm) {
	v.starts.Add(1)
	if err := s.cluster.RestartNode(v.node); err != nil {
		s.checker.broken("soak", "%s: %v", v.name, err)
	}
	for limit := time.Now().Add(startLimit); time.Now().Before(limit); time.Sleep(listenInterval) {
		conn, err := net.DialTimeout("tcp", v.node.Callers.String(), listenInterval)
		if err == nil {
			_ = conn.Close()
			return
		}
	}
	s.checker.broken("start", "%s does not listen within %v", v.name, startLimit)
}

func pauseNode(_ *Soak, v *vm, e Event) {
	v.process.Lock()
	defer v.process.Unlock()
	v.node.Process.Signal(syscall.SIGSTOP)
	time.Sleep(e.Lasts)
	v.node.Process.Signal(syscall.SIGCONT)
}

// maxClockOffset bounds how far the clock of a backend server that starts may be off.
const maxClockOffset = 4 * time.Second

func clockOffset(e Event) time.Duration {
	return time.Duration(e.Figure%5-2) * maxClockOffset / 2
}

func replaceBackend(s *Soak, v *vm, e Event) {
	v.process.Lock()
	defer v.process.Unlock()
	v.leaveBackend()
	time.Sleep(e.Lasts / 4)
	s.restartBackend(v, clockOffset(e))
}

func crashBackend(s *Soak, v *vm, e Event) {
	v.process.Lock()
	defer v.process.Unlock()
	v.crashBackend()
	time.Sleep(e.Lasts)
	s.restartBackend(v, clockOffset(e))
}

func (s *Soak) restartBackend(v *vm, offset time.Duration) {
	if err := v.startBackend(offset); err != nil {
		s.checker.broken("soak", "%s: %v", v.name, err)
	}
}

// zoneOut takes one zone out at a time, as many as may be missed.
func zoneOut(s *Soak, v *vm, e Event) {
	if !s.operator.zone.TryLock() {
		return
	}
	defer s.operator.zone.Unlock()
	s.operator.setZone(context.Background(), v.zone, true)
	time.Sleep(zoneLimit + e.Lasts)
	s.operator.setZone(context.Background(), v.zone, false)
}

// link chooses one of the VM's links.
func (v *vm) link(figure int) *proxy.Proxy {
	return []*proxy.Proxy{v.peers, v.own, v.store}[figure%3]
}

func delayLink(_ *Soak, v *vm, e Event) {
	l := v.link(e.Figure)
	l.SetDelay(time.Duration(e.Figure%400) * time.Millisecond)
	time.Sleep(e.Lasts)
	l.SetDelay(0)
}

func cutLink(_ *Soak, v *vm, e Event) {
	l := v.link(e.Figure)
	l.SetStall([]proxy.Stall{{ToTarget: true}, {FromTarget: true}, {ToTarget: true, FromTarget: true}}[e.Figure/3%3])
	time.Sleep(e.Lasts)
	l.SetStall(proxy.Stall{})
}

func silenceLink(_ *Soak, v *vm, e Event) { v.link(e.Figure).StallConnections() }

// disturbStore makes the store misbehave for all nodes.
func disturbStore(s *Soak, _ *vm, e Event) {
	defer s.disturbAll()()
	s.platform.SetFaults([]platform.Faults{
		{Down: true},
		{Delay: time.Duration(e.Figure%1500) * time.Millisecond},
		{LoseAnswers: 1 + e.Figure%5},
		{DropWrites: 1 + e.Figure%5},
	}[e.Figure%4])
	time.Sleep(e.Lasts)
	s.platform.SetFaults(platform.Faults{})
}

func (s *Soak) disturbAll() func() {
	var ends []func()
	for _, v := range s.vms {
		ends = append(ends, v.disturb())
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}
