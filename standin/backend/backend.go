// Package backend is a stand-in for a backend server, for tests.
package backend

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Backend is an http.Handler that counts the runs of every request identifier. After the service
// time it answers with the request's body, or with the number of bytes in the query parameter Bytes.
type Backend struct {
	service string
	slots   chan struct{}
	crash   func()

	mu         sync.Mutex
	behavior   Behavior
	runs       map[string]int
	inUse      int
	maxInUse   int
	lastHeader http.Header
	startedAt  time.Time
}

// Behavior configures the service time and the faults of a Backend.
type Behavior struct {
	// ServiceTime is the duration of a run when the backend server is warm.
	ServiceTime time.Duration
	// ColdTime is the warm-up time after the start, in which a run takes ColdFactor times as long.
	ColdTime   time.Duration
	ColdFactor float64
	// ColdSlots, unless zero, is the number of requests in flight, those that wait for a slot included,
	// above which a cold backend server is overloaded: the run of a request that arrives then also takes
	// (requests in flight / ColdSlots)² times as long, so that the throughput falls.
	ColdSlots int
	// Noise makes some runs slower, as a noisy neighbor on the same hardware does.
	Noise Noise
	// Full makes the backend server answer every request with status 503 at once, as when it sheds load.
	Full bool
	// FailFast makes the backend server answer every request with status 500 at once.
	FailFast bool
	// Hang is the share of the requests that the backend server accepts and never answers.
	Hang float64
	// Drop makes the backend server close the connection without an answer after it has run a request.
	Drop bool
	// RateLimit, unless zero, is the number of requests per second that the backend server names as its limit in its
	// answers.
	RateLimit float64
	// Leaving makes the backend server say in its answers that it is about to end.
	Leaving bool
	// TruncateAfter, unless zero, is the number of bytes after which every answer is cut off.
	TruncateAfter int
}

// Noise slows down the runs of requests that arrive in some windows of time. Every is the length of a
// window, Share is the probability that a window is slow, and Factor multiplies the service time in slow
// windows.
type Noise struct {
	Every  time.Duration
	Share  float64
	Factor float64
	Seed   uint64
}

// slowdown returns the factor on the service time of a request that arrives at the time.
func (n Noise) slowdown(at time.Time) float64 {
	if n.Every == 0 {
		return 1
	}
	window := uint64(at.UnixNano()) / uint64(n.Every)
	if rand.New(rand.NewPCG(n.Seed, window)).Float64() < n.Share {
		return n.Factor
	}
	return 1
}

// HeaderCrash is the header of a request that crashes the backend server while it runs the request.
const HeaderCrash = "Standin-Crash"

// HeaderEcho is the header of an answer that repeats the identifier of the answered request.
const HeaderEcho = "Standin-Request-Id"

// New returns a backend server that runs at most slots requests at once; crash ends its process.
func New(service string, slots int, behavior Behavior, crash func()) *Backend {
	return &Backend{
		service: service, slots: make(chan struct{}, slots), crash: crash,
		behavior: behavior, runs: make(map[string]int), startedAt: time.Now(),
	}
}

// SetBehavior replaces the behavior.
func (b *Backend) SetBehavior(behavior Behavior) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behavior = behavior
}

// Restart makes the backend server cold again. Its announcements keep their incarnation, so they don't
// show the restart to the node.
func (b *Backend) Restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startedAt = time.Now()
}

// Runs returns the number of runs by request identifier. Every request that arrives counts, also one
// that is answered with an error or canceled before it gets a slot.
func (b *Backend) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs := make(map[string]int, len(b.runs))
	for id, n := range b.runs {
		runs[id] = n
	}
	return runs
}

// MaxInUse returns the highest number of requests in flight at once, those that wait for a slot
// included.
func (b *Backend) MaxInUse() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.maxInUse
}

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	behavior, duration := b.beginRun(r.Header)
	defer b.endRun()
	if r.Header.Get(HeaderCrash) != "" {
		b.crash()
		panic(http.ErrAbortHandler)
	}
	if behavior.Full || behavior.FailFast {
		w.WriteHeader(map[bool]int{true: http.StatusServiceUnavailable, false: http.StatusInternalServerError}[behavior.Full])
		return
	}
	if rand.Float64() < behavior.Hang {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !b.run(r, duration) {
		return
	}
	if behavior.Drop {
		panic(http.ErrAbortHandler)
	}
	behavior.writeNotice(w.Header())
	w.Header().Set("Standin-Service", b.service)
	w.Header().Set(HeaderEcho, r.Header.Get("Eelgrass-Request-Id"))
	b.writeResponse(w, r, behavior)
}

// ServeControl lets another process control the backend server: GET returns Runs and MaxInUse as
// JSON, and any other method replaces the behavior with the JSON in the body.
func (b *Backend) ServeControl(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		_ = json.NewEncoder(w).Encode(struct {
			Runs     map[string]int
			MaxInUse int
		}{b.Runs(), b.MaxInUse()})
		return
	}
	var behavior Behavior
	if err := json.NewDecoder(r.Body).Decode(&behavior); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.SetBehavior(behavior)
}

// LastHeader returns the headers of the latest request.
func (b *Backend) LastHeader() http.Header {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastHeader
}

// beginRun records a request that arrives and returns the behavior and the duration of its run, without
// the wait for a slot.
func (b *Backend) beginRun(header http.Header) (Behavior, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastHeader = header
	b.runs[header.Get("Eelgrass-Request-Id")]++
	b.inUse++
	b.maxInUse = max(b.maxInUse, b.inUse)
	duration := time.Duration(float64(b.behavior.ServiceTime) * b.behavior.Noise.slowdown(time.Now()))
	if time.Since(b.startedAt) < b.behavior.ColdTime {
		duration = time.Duration(float64(duration) * b.behavior.ColdFactor * b.coldOverloadFactor())
	}
	return b.behavior, duration
}

// coldOverloadFactor returns the factor on the duration of the run of a request that arrives at a cold
// backend server: 1 up to ColdSlots requests in flight, those that wait for a slot included; beyond it
// the square of the ratio of requests in flight to ColdSlots. The caller holds mu.
func (b *Backend) coldOverloadFactor() float64 {
	if b.behavior.ColdSlots == 0 || b.inUse <= b.behavior.ColdSlots {
		return 1
	}
	ratio := float64(b.inUse) / float64(b.behavior.ColdSlots)
	return ratio * ratio
}

func (b *Backend) endRun() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inUse--
}

// run occupies a slot for the duration. It reports false if the request was canceled meanwhile.
func (b *Backend) run(r *http.Request, duration time.Duration) bool {
	select {
	case b.slots <- struct{}{}:
	case <-r.Context().Done():
		return false
	}
	defer func() { <-b.slots }()
	if duration == 0 {
		return true
	}
	select {
	case <-time.After(duration):
		return true
	case <-r.Context().Done():
		return false
	}
}

// writeNotice sets the headers in which a backend server speaks of itself.
func (b *Behavior) writeNotice(header http.Header) {
	if b.RateLimit > 0 {
		header.Set("Eelgrass-Rate-Limit", strconv.FormatFloat(b.RateLimit, 'f', -1, 64))
	}
	if b.Leaving {
		header.Set("Eelgrass-Leaving", "1")
	}
}

func (b *Backend) writeResponse(w http.ResponseWriter, r *http.Request, behavior Behavior) {
	if behavior.TruncateAfter > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(2*behavior.TruncateAfter))
		_, _ = w.Write(make([]byte, behavior.TruncateAfter))
		return
	}
	if n, err := strconv.ParseInt(r.URL.Query().Get("Bytes"), 10, 64); err == nil {
		w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
		_, _ = io.CopyN(w, patternReader{}, n)
		return
	}
	// Without full duplex, the HTTP/1 server consumes the rest of the request's body before the answer
	// begins.
	_ = http.NewResponseController(w).EnableFullDuplex()
	if _, err := io.Copy(w, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// patternReader is an endless reader of a repeated byte pattern.
type patternReader struct{}

func (patternReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(i)
	}
	return len(p), nil
}
