package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	drainTimeout = 2500 * time.Millisecond
	// The clock of the machine is clockStep ahead when its instance starts, and back before the instance is up again after
	// a crash.
	clockStep   = 2 * time.Second
	crashAfter  = time.Second
	crashLasts  = 400 * time.Millisecond
	drainAfter  = 3500 * time.Millisecond
	servesAfter = 4 * time.Second
	drainRounds = 6
	// drainInterval is the pause between two requests.
	drainInterval = 20 * time.Millisecond
	drainWork     = 30 * time.Millisecond
)

// plainInstance is a stand-in for a sound instance that tells no load.
type plainInstance struct {
	*record
	*reporter

	mu     sync.Mutex
	server *http.Server
	runs   []started
}

// started is a request that began to run.
type started struct {
	id string
	at time.Duration
}

// up starts the instance on a machine whose clock is ahead.
func (i *plainInstance) up(ahead time.Duration) error {
	listener, err := net.Listen("tcp", i.node.instance)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(i.serve), ReadHeaderTimeout: time.Minute}
	i.mu.Lock()
	i.server = server
	i.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	i.begin(time.Now().Add(ahead))
	i.note("instance %s is up, its clock %v ahead", i.id, ahead)
	return nil
}

// down ends the instance with its connections.
func (i *plainInstance) down() {
	i.stop()
	i.mu.Lock()
	defer i.mu.Unlock()
	_ = i.server.Close()
	i.note("instance %s is down", i.id)
}

func (i *plainInstance) serve(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	if r.URL.Path == "/health" {
		header[wire.Headers.InstanceID] = []string{i.id}
		if i.leaves() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(wire.Headers.RequestID)
	header[wire.Headers.RequestID] = []string{id}
	if r.Header.Get(wire.Headers.Expect) != i.id {
		header[wire.Headers.InstanceID] = []string{i.id}
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	i.mu.Lock()
	i.runs = append(i.runs, started{id, time.Since(i.start)})
	i.mu.Unlock()
	i.note("instance %s: %s begins to run", i.id, id)
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(drainWork)
	header[wire.Headers.Stamp] = []string{i.id + "." + id}
	_, _ = io.WriteString(w, doneAnswer(id))
}

// playDrain lets instances start, crash, start again with the same identifier and leave. Where the clock of the machine was
// ahead at the first start, the second one seems to have begun before it.
func playDrain(p *play) (bool, error) {
	callers, err := p.startLedgers()
	if err != nil {
		return false, err
	}
	ended := make(chan struct{})
	callers.group.Go(func() { callers.sendUntil(ended, depositHost, depositPrefix) })
	late := 0
	for range drainRounds {
		n, err := p.playLeaving(p.nodes[2])
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

// depositHost and depositPrefix are those of the route of the deposits.
const (
	depositHost   = "pay.example"
	depositPrefix = "/deposit/"
)

// startLedgers starts the store, four nodes, and an instance that stays beside the second. An instance may be started beside the
// third, in the zone of the clients, who are at the first.
func (p *play) startLedgers() (*clients, error) {
	var err error
	if p.store, err = startStore(); err != nil {
		return nil, err
	}
	p.configure("00000007",
		rule{name: "r-deposit", host: depositHost, prefix: depositPrefix, kind: "unsafe", service: "ledger", target: 0.4, timeout: 2.5},
		rule{name: "r-view", host: "view.example", prefix: "/view/", kind: "safe", service: "vitrine", target: 0.3, timeout: 2},
	)
	for _, at := range []struct{ service, zone string }{
		{"vitrine", "almaty-a"},
		{"ledger", "almaty-b"},
		{"ledger", "almaty-a"},
		{"vitrine", "almaty-b"},
	} {
		n, err := p.startNode(at.service, at.zone)
		if err != nil {
			return nil, err
		}
		if err := n.awaitReady(); err != nil {
			return nil, err
		}
	}
	stays := &plainInstance{record: p.record, reporter: newReporter(p.nodes[1], 13)}
	if err := stays.up(0); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	return newClients(p.record, p.nodes[0]), nil
}

// sendUntil sends unsafe requests until the channel is closed.
func (c *clients) sendUntil(ended <-chan struct{}, host, prefix string) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
			c.send(http.MethodPost, host, prefix+"2f", []byte("amount=1"), 2500*time.Millisecond)
		}
	}
}

// playLeaving plays one instance beside the node. It returns the number of requests that reached it later than drainTimeout
// after its leaving was acknowledged.
func (p *play) playLeaving(n *node) (late int, err error) {
	i := &plainInstance{record: p.record, reporter: newReporter(n, 13)}
	ahead := time.Duration(0)
	if p.trouble {
		ahead = clockStep
	}
	if err := i.up(ahead); err != nil {
		return 0, err
	}
	time.Sleep(crashAfter)
	i.down()
	time.Sleep(crashLasts)
	if err := i.up(0); err != nil {
		return 0, err
	}
	time.Sleep(drainAfter)
	if !i.drain() {
		return 0, fmt.Errorf("the leaving of %s was not acknowledged", i.id)
	}
	acknowledged := time.Since(p.start)
	p.note("instance %s: draining is acknowledged", i.id)
	time.Sleep(servesAfter)
	i.remove()
	i.down()
	return i.countLate(acknowledged + drainTimeout), nil
}

// countLate returns the number of requests that reached the instance later than a time since the start.
func (i *plainInstance) countLate(bound time.Duration) (late int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, r := range i.runs {
		if r.at > bound {
			late++
			i.note("DRAIN: %s reached %s at %.4f s, later than %.4f s", r.id, i.id, r.at.Seconds(), bound.Seconds())
		}
	}
	i.note("instance %s ran %d requests, %d of them late", i.id, len(i.runs), late)
	return late
}
