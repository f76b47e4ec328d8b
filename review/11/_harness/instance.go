package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	slots        = 13
	beatInterval = 1500 * time.Millisecond
)

// arrival is a request that an instance has run.
type arrival struct {
	At       time.Time
	Instance string
	Zone     string
	ID       string
	Path     string
	// Crashes is set if the request crashes the instance.
	Crashes bool
}

// instance is a stand-in for an instance of a service.
type instance struct {
	name, service, zone, address, announceTo string
	born                                     int64
	work                                     time.Duration
	record                                   func(arrival)

	running  atomic.Int32
	sequence atomic.Uint64
	mu       sync.Mutex
	limit    string
	leaving  bool
	closed   bool
	lifetime int
	// capture is the text of the records at pathCaptures.
	capture string
	server  *http.Server
	stop    context.CancelFunc
}

// bodyCrash is the body of a request that crashes each instance that begins to run it, and crashTime how long the
// instance is down then.
const (
	bodyCrash = "a booking that crashes"
	crashTime = 2 * time.Second
)

// start begins a lifetime of the instance, with an identifier of its own.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return nil
	}
	listener, err := net.Listen("tcp", i.address)
	if err != nil {
		return err
	}
	i.lifetime++
	i.born = time.Now().UnixMilli()
	i.sequence.Store(0)
	server := &http.Server{Handler: i}
	ctx, cancel := context.WithCancel(context.Background())
	i.server, i.stop = server, cancel
	go func() { _ = server.Serve(listener) }()
	go i.beat(ctx)
	return nil
}

// id returns the identifier of the current lifetime.
func (i *instance) id() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return fmt.Sprintf("%s-%d", i.name, i.lifetime)
}

// end ends the lifetime without a word, as a crash does.
func (i *instance) end() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.stop != nil {
		i.stop()
		_ = i.server.Close()
	}
}

func (i *instance) close() {
	i.mu.Lock()
	i.closed = true
	i.mu.Unlock()
	i.end()
}

// crash ends the lifetime, and begins the next one after crashTime.
func (i *instance) crash() {
	i.end()
	time.AfterFunc(crashTime, func() { _ = i.start() })
}

// beat reports the instance to its node until the context ends.
func (i *instance) beat(ctx context.Context) {
	for ctx.Err() == nil {
		i.announce("ready")
		select {
		case <-ctx.Done():
		case <-time.After(beatInterval):
		}
	}
}

// announce makes one liveness report, and reports whether it was acknowledged.
func (i *instance) announce(state string) bool {
	body := fill(reportTemplate, struct {
		Address, Service, Zone, State string
		Born                          int64
		Slots                         int
		Sequence                      uint64
	}{i.address, i.service, i.zone, state, i.born, slots, i.sequence.Add(1)})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+i.announceTo+wire.InstancesPath+i.id(), bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode/100 == 2
}

func (i *instance) setCapture(text string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.capture = text
}

func (i *instance) captured() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.capture
}

func (i *instance) setNotice(limit string, leaving bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.limit, i.leaving = limit, leaving
}

// ServeHTTP implements http.Handler.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i.mu.Lock()
	limit, leaving := i.limit, i.leaving
	i.mu.Unlock()
	instanceID := i.id()
	header := w.Header()
	header.Set(wire.InstanceLoad, fmt.Sprintf("%d,0,%d,100", i.running.Load(), slots))
	if limit != "" {
		header.Set("Server-Limit", limit)
	}
	if leaving {
		header.Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/health" {
		header.Set(wire.InstanceID, instanceID)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(wire.RequestID)
	header.Set(wire.RequestID, id)
	switch expected := r.Header.Get(wire.ExpectInstance); {
	case expected != "" && expected != instanceID:
		header.Set(wire.InstanceID, instanceID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		header.Set(wire.NotExecuted, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if i.running.Add(1) > slots {
		i.running.Add(-1)
		header.Set(wire.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer i.running.Add(-1)
	body, _ := io.ReadAll(r.Body)
	crashes := string(body) == bodyCrash
	i.record(arrival{time.Now(), i.name, i.zone, id, r.URL.Path, crashes})
	if crashes {
		i.crash()
		return
	}
	select {
	case <-time.After(i.work):
	case <-r.Context().Done():
		return
	}
	header.Set(wire.ServerStamp, "stamp-"+id)
	if r.URL.Path == pathCaptures {
		body := captures(i.captured())
		header.Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
		return
	}
	_, _ = io.WriteString(w, "answer of "+instanceID+" to "+id+"\n")
}
