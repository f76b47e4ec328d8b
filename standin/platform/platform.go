// Package platform stands in for the table service in tests.
package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/state/storer"
)

// Platform is an http.Handler with faults that can be set while it runs.
type Platform struct {
	memory *storer.Storer
	mux    *http.ServeMux
	calls  atomic.Int64

	mu     sync.Mutex
	faults Faults
}

// Faults are what the stand-in can be told to do.
type Faults struct {
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswers is the number of writes to come that take effect without an answer.
	LoseAnswers int
	// DownAfterLoss makes it go down after an answer was lost.
	DownAfterLoss bool
	// DropWrites is the number of writes to come that neither take effect nor are answered.
	DropWrites int
}

// New returns an empty platform without faults.
func New() *Platform {
	p := &Platform{memory: storer.New(), mux: http.NewServeMux()}
	p.mux.HandleFunc("GET /table/{key}", p.read)
	p.mux.HandleFunc("GET /table", p.scan)
	p.mux.HandleFunc("POST /transactions", p.commit)
	return p
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// Calls returns the number of calls so far.
func (p *Platform) Calls() int64 { return p.calls.Load() }

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/standin" {
		p.control(w, r)
		return
	}
	p.calls.Add(1)
	faults := p.current()
	time.Sleep(faults.Delay)
	if faults.Down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	write := r.Method != http.MethodGet
	if write && p.take(func(f *Faults) *int { return &f.DropWrites }) {
		panic(http.ErrAbortHandler)
	}
	if write && p.take(func(f *Faults) *int { return &f.LoseAnswers }) {
		p.mux.ServeHTTP(discard{}, r)
		p.fallAfterLoss()
		panic(http.ErrAbortHandler)
	}
	p.mux.ServeHTTP(w, r)
}

func (p *Platform) fallAfterLoss() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.Down = p.faults.DownAfterLoss
}

func (p *Platform) control(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(faults)
}

func (p *Platform) current() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

func (p *Platform) take(count func(*Faults) *int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := count(&p.faults)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	row, err := p.memory.Read(r.Context(), r.PathValue("key"))
	answerRow(w, row, err)
}

func (p *Platform) scan(w http.ResponseWriter, r *http.Request) {
	rows, _ := p.memory.Scan(r.Context(), r.URL.Query().Get("prefix"))
	_ = json.NewEncoder(w).Encode(rows)
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var transaction eelgrasspoint.Transaction
	if err := json.NewDecoder(r.Body).Decode(&transaction); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answerWrite(w, p.memory.Commit(r.Context(), transaction))
}

func answerRow(w http.ResponseWriter, row eelgrasspoint.Row, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(row.Version, 10)))
	_, _ = w.Write(row.Value)
}

func answerWrite(w http.ResponseWriter, err error) {
	if err == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.WriteHeader(http.StatusPreconditionFailed)
	_ = json.NewEncoder(w).Encode(err)
}

// discard takes an answer that is to be lost.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}
