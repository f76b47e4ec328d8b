package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// The times of a round, since the store went down.
	reportAt    = 400 * time.Millisecond
	leaveAt     = 500 * time.Millisecond
	killAt      = 1200 * time.Millisecond
	restartAt   = 1900 * time.Millisecond
	lateAt      = 2500 * time.Millisecond
	storeBackAt = 4 * time.Second
	exitAt      = 14 * time.Second

	contactTimeout  = 3 * time.Second
	forgottenRounds = 3
)

// playForgotten lets an instance leave while the store is down. All nodes are killed before the store is back. A report that the
// instance sent before it left arrives late.
func playForgotten(p *play) (bool, error) {
	callers, err := p.startLedgers()
	if err != nil {
		return false, err
	}
	ended := make(chan struct{})
	callers.group.Go(func() { callers.sendUntil(ended, depositHost, depositPrefix) })
	late := 0
	for range forgottenRounds {
		n, err := p.playForgottenRound(p.nodes[2])
		if err != nil {
			return false, err
		}
		late += n
	}
	close(ended)
	results := callers.wait()
	p.note("client attempts %d, by status %v; DRAIN %d", len(results), countStatuses(results), late)
	return late > 0, nil
}

// playForgottenRound plays one instance beside the node. It returns the number of requests that reached it too late, with all
// machines in touch.
func (p *play) playForgottenRound(n *node) (late int, err error) {
	i := &plainInstance{record: p.record, reporter: newReporter(n, 13)}
	if err := i.up(0); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	start := time.Now()
	until := func(at time.Duration) { time.Sleep(time.Until(start.Add(at))) }
	p.store.setDown(p.trouble)
	p.note("the store is down: %v", p.trouble)
	until(reportAt)
	delayed := i.prepare()
	until(leaveAt)
	if !i.remove() {
		return 0, fmt.Errorf("the leaving of %s was not acknowledged", i.id)
	}
	acknowledged := time.Since(p.start)
	p.note("instance %s: its leaving is acknowledged", i.id)
	if p.trouble {
		until(killAt)
		p.killAll()
		until(restartAt)
		if err := p.launchAll(); err != nil {
			return 0, err
		}
	}
	until(lateAt)
	p.note("instance %s: the report of %v before its leaving arrives, acknowledged: %v", i.id, leaveAt-reportAt, delayed())
	until(storeBackAt)
	p.store.setDown(false)
	p.note("the store is back")
	inTouch := time.Since(p.start) + contactTimeout
	until(exitAt)
	i.down()
	return i.countLate(max(inTouch, acknowledged+drainTimeout)), nil
}

func (p *play) killAll() {
	for _, n := range p.nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range p.nodes {
		<-n.ended
	}
	p.note("all nodes are killed")
}

func (p *play) launchAll() error {
	for _, n := range p.nodes {
		if err := p.launch(n); err != nil {
			return err
		}
	}
	p.note("all nodes are started")
	return nil
}
