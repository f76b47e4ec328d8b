// Package soak runs real nodes as processes on loopback, disturbs them from outside by a seeded
// schedule and checks the promises of the product by what callers and backend servers see.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/standin/cluster"
	"eelgrasspoint/standin/platform"
)

// Soak is one run. Its processes end with it.
type Soak struct {
	options  Options
	cluster  *cluster.Cluster
	platform *platform.Platform
	store    *http.Server
	vms      []*vm
	began    time.Time
	checker  *checker
	operator operator

	mu     sync.Mutex
	random *rand.Rand
}

// Options are what differs between runs.
type Options struct {
	// Bin has the program, Dir takes settings and logs.
	Bin, Dir string
	Seed     uint64
	Nodes    int
	// Duration is how long faults are injected.
	Duration time.Duration
	// Rate is how many requests are sent a second to each node.
	Rate int
	Log  io.Writer
}

// Bounds of a run.
const (
	meetLimit = 20 * time.Second
	// recoveryLimit is the time within which all is well after the last fault.
	recoveryLimit = 15 * time.Second
	stopTimeout   = 6 * time.Second
	checkInterval = 500 * time.Millisecond
)

// Run plays one seed and returns the promises that were broken.
//
//	start nodes -> apply -> callers and schedule, checked all the while -> recovery -> stop
func Run(ctx context.Context, options Options) (*Report, error) {
	if options.Nodes < len(zones)*len(services) {
		return nil, fmt.Errorf("%d nodes are too few for a backend server of each service in each zone: %d", options.Nodes, len(zones)*len(services))
	}
	s := &Soak{
		options: options, cluster: cluster.New(options.Bin, options.Dir), platform: platform.New(),
		random: eelgrasspoint.NewRandom(options.Seed), began: time.Now(),
	}
	s.checker = newChecker(s)
	s.operator = operator{soak: s}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	callers, stopCallers := context.WithCancel(ctx)
	var group sync.WaitGroup
	for _, v := range s.vms {
		group.Go(func() { s.call(callers, v) })
	}
	group.Go(func() { s.checker.watch(callers) })
	s.play(ctx)
	s.recover(ctx)
	stopCallers()
	group.Wait()
	s.stop()
	s.checker.check()
	return s.checker.report(), nil
}

func (s *Soak) start(ctx context.Context) error {
	if err := s.startStore(); err != nil {
		return err
	}
	for i := range s.options.Nodes {
		v, err := s.addVM(i)
		if err != nil {
			return err
		}
		s.vms = append(s.vms, v)
	}
	limit := time.Now().Add(meetLimit)
	for !s.everybodyKnown(ctx) {
		if time.Now().After(limit) || ctx.Err() != nil {
			return fmt.Errorf("the nodes did not find each other within %v", meetLimit)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if err := s.operator.begin(ctx); err != nil {
		return err
	}
	s.recover(ctx)
	return nil
}

// everybodyKnown asks the last node, which started after all others.
func (s *Soak) everybodyKnown(ctx context.Context) bool {
	status, err := s.vms[len(s.vms)-1].operators().Status(ctx, &schema.StatusRequest{})
	if err != nil {
		return false
	}
	known := 0
	for _, n := range status.GetNodes() {
		if n.GetMember().GetBackendServer() != nil {
			known++
		}
	}
	return known == len(s.vms)
}

// recover lifts every fault and waits until each node serves again.
func (s *Soak) recover(ctx context.Context) {
	s.platform.SetFaults(platform.Faults{})
	for _, v := range s.vms {
		v.restore()
	}
	began := time.Now()
	for _, v := range s.vms {
		for !s.serves(ctx, v) {
			if time.Since(began) > recoveryLimit || ctx.Err() != nil {
				s.checker.broken("recovery", "%s does not serve %v after the last fault", v.name, recoveryLimit)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	s.logf("all serve %v after the last fault", time.Since(began).Round(time.Millisecond))
}

// serves reports whether every kind of request is answered through the node.
func (s *Soak) serves(ctx context.Context, v *vm) bool {
	for i := range kinds {
		if r := s.request(ctx, v, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, &kinds[i]); r.outcome != answered {
			return false
		}
	}
	return true
}

// stop ends all nodes as planned work does.
func (s *Soak) stop() {
	var group sync.WaitGroup
	for _, v := range s.vms {
		group.Go(func() { v.terminate() })
	}
	group.Wait()
}

func (s *Soak) close() {
	s.cluster.Stop()
	for _, v := range s.vms {
		v.close()
	}
	if s.store != nil {
		_ = s.store.Close()
	}
}

// draw gives a number from 0 to below n.
func (s *Soak) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *Soak) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.options.Log, "%7.3fs %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}
