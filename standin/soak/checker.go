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

// checker holds what callers and backend servers saw against the promises.
type checker struct {
	soak *Soak

	mu         sync.Mutex
	results    map[string]*result
	runs       map[string][]run
	leftAt     map[uint64]time.Time
	late       int
	calm       int
	failed     int
	violations []string
	known      map[string]bool
	counts     map[string]int
}

// run is one run that a backend server began.
type run struct {
	vm          *vm
	incarnation uint64
	at          time.Time
}

// Report is what one run of the soak found.
type Report struct {
	Requests, Answered, NotRun, Failed, Broken int
	Violations                                 []string
}

// Bounds of the promises.
const (
	// zoneLimit is when a zone that was taken out gets no new work any more.
	zoneLimit = 5 * time.Second
	// drainLimit is how long a request may be on its way when a departure is acknowledged.
	drainLimit = 500 * time.Millisecond
	// Late answers and failures in calm times, as parts of a hundred and at least.
	lateShare, lateLeast     = 25, 8
	failedShare, failedLeast = 2, 5
	// maxTold is how many breaches of one promise are told.
	maxTold = 5
)

func newChecker(s *Soak) *checker {
	return &checker{
		soak: s, results: make(map[string]*result), runs: make(map[string][]run),
		leftAt: make(map[uint64]time.Time), known: make(map[string]bool), counts: make(map[string]int),
	}
}

// ran is told when a backend server begins a run.
func (c *checker) ran(v *vm, incarnation uint64, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id] = append(c.runs[id], run{vm: v, incarnation: incarnation, at: time.Now()})
}

// left is told when a node acknowledged that its backend server leaves.
func (c *checker) left(incarnation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leftAt[incarnation] = time.Now()
}

func (c *checker) finished(r *result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results[r.id] = r
}

// broken notes a broken promise, once for each text.
func (c *checker) broken(promise, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note(promise, format, args...)
}

func (c *checker) note(promise, format string, args ...any) {
	text := promise + ": " + fmt.Sprintf(format, args...)
	if c.known[text] || c.counts[promise] >= maxTold {
		return
	}
	c.known[text] = true
	c.counts[promise]++
	c.violations = append(c.violations, text)
	go c.soak.logf("BROKEN %s", text)
}

// watch checks all the while, and that no node goes back to an earlier revision.
func (c *checker) watch(ctx context.Context) {
	revisions := make(map[*vm]uint64)
	startsSeen := make(map[*vm]int64)
	for ctx.Err() == nil {
		for _, v := range c.soak.vms {
			starts := v.starts.Load()
			revision, ok := c.revision(ctx, v)
			if !ok || v.starts.Load() != starts {
				continue
			}
			if startsSeen[v] == starts && revision < revisions[v] {
				c.broken("no earlier revision", "%s went from %d to %d", v.name, revisions[v], revision)
			}
			revisions[v], startsSeen[v] = revision, starts
		}
		c.check()
		select {
		case <-ctx.Done():
		case <-time.After(checkInterval):
		}
	}
}

// revision reads the node's metrics.
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

// check looks at everything that is known so far.
func (c *checker) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late, c.calm, c.failed = 0, 0, 0
	for id, runs := range c.runs {
		c.checkRuns(id, runs)
	}
	for _, r := range c.results {
		c.checkResult(r)
	}
	if c.late > lateLeast && c.late*100 > lateShare*c.calm {
		c.note("time limit", "%d requests and more were held past it at sound nodes", lateLeast)
	}
	if c.failed > failedLeast && c.failed*100 > failedShare*c.calm {
		c.note("service", "%d in 100 requests and more had no answer in calm times", failedShare)
	}
}

func (c *checker) checkRuns(id string, runs []run) {
	r := c.results[id]
	if r == nil {
		return
	}
	if !r.kind.idempotent && len(runs) > 1 {
		c.note("at most once", "%s %s ran %d times, at %s and %s", r.kind.name, id, len(runs), runs[0].vm.name, runs[1].vm.name)
	}
	for _, one := range runs {
		c.checkRun(r, one)
	}
}

func (c *checker) checkRun(r *result, one run) {
	at := one.at.Sub(c.soak.began).Round(time.Millisecond)
	if r.kind.home != "" && one.vm.region != r.kind.home {
		c.note("home regions", "%s ran at %s", r.id, one.vm.name)
	}
	sound := one.vm.sound(one.at.Add(-contactTimeout), one.at)
	if sound && c.soak.operator.isOut(one.vm.zone, one.at, zoneLimit) {
		c.note("zone out of service", "%s ran at %s at %v", r.id, one.vm.name, at)
	}
	if left, gone := c.leftAt[one.incarnation]; gone && one.at.After(left.Add(drainLimit)) {
		c.note("backend server left", "%s ran at %s %v after it", r.id, one.vm.name, one.at.Sub(left))
	}
	if r.kind.name == "moving" && r.vm.sound(r.began.Add(-propagation), one.at) && !c.soak.operator.allowed(one.vm.service, r.began) {
		c.note("configuration", "%s ran at %s at %v, which no configuration in force allowed", r.id, one.vm.name, at)
	}
}

func (c *checker) checkResult(r *result) {
	ran := len(c.runs[r.id]) > 0
	if r.err == nil && r.outcome == notRun && ran && !r.kind.idempotent {
		c.note("not run", "%s %s ran at %s", r.kind.name, r.id, c.runs[r.id][0].vm.name)
	}
	if r.err == nil && r.outcome == answered && r.status == http.StatusOK && !r.own {
		c.note("own answers", "%s at %s got another answer than its own", r.id, r.vm.name)
	}
	if !r.connected || !r.vm.sound(r.began, r.ended) {
		return
	}
	inTime := r.ended.Sub(r.began) < timeLimit
	if r.err != nil && inTime && (ran || !r.reused && !r.vm.stopped(r.began, r.ended)) {
		c.note("no cut requests", "%s %s at %s after %v, ran %v: %v", r.kind.name, r.id, r.vm.name, r.ended.Sub(r.began).Round(time.Millisecond), ran, r.err)
	}
	if !c.soak.allSound(r.began, r.ended) {
		return
	}
	c.calm++
	if r.outcome != answered && !r.vm.stopped(r.began, r.ended) {
		c.explain(r)
		c.failed++
	}
	if r.ended.Sub(r.began) > timeLimit+timeSlack {
		c.late++
	}
}

// explain logs, once, a request that had no answer in calm times.
func (c *checker) explain(r *result) {
	if c.known[r.id] {
		return
	}
	c.known[r.id] = true
	go c.soak.logf("no answer: %s %s at %s, began at %v: %d %s %v", r.kind.name, r.id, r.vm.name, r.began.Sub(c.soak.began), r.status, r.said, r.err)
}

// allSound reports whether no VM was disturbed.
func (s *Soak) allSound(from, to time.Time) bool {
	return !slices.ContainsFunc(s.vms, func(v *vm) bool { return !v.sound(from, to) })
}

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
