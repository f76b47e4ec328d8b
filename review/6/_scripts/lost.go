package main

import (
	"bytes"
	"net/http"
	"slices"
	"syscall"
	"time"
)

const (
	// uploadBytes is the length of the uploads.
	uploadBytes = 300 << 10
	uploadTime  = 2500 * time.Millisecond
	gracePeriod = 6 * time.Second
)

// playLost stops the node of the clients, several times, while their uploads are at work at an instance beside another
// node. The instance reads a body once its other work is done; while it is slow, that takes twelve times as long.
func playLost(p *play) (bool, error) {
	const host, prefix = "photos.example", "/breakage/"
	var err error
	if p.store, err = startStore(); err != nil {
		return false, err
	}
	p.configure("00000007",
		rule{name: "r-photos", host: host, prefix: prefix, kind: "upload", service: "ledger", target: 0.4, timeout: uploadTime.Seconds()},
		rule{name: "r-view", host: "view.example", prefix: "/view/", kind: "safe", service: "vitrine", target: 0.3, timeout: 2},
	)
	exit, err := p.startNode("ledger", "almaty-b")
	if err != nil {
		return false, err
	}
	if err := exit.awaitReady(); err != nil {
		return false, err
	}
	usual := behavior{slots: 13, queue: 26, work: 83 * time.Millisecond, readsLate: true}
	ledger, err := startInstance(p.record, exit, usual)
	if err != nil {
		return false, err
	}
	broken := false
	for range 4 {
		ledger.set(func(b *behavior) { *b = usual })
		entry, err := p.startNode("vitrine", "almaty-a")
		if err != nil {
			return false, err
		}
		if err := entry.awaitReady(); err != nil {
			return false, err
		}
		time.Sleep(4 * time.Second)
		if p.trouble {
			ledger.set(func(b *behavior) { b.work *= 12 })
		}
		callers := newClients(p.record, entry)
		body := bytes.Repeat([]byte("0123456789abcdef"), uploadBytes/16)
		for range 4 {
			callers.send(http.MethodPost, host, prefix+"2f", body, uploadTime)
			time.Sleep(50 * time.Millisecond)
		}
		stoppedAt := time.Since(p.start)
		p.note("SIGTERM to node %s", entry.name)
		entry.signal(syscall.SIGTERM)
		results := callers.wait()
		<-entry.ended
		broken = p.checkLost(results, ledger, stoppedAt) || broken
	}
	return broken, nil
}

// checkLost reports whether the node that was stopped broke off a request at which the instance was at work, or closed
// its connection without a whole answer. It counts none that ended in the last sixth of the grace period or had used up its
// time.
func (p *play) checkLost(results []result, i *instance, stoppedAt time.Duration) bool {
	broken := false
	for _, r := range results {
		i.mu.Lock()
		runs := slices.Clone(i.runs[r.id])
		i.mu.Unlock()
		switch {
		case len(runs) == 0 || r.stamp != "":
		case r.ended < stoppedAt, r.ended > stoppedAt+gracePeriod*5/6, r.ended-r.sent > uploadTime-200*time.Millisecond:
			p.note("not counted: %s", r.id)
		default:
			broken = true
			p.note("LOST: %s, sent at %.4f s, was at work since %.4f s; SIGTERM came at %.4f s, and at %.4f s it got status %d without a stamp, error %v",
				r.id, r.sent.Seconds(), runs[0].Seconds(), stoppedAt.Seconds(), r.ended.Seconds(), r.status, r.err)
		}
	}
	return broken
}
