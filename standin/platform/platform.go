// Package platform is a stand-in for the platform's table service, for tests.
package platform

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/state/storer"
)

// Platform is an http.Handler that serves an in-memory table and injects faults, which can be set
// while it runs.
type Platform struct {
	table *storer.Storer
	mux   *http.ServeMux
	calls atomic.Int64

	mu     sync.Mutex
	faults Faults
}

// Faults are the faults that a Platform injects.
type Faults struct {
	// Down makes the platform answer every call with status 503.
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswers is the number of upcoming writes that take effect but are not answered.
	LoseAnswers int
	// DownAfterLoss makes the platform go down after a write whose answer was lost.
	DownAfterLoss bool
	// TurnedAway are the hosts whose calls are answered with status 503.
	TurnedAway []netip.Addr
	// DropWrites is the number of upcoming writes that neither take effect nor are answered.
	DropWrites int
}

// New returns an empty platform without faults.
func New() *Platform {
	p := &Platform{table: storer.New(), mux: http.NewServeMux()}
	p.mux.HandleFunc("GET /table/{key}", p.read)
	p.mux.HandleFunc("GET /table", p.scan)
	p.mux.HandleFunc("GET /changes/{key}", p.changes)
	p.mux.HandleFunc("POST /transactions", p.commit)
	return p
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// Calls returns the number of calls so far, without those to /standin.
func (p *Platform) Calls() int64 { return p.calls.Load() }

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/standin" {
		p.serveFaults(w, r)
		return
	}
	p.calls.Add(1)
	faults := p.currentFaults()
	time.Sleep(faults.Delay)
	if faults.Down || faults.turnsAway(r.RemoteAddr) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	write := r.Method != http.MethodGet
	if write && p.consumeFault(func(f *Faults) *int { return &f.DropWrites }) {
		panic(http.ErrAbortHandler)
	}
	if write && p.consumeFault(func(f *Faults) *int { return &f.LoseAnswers }) {
		p.mux.ServeHTTP(discardWriter{}, r)
		p.applyDownAfterLoss()
		panic(http.ErrAbortHandler)
	}
	p.mux.ServeHTTP(w, r)
}

// turnsAway reports whether calls from an address are turned away.
func (f Faults) turnsAway(address string) bool {
	from, err := netip.ParseAddrPort(address)
	return err == nil && slices.Contains(f.TurnedAway, from.Addr())
}

// applyDownAfterLoss sets Down to DownAfterLoss, also if that is false. It is called after each write
// whose answer was lost.
func (p *Platform) applyDownAfterLoss() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.Down = p.faults.DownAfterLoss
}

// serveFaults replaces the faults with the JSON in the body.
func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(faults)
}

func (p *Platform) currentFaults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// consumeFault decrements a counter in the faults unless it is zero, and reports whether it did.
func (p *Platform) consumeFault(counter func(*Faults) *int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := counter(&p.faults)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	row, err := p.table.Read(r.Context(), r.PathValue("key"))
	writeRow(w, row, err)
}

// changesInterval is the pause between two looks for a change.
const changesInterval = 10 * time.Millisecond

// changes answers with a row as soon as its version is above the one in the query, or with status 204 after the wait.
func (p *Platform) changes(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	for until := time.Now().Add(time.Duration(wait) * time.Millisecond); r.Context().Err() == nil; time.Sleep(changesInterval) {
		row, err := p.table.Read(r.Context(), r.PathValue("key"))
		if err == nil && row.Version.Version > after {
			writeRow(w, row, nil)
			return
		}
		if !time.Now().Before(until) {
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
}

func (p *Platform) scan(w http.ResponseWriter, r *http.Request) {
	rows, _ := p.table.Scan(r.Context(), r.URL.Query().Get("prefix"))
	_ = json.NewEncoder(w).Encode(rows)
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var transaction eelgrasspoint.Transaction
	if err := json.NewDecoder(r.Body).Decode(&transaction); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeCommitResult(w, p.table.Commit(r.Context(), transaction))
}

func writeRow(w http.ResponseWriter, row eelgrasspoint.Row, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(row.Version.Version, 10)))
	_, _ = w.Write(row.Value)
}

// writeCommitResult answers with status 204, or with status 412 and the key and present version of
// the failed condition as JSON.
func writeCommitResult(w http.ResponseWriter, err error) {
	if err == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.WriteHeader(http.StatusPreconditionFailed)
	_ = json.NewEncoder(w).Encode(err)
}

// discardWriter is an http.ResponseWriter that discards the answer.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (discardWriter) WriteHeader(int)             {}
