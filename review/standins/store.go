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

const (
	// maxRowsPerRead bounds the rows of one response.
	maxRowsPerRead = 500
	// storeDelay is the time that the store takes to answer a call.
	storeDelay = 4 * time.Millisecond
)

// row is a row in its wire format.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
	// at is when the row was written.
	at time.Time
}

type rowID struct{ table, part, key string }

func (r row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

type transaction struct {
	Conditions []row `json:"expectedRevision"`
	Writes     []row `json:"write"`
	Deletions  []row `json:"delete"`
}

type rowsReply struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"hasMore"`
	Version uint64 `json:"rowVersion"`
	NowMs   int64  `json:"nowMs"`
}

// store is a stand-in of the platform's metadata store: rows, conditional transactions
// and the feed of changes, as PROTOCOL.md describes them.
type store struct {
	address string
	started time.Time

	mu      sync.Mutex
	server  *http.Server
	version uint64
	era     int
	rows    map[rowID]row
	history []row
	changed chan struct{}
	// calls counts transactions by their result.
	committed, conflicts int
}

func newStore() (*store, error) {
	s := &store{started: time.Now(), rows: make(map[rowID]row), changed: make(chan struct{})}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = lis.Addr().String()
	s.serve(lis)
	return s, nil
}

func (s *store) serve(lis net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.transact)
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(lis) }()
}

func (s *store) stop() { _ = s.server.Close() }

// put writes a row with an empty part, as the operator and the servers do.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: value})
}

// write writes a row with the current version. The lock is held.
func (s *store) write(r row) {
	r.Version, r.at = s.version, time.Now()
	if r.Deleted {
		r.Value = nil
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// drill takes the store away for a time, and brings it back from a copy made at copyAt.
// What the operator and the servers wrote since is written again before the store
// answers; what the system wrote is gone. Versions go back.
func (s *store) drill(copyAt time.Time, away time.Duration) error {
	_ = s.server.Close()
	time.Sleep(away)
	s.mu.Lock()
	lost := s.history
	s.rows, s.history, s.version = make(map[rowID]row), nil, 0
	var again []row
	for _, r := range lost {
		if !r.at.After(copyAt) {
			s.version = r.Version
			if r.Deleted {
				delete(s.rows, r.id())
			} else {
				s.rows[r.id()] = r
			}
			s.history = append(s.history, r)
		} else if r.Table == "op" || r.Table == "servers" {
			again = append(again, r)
		}
	}
	for _, r := range again {
		s.version++
		s.write(r)
	}
	s.era++
	s.mu.Unlock()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		lis, err := net.Listen("tcp", s.address)
		if err == nil {
			s.serve(lis)
			return nil
		}
		if time.Now().After(end) {
			return err
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range slices.Concat(t.Writes, t.Deletions) {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, c := range t.Conditions {
		if s.rows[c.id()].Version == c.Version {
			continue
		}
		s.conflicts++
		var current []row
		for _, c := range t.Conditions {
			if known, ok := s.rows[c.id()]; ok {
				current = append(current, known)
			}
		}
		s.reply(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.committed++
	s.version++
	for _, x := range t.Writes {
		s.write(x)
	}
	for _, x := range t.Deletions {
		x.Deleted = true
		s.write(x)
	}
	s.reply(w, http.StatusOK, nil, false)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxRowsPerRead {
		limit = maxRowsPerRead
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			found = append(found, x)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > limit
	s.reply(w, http.StatusOK, found[:min(len(found), limit)], more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("sinceRevision"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		if since > s.version {
			w.Header().Set("Store-Era", strconv.Itoa(s.era))
			w.WriteHeader(http.StatusGone)
			s.mu.Unlock()
			return
		}
		var changes []row
		for _, x := range s.history {
			if x.Table == q.Get("table") && x.Version > since {
				changes = append(changes, x)
			}
		}
		changed := s.changed
		if len(changes) > 0 || over {
			s.reply(w, http.StatusOK, changes, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// reply writes a response. The lock is held.
func (s *store) reply(w http.ResponseWriter, status int, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(rowsReply{Rows: rows, More: more, Version: s.version, NowMs: time.Since(s.started).Milliseconds() + 1})
}

// counts returns the transactions that were committed and those that conflicted.
func (s *store) counts() (committed, conflicts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.committed, s.conflicts
}
