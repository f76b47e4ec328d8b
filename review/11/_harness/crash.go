package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// crashCallPeriod is the pause of the caller whose request crashes instances before it sends the request again.
	crashCallPeriod = time.Second
	// hastyCallPeriod is the same of a caller that does not wait.
	hastyCallPeriod = 500 * time.Millisecond
	// crashesToTell is the number of crashes after which the rule counts the retries, and maxRetries how many it allows.
	crashesToTell = 3
	maxRetries    = 3
	gracePeriod   = 6 * time.Second
	// restartPause is the pause after the restart of one node before that of the next one.
	restartPause = 12 * time.Second
)

// restarts remembers when the nodes were stopped and started.
type restarts struct {
	mu        sync.Mutex
	stopping  map[string]bool
	startedAt map[string]time.Time
}

// allInTouch reports whether the processes of all nodes have run without a disruption for the contact timeout.
func (r *restarts) allInTouch(nodes []*node, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !slices.ContainsFunc(nodes, func(n *node) bool {
		return r.stopping[n.name] || at.Sub(r.startedAt[n.name]) <= contactTimeout
	})
}

// restart stops a node by SIGTERM, as the platform does, and starts it again.
func (c *cluster) restart(n *node, r *restarts) error {
	r.mu.Lock()
	r.stopping[n.name] = true
	r.mu.Unlock()
	c.record.note("SIGTERM to %s", n.name)
	n.signal(syscall.SIGTERM)
	select {
	case <-n.done:
	case <-time.After(gracePeriod):
		n.end()
	}
	err := n.start()
	c.record.note("%s is started again", n.name)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping[n.name], r.startedAt[n.name] = false, time.Now()
	return err
}

// crashInChunks plays a booking that crashes the instances that run it and that its caller sends again. All bookings are sent
// in chunks.
func crashInChunks(c *cluster, trouble bool) (string, error) { return c.crashing(trouble, true) }

// crashWithLength is crashInChunks with bodies that are sent with their length.
func crashWithLength(c *cluster, trouble bool) (string, error) { return c.crashing(trouble, false) }

func (c *cluster) crashing(trouble, chunked bool) (string, error) {
	defer c.clients(chunked)()
	time.Sleep(3 * time.Second)
	if trouble {
		defer c.sendCrashing(&restarts{}, crashCallPeriod, chunked)()
	}
	time.Sleep(25 * time.Second)
	return c.judgeCrashes(trouble)
}

// crashAfterRestarts plays a booking that crashes the instances that run it and that its caller sends again, while the nodes
// are restarted one after the other.
func crashAfterRestarts(c *cluster, trouble bool) (string, error) {
	defer c.clients(false)()
	time.Sleep(3 * time.Second)
	r := &restarts{stopping: make(map[string]bool), startedAt: make(map[string]time.Time)}
	defer c.sendCrashing(r, hastyCallPeriod, false)()
	time.Sleep(12 * time.Second)
	for _, n := range c.nodes {
		if trouble {
			if err := c.restart(n, r); err != nil {
				return "", err
			}
		}
		time.Sleep(restartPause)
	}
	return c.judgeCrashes(true)
}

// sendCrashing sends the booking once in a period, to one machine after the other, while all machines are in touch. It
// does so until the returned function is called, which waits for the end.
func (c *cluster) sendCrashing(r *restarts, period time.Duration, chunked bool) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var caller sync.WaitGroup
	caller.Go(func() {
		for count := 0; ctx.Err() == nil; count++ {
			if r.allInTouch(c.nodes, time.Now()) {
				c.book(c.nodes[count%len(c.nodes)], fmt.Sprintf("crash-%d", count), bodyCrash, chunked)
			}
			time.Sleep(period)
		}
	})
	return func() {
		cancel()
		caller.Wait()
	}
}

// judgeCrashes counts the runs of the crashing booking later than the contact timeout after its third crash, and the other
// bookings that were lost in those crashes.
func (c *cluster) judgeCrashes(sent bool) (string, error) {
	crashes := c.record.matching(func(a arrival) bool { return a.Crashes })
	c.record.note("the booking crashed %d instances", len(crashes))
	if sent && len(crashes) == 0 {
		return "", fmt.Errorf("the booking reached no instance")
	}
	if len(crashes) < crashesToTell {
		return "", nil
	}
	from := crashes[crashesToTell-1].At.Add(contactTimeout)
	late := slices.DeleteFunc(crashes, func(a arrival) bool { return !a.At.After(from) })
	lost := 0
	for _, crash := range late {
		lost += c.bookingsLost(crash)
	}
	c.record.note("%d of them later than %v after the third; %d other bookings ran there and failed", len(late), contactTimeout, lost)
	if len(late) > maxRetries {
		return fmt.Sprintf("BUDGET: %d retries reached instances", len(late)), nil
	}
	return "", nil
}

// bookingsLost counts the other bookings that the instance was running at a crash and that were not answered with success.
func (c *cluster) bookingsLost(crash arrival) int {
	return len(c.record.matching(func(a arrival) bool {
		running := a.Instance == crash.Instance && !a.At.After(crash.At) && crash.At.Sub(a.At) < workTime
		return running && a.Path == crash.Path && !a.Crashes && c.record.statuses[a.ID]/100 != 2
	}))
}
