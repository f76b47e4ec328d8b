package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storedRow is a row of the platform's store.
type storedRow struct {
	table, key string
	value      []byte
	version    uint64
	deleted    bool
}

// MarshalJSON implements json.Marshaler.
func (r storedRow) MarshalJSON() ([]byte, error) {
	fields := map[string]any{"Table": r.table, "part": "", "Key": r.key, wire.Fields.Version: r.version}
	if r.deleted {
		fields["Deleted"] = true
	} else {
		fields["Value"] = r.value
	}
	return json.Marshal(fields)
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *storedRow) UnmarshalJSON(text []byte) error {
	var fields struct {
		Table, Key string
		Value      []byte
	}
	if err := json.Unmarshal(text, &fields); err != nil {
		return err
	}
	var numbers map[string]json.RawMessage
	if err := json.Unmarshal(text, &numbers); err != nil {
		return err
	}
	r.table, r.key, r.value = fields.Table, fields.Key, fields.Value
	if number, found := numbers[wire.Fields.Version]; found {
		return json.Unmarshal(number, &r.version)
	}
	return nil
}

// store is a stand-in for the platform's store. It keeps its whole history.
type store struct {
	address string
	start   time.Time

	mu      sync.Mutex
	isDown  bool
	version uint64
	rows    map[string]storedRow
	changed chan struct{}
}

func startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), start: time.Now(), rows: make(map[string]storedRow), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.Paths.Transact, s.transact)
	mux.HandleFunc("GET "+wire.Paths.Get, s.get)
	mux.HandleFunc("GET "+wire.Paths.Feed, s.feed)
	go func() {
		_ = (&http.Server{Handler: s.refusingWhileDown(mux), ReadHeaderTimeout: time.Minute}).Serve(listener)
	}()
	return s, nil
}

// setDown makes the store answer 503 to each call of the nodes, or ends that.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = down
	s.wake()
}

func (s *store) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isDown
}

func (s *store) refusingWhileDown(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.down() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// put writes a row as the operator does.
func (s *store) put(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[table+"/"+key] = storedRow{table: table, key: key, value: []byte(value), version: s.version}
	s.wake()
}

// wake ends the waits of the feeds. The caller holds the lock.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var request struct{ ExpectedRevision, Puts, Remove []storedRow }
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// A transaction takes 3 ms.
	time.Sleep(3 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range request.ExpectedRevision {
		if current := s.rows[row.table+"/"+row.key]; liveVersion(current) != row.version {
			s.answer(w, http.StatusPreconditionFailed, []storedRow{current})
			return
		}
	}
	s.version++
	for _, row := range request.Puts {
		row.version = s.version
		s.rows[row.table+"/"+row.key] = row
	}
	for _, row := range request.Remove {
		s.rows[row.table+"/"+row.key] = storedRow{table: row.table, key: row.key, version: s.version, deleted: true}
	}
	s.wake()
	s.answer(w, http.StatusOK, nil)
}

// liveVersion returns the version of a row, or zero if it doesn't exist.
func liveVersion(row storedRow) uint64 {
	if row.deleted {
		return 0
	}
	return row.version
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := s.find(func(row storedRow) bool {
		return row.table == query.Get("Table") && !row.deleted && row.key >= query.Get("RangeStart") &&
			(query.Get("To") == "" || row.key < query.Get("To"))
	})
	slices.SortFunc(rows, func(a, b storedRow) int { return strings.Compare(a.key, b.key) })
	s.answer(w, http.StatusOK, rows)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		if s.down() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.mu.Lock()
		rows := s.find(func(row storedRow) bool { return row.table == query.Get("Table") && row.version > after })
		if len(rows) > 0 || !waiting {
			slices.SortFunc(rows, func(a, b storedRow) int { return int(a.version) - int(b.version) })
			s.answer(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// find returns the rows that match. The caller holds the lock.
func (s *store) find(matches func(storedRow) bool) []storedRow {
	rows := []storedRow{}
	for _, row := range s.rows {
		if matches(row) {
			rows = append(rows, row)
		}
	}
	return rows
}

// answer writes an answer about rows. The caller holds the lock.
func (s *store) answer(w http.ResponseWriter, status int, rows []storedRow) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"Rows": rows, "HasMore": false, wire.Fields.Version: s.version, "NowS": time.Since(s.start).Seconds(),
	})
}
