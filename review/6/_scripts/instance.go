package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// behavior is how an instance works.
type behavior struct {
	// slots is the number of requests that it runs at once, queue the number of those that wait.
	slots, queue int
	// work is the mean time of a run.
	work time.Duration
	// noise makes the neighbours on the machine slow down the work at times.
	noise bool
	// readsLate makes a run read the body once its other work is done.
	readsLate bool
	// lateCopies is the share of the answers that are sent once more, late.
	lateCopies float64
}

// instance is a stand-in for an application instance. It doesn't tell its load, and it goes on with a request whose
// connection was closed.
type instance struct {
	*record
	*reporter
	slots chan struct{}
	// seed is that of the noise.
	seed uint64

	mu       sync.Mutex
	behavior behavior
	waiting  int
	// runs are the times at which the requests began to run.
	runs map[string][]time.Duration
	// answered, rejected and copied count answers in all, rejected health checks and late copies.
	answered, rejected, copied int
}

// startInstance starts the instance beside a node and reports it as ready.
func startInstance(r *record, n *node, b behavior) (*instance, error) {
	listener, err := net.Listen("tcp", n.instance)
	if err != nil {
		return nil, err
	}
	i := &instance{
		record: r, reporter: newReporter(n, b.slots),
		slots: make(chan struct{}, b.slots), seed: rand.Uint64(), behavior: b, runs: make(map[string][]time.Duration),
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go i.serve(&answering{Conn: conn})
		}
	}()
	i.begin(time.Now())
	r.note("instance %s of service %s started at %s", i.id, n.service, n.instance)
	return i, nil
}

// answering is a connection on which whole answers are written one at a time.
type answering struct {
	net.Conn
	mu sync.Mutex
}

func (a *answering) Write(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Conn.Write(p)
}

func (i *instance) serve(conn *answering) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		i.answer(conn, i.handle(request))
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
	}
}

// handle returns the answer to a request.
func (i *instance) handle(request *http.Request) []byte {
	id := request.Header.Get("X-Request-Id")
	if request.URL.Path == "/health" {
		if !i.takeSlot() {
			i.count(&i.rejected)
			return format(503, "", "X-Not-Executed: 1\r\nX-Instance-Id: "+i.id+"\r\n", "")
		}
		<-i.slots
		return format(200, "", "X-Instance-Id: "+i.id+"\r\n", "")
	}
	if id == "" {
		return format(400, "", "X-Not-Executed: 1\r\n", "")
	}
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != i.id {
		return format(421, id, "X-Instance-Id: "+i.id+"\r\n", "")
	}
	left, _ := strconv.Atoi(request.Header.Get("X-Deadline-Milliseconds"))
	deadline := time.Now().Add(time.Duration(left) * time.Millisecond)
	if !i.takeSlot() {
		i.note("instance %s: %s not run, full", i.id, id)
		return format(503, id, "X-Not-Executed: 1\r\n", "")
	}
	defer func() { <-i.slots }()
	if left > 0 && time.Now().After(deadline) {
		return format(503, id, "X-Not-Executed: 1\r\n", "")
	}
	return i.run(request, id, deadline)
}

// run runs a request and returns its answer.
func (i *instance) run(request *http.Request, id string, deadline time.Time) []byte {
	i.note("instance %s: %s begins to run, %s %s, %d bytes, deadline in %v", i.id, id, request.Method, request.RequestURI, request.ContentLength, time.Until(deadline).Round(time.Millisecond))
	i.mu.Lock()
	i.runs[id] = append(i.runs[id], time.Since(i.start))
	b := i.behavior
	i.mu.Unlock()
	if !b.readsLate && !readBody(request) {
		i.note("instance %s: the body of %s broke off", i.id, id)
		return nil
	}
	// The times spread by three tenths.
	work := time.Duration(float64(b.work) * (0.7 + 0.6*rand.Float64()))
	if b.noise {
		work *= i.slowness()
	}
	time.Sleep(min(work, time.Until(deadline)))
	if time.Now().After(deadline) {
		i.note("instance %s: %s reached its deadline", i.id, id)
		return format(504, id, "X-Server-Stamp: "+i.id+"\r\n", "")
	}
	if b.readsLate && !readBody(request) {
		i.note("instance %s: the body of %s broke off", i.id, id)
		return nil
	}
	i.note("instance %s: %s ends", i.id, id)
	return format(200, id, "X-Server-Stamp: "+i.id+"."+id+"\r\n", doneAnswer(id))
}

// noiseWindow is how long the neighbours on the machine stay as they are. In a quarter of the windows work takes five
// times as long.
const noiseWindow = 150 * time.Millisecond

// slowness returns how long work takes that begins now, as a multiple of the usual time.
func (i *instance) slowness() time.Duration {
	window := uint64(time.Since(i.start) / noiseWindow)
	if rand.New(rand.NewPCG(i.seed, window)).Float64() < 0.25 {
		return 5
	}
	return 1
}

// doneAnswer returns the body of the answer to a request.
func doneAnswer(id string) string { return "done " + id + "\n" }

// readBody reads the whole body and reports whether it did.
func readBody(request *http.Request) bool {
	_, err := io.Copy(io.Discard, request.Body)
	return err == nil
}

// format returns an answer. It echoes the identifier if the request had one.
func format(status int, id, headers, body string) []byte {
	if id != "" {
		headers = "X-Request-Id: " + id + "\r\n" + headers
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headers, len(body), body)
}

// takeSlot waits for a slot, unless the queue is full. Only a request whose wait has ended leaves the queue.
func (i *instance) takeSlot() bool {
	select {
	case i.slots <- struct{}{}:
		return true
	default:
	}
	i.mu.Lock()
	if i.waiting >= i.behavior.queue {
		i.mu.Unlock()
		return false
	}
	i.waiting++
	i.mu.Unlock()
	i.slots <- struct{}{}
	i.mu.Lock()
	i.waiting--
	i.mu.Unlock()
	return true
}

func (i *instance) count(n *int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	*n++
}

// Bounds on how late the copy of an answer is.
const (
	minLate = 10 * time.Millisecond
	maxLate = 600 * time.Millisecond
)

// answer writes an answer, and with a copy of it later if the instance is faulty. Without an answer it closes the
// connection.
func (i *instance) answer(conn *answering, answer []byte) {
	if answer == nil {
		_ = conn.Close()
		return
	}
	_, _ = conn.Write(answer)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.answered++
	if rand.Float64() >= i.behavior.lateCopies {
		return
	}
	i.copied++
	late := minLate + rand.N(maxLate-minLate)
	time.AfterFunc(late, func() {
		if _, err := conn.Write(answer); err == nil {
			i.note("instance %s: the answer %q is sent once more, %v late", i.id, bytes.SplitN(answer, []byte("Content-Length"), 2)[0], late.Round(time.Millisecond))
		}
	})
}

// set changes the behavior.
func (i *instance) set(change func(b *behavior)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	change(&i.behavior)
}
