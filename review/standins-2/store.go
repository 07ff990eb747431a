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

// Store is a stand-in for the platform's store: rows, transactions and the feed of changes.
type Store struct {
	Address string
	started time.Time

	mu      sync.Mutex
	rows    map[rowID]Row
	version uint64
	history []Row
	era     int
	away    bool
	changed chan struct{}
	server  *http.Server
	// tooLarge counts the transactions with a value over rowBytes.
	tooLarge int
}

type rowID struct{ table, part, key string }

// Row is a row as it is on the wire.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r Row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

type txBody struct {
	Conditions []Row `json:"expectedRevision"`
	Writes     []Row `json:"write"`
	Deletions  []Row `json:"delete"`
}

type storeReply struct {
	Rows    []Row   `json:"rows"`
	More    bool    `json:"hasMore"`
	Version uint64  `json:"rowVersion"`
	NowMs   float64 `json:"nowMs"`
}

const (
	storeDelay = 4 * time.Millisecond
	// rowBytes is the limit of a row's value.
	rowBytes  = 65536
	pageRows  = 500
	pageBytes = 1 << 20
)

// NewStore starts a store on a free port.
func NewStore() *Store {
	s := &Store{started: time.Now().Add(-time.Hour), rows: map[rowID]Row{}, changed: make(chan struct{}), era: 1}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	cannotRun(err)
	s.Address = lis.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.tx)
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-parts", s.parts)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		s.mu.Lock()
		away := s.away
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
		s.mu.Unlock()
		if away {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})}
	go s.server.Serve(lis)
	return s
}

// Put writes a row with an empty part, as the operator and the runners do.
func (s *Store) Put(table, key string, value any) {
	data, err := json.Marshal(value)
	cannotRun(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(Row{Table: table, Key: key, Value: data})
}

// Delete removes such a row.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.remove(Row{Table: table, Key: key})
}

// Rows returns a copy of the rows of a table.
func (s *Store) Rows(table string) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []Row
	for _, r := range s.rows {
		if r.Table == table {
			found = append(found, r)
		}
	}
	return found
}

func (s *Store) write(r Row) {
	r.Version = s.version
	s.rows[r.id()] = r
	s.note(r)
}

func (s *Store) remove(r Row) {
	delete(s.rows, r.id())
	r.Version, r.Value, r.Deleted = s.version, nil, true
	s.note(r)
}

func (s *Store) note(r Row) {
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) tx(w http.ResponseWriter, r *http.Request) {
	var t txBody
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range slices.Concat(t.Writes, t.Deletions) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.ContainsFunc(t.Writes, func(row Row) bool { return len(row.Value) > rowBytes }) {
		s.tooLarge++
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, c := range t.Conditions {
		if s.rows[c.id()].Version == c.Version {
			continue
		}
		var current []Row
		for _, c := range t.Conditions {
			if row, ok := s.rows[c.id()]; ok {
				current = append(current, row)
			}
		}
		s.reply(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.version++
	for _, row := range t.Writes {
		s.write(row)
	}
	for _, row := range t.Deletions {
		s.remove(row)
	}
	s.reply(w, http.StatusOK, nil, false)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []Row
	for row := range maps.Values(s.rows) {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") && (!q.Has("to") || row.Key < q.Get("to")) {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	bytes, n := 0, 0
	for n < len(found) && n < limit && bytes < pageBytes {
		bytes += len(found[n].Value)
		n++
	}
	s.reply(w, http.StatusOK, found[:n], n < len(found))
}

func (s *Store) parts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := map[string]bool{}
	for _, row := range s.rows {
		if row.Table == r.URL.Query().Get("table") && row.Part > r.URL.Query().Get("sinceRevision") {
			set[row.Part] = true
		}
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"parts": slices.Sorted(maps.Keys(set)), "hasMore": false, "rowVersion": s.version, "nowMs": s.nowMs()})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("sinceRevision"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	for last := false; ; {
		s.mu.Lock()
		if since > s.version {
			s.reply(w, http.StatusGone, nil, false)
			s.mu.Unlock()
			return
		}
		if s.away {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		var rows []Row
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Version > since {
				rows = append(rows, row)
			}
		}
		if len(rows) > 0 || last {
			s.reply(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) nowMs() float64 { return float64(time.Since(s.started).Milliseconds()) }

func (s *Store) reply(w http.ResponseWriter, status int, rows []Row, more bool) {
	if rows == nil {
		rows = []Row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(storeReply{Rows: rows, More: more, Version: s.version, NowMs: s.nowMs()})
}
