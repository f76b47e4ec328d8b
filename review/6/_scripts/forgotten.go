package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// The times of a round, since the store went down.
	reportAt    = 400 * time.Millisecond
	leaveAt     = 500 * time.Millisecond
	rollAt      = 800 * time.Millisecond
	lateAt      = 4500 * time.Millisecond
	storeBackAt = 8 * time.Second
	exitAt      = 15 * time.Second
	// rollGap is the pause between the stops of two nodes.
	rollGap = time.Second

	contactTimeout  = 3 * time.Second
	forgottenRounds = 3
)

// playForgotten lets an instance leave while the store is down, and the nodes be stopped and started again in turn. A report
// that the instance sent before it left arrives late.
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
	until(rollAt)
	rolled := p.roll(n)
	until(lateAt)
	p.note("instance %s: a report from before its leaving arrives, acknowledged: %v", i.id, delayed())
	until(storeBackAt)
	if err := rolled(); err != nil {
		return 0, err
	}
	p.store.setDown(false)
	p.note("the store is up")
	inTouch := time.Since(p.start) + contactTimeout
	until(exitAt)
	i.down()
	return i.countLate(max(inTouch, acknowledged+drainTimeout)), nil
}

// roll stops all nodes with SIGTERM, in turn, first the given one, and starts each again as soon as it has ended. The returned
// function waits until all are started.
func (p *play) roll(first *node) (wait func() error) {
	order := []*node{first}
	for _, n := range p.nodes {
		if n != first {
			order = append(order, n)
		}
	}
	var group sync.WaitGroup
	errs := make([]error, len(order))
	for k, n := range order {
		group.Go(func() {
			time.Sleep(time.Duration(k) * rollGap)
			p.note("SIGTERM to node %s", n.name)
			n.signal(syscall.SIGTERM)
			<-n.ended
			errs[k] = p.launch(n)
			p.note("node %s is started again", n.name)
		})
	}
	return func() error {
		group.Wait()
		return errors.Join(errs...)
	}
}
