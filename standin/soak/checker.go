package soak

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// checker collects the results that callers saw and the runs that backend servers saw, and checks them
// against the guarantees of the product.
type checker struct {
	soak *Soak

	mu      sync.Mutex
	results map[string]*result
	runs    map[string][]run
	// leftAt is when the leave of a backend server was acknowledged, by incarnation.
	leftAt map[uint64]time.Time
	// lateCount is the number of requests in undisturbedCount that ended more than lateTolerance after
	// requestTimeLimit.
	lateCount int
	// undisturbedCount is the number of requests that got a connection and during which no VM was
	// disturbed.
	undisturbedCount int
	// unansweredCount is the number of requests in undisturbedCount whose outcome was not Answered, except
	// those during a planned stop of their entry node.
	unansweredCount int
	violations      []string
	// reported has the texts of the violations and the identifiers of the requests already logged.
	reported        map[string]bool
	violationCounts map[string]int
}

// run is one run of a request at a backend server.
type run struct {
	vm          *vm
	incarnation uint64
	at          time.Time
}

// Report counts the requests of one soak run by outcome and lists the violated guarantees. Failed counts
// the complete responses with an outcome other than Answered and NotRun, Broken the requests without a
// complete response.
type Report struct {
	Requests, Answered, NotRun, Failed, Broken int
	Violations                                 []string
}

// Bounds of the guarantees.
const (
	// zoneOutLimit is how long after a zone was taken out of service its backend servers may still get
	// new requests.
	zoneOutLimit = 5 * time.Second
	// leaveInFlightLimit is how long after the acknowledged leave of a backend server a request that
	// was in flight may still reach it.
	leaveInFlightLimit = 500 * time.Millisecond
	// Late requests are a violation only if there are more than lateMinCount and they are more than
	// lateMaxPercent of the requests during which no VM was disturbed. The same holds for unanswered
	// requests with their own bounds.
	lateMaxPercent, lateMinCount             = 25, 8
	unansweredMaxPercent, unansweredMinCount = 2, 5
	// maxViolationsPerGuarantee bounds the violations of one guarantee in the report.
	maxViolationsPerGuarantee = 5
)

func newChecker(s *Soak) *checker {
	return &checker{
		soak: s, results: make(map[string]*result), runs: make(map[string][]run),
		leftAt: make(map[uint64]time.Time), reported: make(map[string]bool), violationCounts: make(map[string]int),
	}
}

// recordRun records the start of a run at a backend server.
func (c *checker) recordRun(v *vm, incarnation uint64, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id] = append(c.runs[id], run{vm: v, incarnation: incarnation, at: time.Now()})
}

// recordLeave records that a node acknowledged the leave of its backend server.
func (c *checker) recordLeave(incarnation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leftAt[incarnation] = time.Now()
}

func (c *checker) recordResult(r *result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results[r.id] = r
}

// recordViolation records and logs the violation of a guarantee, each text only once and at most
// maxViolationsPerGuarantee of one guarantee.
func (c *checker) recordViolation(guarantee, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(guarantee, format, args...)
}

// addViolation is recordViolation for callers that hold the lock.
func (c *checker) addViolation(guarantee, format string, args ...any) {
	text := guarantee + ": " + fmt.Sprintf(format, args...)
	if c.reported[text] || c.violationCounts[guarantee] >= maxViolationsPerGuarantee {
		return
	}
	c.reported[text] = true
	c.violationCounts[guarantee]++
	c.violations = append(c.violations, text)
	go c.soak.logf("VIOLATION %s", text)
}

// watch runs check at intervals until the context ends. It also checks that the revision of a node
// never decreases, except by a restart.
func (c *checker) watch(ctx context.Context) {
	revisions := make(map[*vm]uint64)
	restartsSeen := make(map[*vm]int64)
	for ctx.Err() == nil {
		for _, v := range c.soak.vms {
			restarts := v.restarts.Load()
			revision, ok := c.revision(ctx, v)
			if !ok || v.restarts.Load() != restarts {
				continue
			}
			if restartsSeen[v] == restarts && revision < revisions[v] {
				c.recordViolation("revision never decreases", "%s went from revision %d to %d", v.name, revisions[v], revision)
			}
			revisions[v], restartsSeen[v] = revision, restarts
		}
		c.check()
		select {
		case <-ctx.Done():
		case <-time.After(checkInterval):
		}
	}
}

// revision reads the node's revision from its metrics. It reports false if the node does not answer
// within checkInterval.
func (c *checker) revision(ctx context.Context, v *vm) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, checkInterval)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.node.Control.String()+"/metrics", nil)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if text, found := strings.CutPrefix(lines.Text(), "eelgrass_revision "); found {
			value, err := strconv.ParseFloat(text, 64)
			return uint64(value), err == nil
		}
	}
	return 0, false
}

// check checks all runs and results recorded so far.
func (c *checker) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lateCount, c.undisturbedCount, c.unansweredCount = 0, 0, 0
	for id, runs := range c.runs {
		c.checkRuns(id, runs)
	}
	for _, r := range c.results {
		c.checkResult(r)
	}
	if c.lateCount > lateMinCount && c.lateCount*100 > lateMaxPercent*c.undisturbedCount {
		c.addViolation("time limit", "more than %d requests, and more than the tolerated share of all, ended later than the time limit plus a tolerance after their start while no VM was disturbed", lateMinCount)
	}
	if c.unansweredCount > unansweredMinCount && c.unansweredCount*100 > unansweredMaxPercent*c.undisturbedCount {
		c.addViolation("service", "more than %d in 100 requests, and more than the tolerated number, were not answered while no VM was disturbed", unansweredMaxPercent)
	}
}

// checkRuns checks the runs of one request, if its result is recorded.
func (c *checker) checkRuns(id string, runs []run) {
	r := c.results[id]
	if r == nil {
		return
	}
	if !r.kind.idempotent && len(runs) > 1 {
		c.addViolation("at most once", "%s %s ran %d times, at %s and %s", r.kind.name, id, len(runs), runs[0].vm.name, runs[1].vm.name)
	}
	for _, backendRun := range runs {
		c.checkRun(r, backendRun)
	}
}

// checkRun checks that the request was allowed to run at this VM and time.
func (c *checker) checkRun(r *result, backendRun run) {
	at := backendRun.at.Sub(c.soak.startedAt).Round(time.Millisecond)
	if r.kind.homeRegion != "" && backendRun.vm.region != r.kind.homeRegion {
		c.addViolation("home regions", "%s ran at %s, outside its home region", r.id, backendRun.vm.name)
	}
	// The VM must have been undisturbed for twice catchUpLimit (6 s), longer than zoneOutLimit (5 s):
	// catchUpLimit here and once more in vm.undisturbed.
	undisturbed := backendRun.vm.undisturbed(backendRun.at.Add(-catchUpLimit), backendRun.at)
	if undisturbed && c.soak.operator.outOfServiceFor(backendRun.vm.zone, backendRun.at, zoneOutLimit) {
		c.addViolation("zone out of service", "%s ran at %s, %v after the start of the soak, though its zone was out of service", r.id, backendRun.vm.name, at)
	}
	if leftAt, hasLeft := c.leftAt[backendRun.incarnation]; hasLeft && backendRun.at.After(leftAt.Add(leaveInFlightLimit)) && !backendRun.vm.heldBack(r.startedAt, leftAt, backendRun.at) {
		c.addViolation("backend server left", "%s ran at %s, %v after the leave of the backend server was acknowledged", r.id, backendRun.vm.name, backendRun.at.Sub(leftAt))
	}
	// The entry node must have been undisturbed from propagationLimit plus the catchUpLimit of
	// vm.undisturbed before the request until the run; otherwise it may not have received the change yet.
	if r.kind.name == "moving" && r.vm.undisturbed(r.startedAt.Add(-propagationLimit), backendRun.at) && !c.soak.operator.allowedAt(backendRun.vm.service, r.startedAt) {
		c.addViolation("configuration", "%s ran at %s, %v after the start of the soak, though no configuration in force routed it there", r.id, backendRun.vm.name, at)
	}
}

// checkResult checks a result against the runs of its request and counts late and unanswered requests.
func (c *checker) checkResult(r *result) {
	ran := len(c.runs[r.id]) > 0
	if r.err == nil && r.outcome == notRun && ran && !r.kind.idempotent {
		c.addViolation("not run", "%s %s had the outcome NotRun but ran at %s", r.kind.name, r.id, c.runs[r.id][0].vm.name)
	}
	if r.err == nil && r.outcome == answered && r.status == http.StatusOK && !r.ownAnswer {
		c.addViolation("own answers", "%s at %s got an answer with another identifier or body", r.id, r.vm.name)
	}
	if !r.connected || !r.vm.undisturbed(r.startedAt, r.endedAt) {
		return
	}
	// A broken connection is no violation if the request has not run and either its connection was
	// reused, so that the node may just have closed it, or its node had a planned stop meanwhile. A
	// connection that breaks after requestTimeLimit is no violation either; its request may count as late
	// or unanswered below.
	inTime := r.endedAt.Sub(r.startedAt) < requestTimeLimit
	if r.err != nil && inTime && (ran || !r.reused && !r.vm.stoppedDuring(r.startedAt, r.endedAt)) {
		c.addViolation("no broken connections", "%s %s at %s broke off after %v, ran %v: %v", r.kind.name, r.id, r.vm.name, r.endedAt.Sub(r.startedAt).Round(time.Millisecond), ran, r.err)
	}
	if !c.soak.allUndisturbed(r.startedAt, r.endedAt) {
		return
	}
	c.undisturbedCount++
	if r.outcome != answered && !r.vm.stoppedDuring(r.startedAt, r.endedAt) {
		c.logUnanswered(r)
		c.unansweredCount++
	}
	if r.endedAt.Sub(r.startedAt) > requestTimeLimit+lateTolerance {
		c.lateCount++
	}
}

// logUnanswered logs a request that was not answered while no VM was disturbed, unless it was logged before.
func (c *checker) logUnanswered(r *result) {
	if c.reported[r.id] {
		return
	}
	c.reported[r.id] = true
	go c.soak.logf("not answered: %s %s at %s, sent %v after the start of the soak: status %d, body %q, error %v", r.kind.name, r.id, r.vm.name, r.startedAt.Sub(c.soak.startedAt), r.status, r.responseText, r.err)
}

// allUndisturbed reports whether no VM was disturbed between the two times.
func (s *Soak) allUndisturbed(from, to time.Time) bool {
	return !slices.ContainsFunc(s.vms, func(v *vm) bool { return !v.undisturbed(from, to) })
}

// report counts the results by outcome.
func (c *checker) report() *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := &Report{Requests: len(c.results), Violations: c.violations}
	for _, r := range c.results {
		switch {
		case r.err != nil:
			report.Broken++
		case r.outcome == answered:
			report.Answered++
		case r.outcome == notRun:
			report.NotRun++
		default:
			report.Failed++
		}
	}
	return report
}
