// Package soak runs nodes as processes on loopback, injects faults and planned operations by a schedule
// drawn from a seed, and checks the guarantees of the product against what callers and backend servers
// see.
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

// Soak is one run of the soak test. Its processes are stopped at the end of the run.
type Soak struct {
	options   Options
	cluster   *cluster.Cluster
	platform  *platform.Platform
	store     *http.Server
	vms       []*vm
	startedAt time.Time
	checker   *checker
	operator  operator

	mu     sync.Mutex
	random *rand.Rand
}

// Options are the parameters of a run.
type Options struct {
	// Bin is the folder with eelgrassd, Dir the folder for settings and logs.
	Bin, Dir string
	Seed     uint64
	Nodes    int
	// Duration is the time in which events start.
	Duration time.Duration
	// Rate is the number of requests per second to each node.
	Rate int
	Log  io.Writer
}

// Bounds of a run.
const (
	// discoveryLimit is the time within which the nodes discover each other after their start.
	discoveryLimit = 20 * time.Second
	// recoveryLimit is the time within which all nodes serve again after all faults were lifted.
	recoveryLimit = 15 * time.Second
	// stopTimeout is the StopTimeout setting of the nodes.
	stopTimeout = 6 * time.Second
	// checkInterval is the time between two checks, and the timeout of one read of the metrics.
	checkInterval = 500 * time.Millisecond
)

// Run runs the schedule of one seed and returns a report with the violated guarantees. It fails if the
// nodes cannot be started or do not accept the initial configuration.
//
//	start nodes -> apply -> callers and schedule, with checks -> recovery -> stop
func Run(ctx context.Context, options Options) (*Report, error) {
	if options.Nodes < len(zones)*len(services) {
		return nil, fmt.Errorf("%d nodes are too few: one backend server of each service in each zone takes %d", options.Nodes, len(zones)*len(services))
	}
	s := &Soak{
		options: options, cluster: cluster.New(options.Bin, options.Dir), platform: platform.New(),
		random: eelgrasspoint.NewRandom(options.Seed), startedAt: time.Now(),
	}
	s.checker = newChecker(s)
	s.operator = operator{soak: s}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	callersCtx, stopCallers := context.WithCancel(ctx)
	var group sync.WaitGroup
	for _, v := range s.vms {
		group.Go(func() { s.sendRequests(callersCtx, v) })
	}
	group.Go(func() { s.checker.watch(callersCtx) })
	s.runSchedule(ctx)
	s.awaitRecovery(ctx)
	stopCallers()
	group.Wait()
	s.terminateAll()
	s.checker.check()
	return s.checker.report(), nil
}

// start starts the store and the nodes and applies the initial configuration.
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
	limit := time.Now().Add(discoveryLimit)
	for !s.allServersKnown(ctx) {
		if time.Now().After(limit) || ctx.Err() != nil {
			return fmt.Errorf("the nodes did not discover each other within %v", discoveryLimit)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if err := s.operator.applyInitial(ctx); err != nil {
		return err
	}
	s.awaitRecovery(ctx)
	return nil
}

// allServersKnown reports whether the last node, which started after all others, has discovered the
// backend servers of all nodes.
func (s *Soak) allServersKnown(ctx context.Context) bool {
	status, err := s.vms[len(s.vms)-1].operators().Status(ctx, &schema.StatusRequest{})
	if err != nil {
		return false
	}
	knownServers := 0
	for _, n := range status.GetNodes() {
		if n.GetMember().GetBackendServer() != nil {
			knownServers++
		}
	}
	return knownServers == len(s.vms)
}

// awaitRecovery lifts all faults and waits until every node serves all kinds of request. It records a
// violation for each node that does not do so within recoveryLimit, or before the context ends.
func (s *Soak) awaitRecovery(ctx context.Context) {
	s.platform.SetFaults(platform.Faults{})
	for _, v := range s.vms {
		v.restore()
	}
	startedAt := time.Now()
	for _, v := range s.vms {
		for !s.servesAllKinds(ctx, v) {
			if time.Since(startedAt) > recoveryLimit || ctx.Err() != nil {
				s.checker.recordViolation("recovery", "%s did not serve every kind of request within %v after all faults were lifted", v.name, recoveryLimit)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	s.logf("lifted all faults, then waited %v for all nodes to serve every kind of request", time.Since(startedAt).Round(time.Millisecond))
}

// servesAllKinds reports whether the node answers every kind of request.
func (s *Soak) servesAllKinds(ctx context.Context, v *vm) bool {
	for i := range requestKinds {
		if r := s.sendRequest(ctx, v, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, &requestKinds[i]); r.outcome != answered {
			return false
		}
	}
	return true
}

// terminateAll stops all nodes at once by planned stops.
func (s *Soak) terminateAll() {
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

// randomInt returns a random number in [0, n).
func (s *Soak) randomInt(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *Soak) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.options.Log, "%7.3fs %s\n", time.Since(s.startedAt).Seconds(), fmt.Sprintf(format, args...))
}
