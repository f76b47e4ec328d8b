package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store.
type row struct {
	Table   string
	Part    string `json:"part"`
	Key     string
	Value   []byte
	Deleted bool
	version uint64
}

// MarshalJSON returns the form of the wire.
func (r row) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]any{
		"Table": r.Table, "part": r.Part, "Key": r.Key, "Value": r.Value, "Deleted": r.Deleted, wire.RowVersion: r.version,
	})
}

// UnmarshalJSON reads the form of the wire.
func (r *row) UnmarshalJSON(text []byte) error {
	type plain row
	if err := json.Unmarshal(text, (*plain)(r)); err != nil {
		return err
	}
	var others map[string]json.RawMessage
	if err := json.Unmarshal(text, &others); err != nil {
		return err
	}
	if version, found := others[wire.RowVersion]; found {
		return json.Unmarshal(version, &r.version)
	}
	return nil
}

// state is what a copy of the store holds.
type state struct {
	version uint64
	rows    map[string]row
	history []row
}

func (s *state) clone() state {
	return state{s.version, maps.Clone(s.rows), slices.Clone(s.history)}
}

// store is a stand-in for the platform's store: rows, transactions and the feed of changes.
type store struct {
	startedAt time.Time
	listener  net.Listener
	server    *http.Server

	mu      sync.Mutex
	state   state
	era     int
	away    bool
	changed chan struct{}
	conns   map[net.Conn]bool
}

func newStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{
		startedAt: time.Now(), listener: listener, era: 1, changed: make(chan struct{}),
		state: state{version: 100, rows: make(map[string]row)}, conns: make(map[net.Conn]bool),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.TransactionPath, s.commit)
	mux.HandleFunc("GET "+wire.ReadPath, s.get)
	mux.HandleFunc("GET "+wire.FeedPath, s.feed)
	s.server = &http.Server{Handler: s.withEra(mux), ConnState: s.track}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// track closes new connections while the store is away.
func (s *store) track(c net.Conn, connState http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch connState {
	case http.StateNew:
		s.conns[c] = true
		if s.away {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

func (s *store) withEra(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		era, away := s.era, s.away
		s.mu.Unlock()
		if away {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(wire.StoreEra, strconv.Itoa(era))
		w.Header().Set("Content-Type", "application/json")
		next.ServeHTTP(w, r)
	})
}

// copyState returns a copy of the store as it is now.
func (s *store) copyState() state {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.clone()
}

// goAway closes all connections; calls fail until comeBack.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	for c := range s.conns {
		_ = c.Close()
	}
	s.signal()
}

// comeBack ends goAway. With a copy, the store goes on from that and raises its era.
func (s *store) comeBack(from *state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	if from != nil {
		s.state = from.clone()
		s.era++
	}
	s.signal()
}

// signal wakes the calls that wait for changes. The caller holds the lock.
func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) currentVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.version
}

func rowID(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// put writes a row as the operator does, and returns its version.
func (s *store) put(table, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.version++
	s.apply(row{Table: table, Key: key, Value: value, version: s.state.version})
	s.signal()
	return s.state.version
}

// remove removes a row as the operator does.
func (s *store) remove(table, key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.version++
	s.apply(row{Table: table, Key: key, version: s.state.version, Deleted: true})
	s.signal()
	return s.state.version
}

func (s *store) apply(r row) {
	if r.Deleted {
		delete(s.state.rows, rowID(r.Table, r.Part, r.Key))
	} else {
		s.state.rows[rowID(r.Table, r.Part, r.Key)] = r
	}
	s.state.history = append(s.state.history, r)
}

type transaction struct {
	ExpectedRevision []row
	Puts             []row
	Remove           []row
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(3 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, written := range slices.Concat(t.Puts, t.Remove) {
		if written.Table == "op" || written.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	var conflicts []row
	for _, c := range t.ExpectedRevision {
		if current := s.state.rows[rowID(c.Table, c.Part, c.Key)]; current.version != c.version {
			conflicts = append(conflicts, current)
		}
	}
	if len(conflicts) > 0 {
		w.WriteHeader(http.StatusPreconditionFailed)
		s.answer(w, conflicts, false)
		return
	}
	s.state.version++
	for _, p := range t.Puts {
		p.version = s.state.version
		s.apply(p)
	}
	for _, p := range t.Remove {
		p.version, p.Deleted = s.state.version, true
		s.apply(p)
	}
	s.signal()
	s.answer(w, nil, false)
}

// answer writes rows as JSON. The caller holds the lock.
func (s *store) answer(w http.ResponseWriter, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"Rows": rows, "HasMore": more, wire.RowVersion: s.state.version, "NowS": time.Since(s.startedAt).Seconds(),
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, candidate := range s.state.rows {
		if candidate.Table != q.Get("Table") || candidate.Part != q.Get("part") || candidate.Key < q.Get("RangeStart") {
			continue
		}
		if to := q.Get("To"); to != "" && candidate.Key >= to {
			continue
		}
		rows = append(rows, candidate)
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	limit, err := strconv.Atoi(q.Get("ResultLimit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	more := len(rows) > limit
	s.answer(w, rows[:min(limit, len(rows))], more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		if s.away {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after > s.state.version {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var rows []row
		for _, change := range s.state.history {
			if change.Table == q.Get("Table") && change.version > after {
				rows = append(rows, change)
			}
		}
		if len(rows) > 0 || expired {
			s.answer(w, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}
