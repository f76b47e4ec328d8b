package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// faultyShare and lateCopies are the largest dose of late second answers in a site file, in spans of at most
	// faultySpan: of the instances and of their answers.
	faultyShare = 0.6
	lateCopies  = 0.03
	faultySpan  = 5 * time.Second
	soundSpan   = time.Second
	spans       = 10
	// requestInterval is that of 1.7 times the requests that five instances can run: four slots each, and a mean of
	// 240 ms a run with the noise.
	requestInterval = 7 * time.Millisecond
)

// playRefused lets unsafe requests go to instances that are full at times. Some of the instances send some of their answers
// a second time, late.
func playRefused(p *play) (bool, error) {
	const host, prefix = "pay.example", "/deposit/"
	var err error
	if p.store, err = startStore(); err != nil {
		return false, err
	}
	p.configure("00000007",
		rule{name: "r-deposit", host: host, prefix: prefix, kind: "unsafe", service: "ledger", target: 0.4, timeout: 2.5},
		rule{name: "r-view", host: "view.example", prefix: "/view/", kind: "safe", service: "vitrine", target: 0.3, timeout: 2},
	)
	ledgers, err := p.startLedgers()
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	callers := newClients(p.record, p.nodes[0])
	faulty := ledgers[:int(faultyShare*float64(len(ledgers)))]
	for range spans {
		p.setLateCopies(faulty, lateCopies)
		callers.load(faultySpan, host, prefix)
		p.setLateCopies(faulty, 0)
		callers.load(soundSpan, host, prefix)
	}
	return p.checkRefused(callers.wait(), ledgers), nil
}

// startLedgers starts the nodes and the instances, and returns those of the ledger. The first node is that of the clients.
func (p *play) startLedgers() ([]*instance, error) {
	var ledgers []*instance
	for _, at := range []struct{ service, zone string }{
		{"vitrine", "almaty-a"},
		{"ledger", "almaty-a"},
		{"ledger", "almaty-a"},
		{"ledger", "almaty-a"},
		{"ledger", "almaty-b"},
		{"ledger", "almaty-b"},
	} {
		n, err := p.startNode(at.service, at.zone)
		if err != nil {
			return nil, err
		}
		if err := n.awaitReady(); err != nil {
			return nil, err
		}
		i, err := startInstance(p.record, n, behavior{slots: 4, queue: 2, work: 120 * time.Millisecond, noise: true})
		if err != nil {
			return nil, err
		}
		if at.service == "ledger" {
			ledgers = append(ledgers, i)
		}
	}
	return ledgers, nil
}

func (p *play) setLateCopies(instances []*instance, share float64) {
	if !p.trouble {
		return
	}
	for _, i := range instances {
		i.set(func(b *behavior) { b.lateCopies = share })
	}
}

// load sends unsafe requests.
func (c *clients) load(length time.Duration, host, prefix string) {
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); {
		<-ticker.C
		c.send(http.MethodPost, host, prefix+"2f", []byte("amount=1"), 2500*time.Millisecond)
	}
}

// checkRefused reports whether a request ran though its answer promises that it did not. It also notes those that ran more
// than once.
func (p *play) checkRefused(results []result, instances []*instance) bool {
	twice, refused := 0, 0
	for _, r := range results {
		runs := findRuns(r.id, instances)
		if len(runs) > 1 {
			twice++
			p.note("TWICE: %s, sent at %.4f s, ran %v and was answered %d", r.id, r.sent.Seconds(), runs, r.status)
		}
		if promisesNotRun(r.status) && len(runs) > 0 {
			refused++
			p.note("REFUSED: %s, sent at %.4f s, was answered %d and ran %v", r.id, r.sent.Seconds(), r.status, runs)
		}
	}
	p.note("client attempts %d, by status %v; TWICE %d, REFUSED %d", len(results), countStatuses(results), twice, refused)
	for _, i := range instances {
		i.mu.Lock()
		p.note("instance %s: answers %d, rejected health probes %d, late copies %d", i.id, i.answered, i.rejected, i.copied)
		i.mu.Unlock()
	}
	return refused > 0
}

// findRuns returns where and when a request ran.
func findRuns(id string, instances []*instance) []string {
	var runs []string
	for _, i := range instances {
		i.mu.Lock()
		for _, at := range i.runs[id] {
			runs = append(runs, fmt.Sprintf("%s at %.4f s", i.id, at.Seconds()))
		}
		i.mu.Unlock()
	}
	return runs
}

// promisesNotRun reports whether an answer with the status says that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
