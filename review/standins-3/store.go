package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// copyOf is a copy of the store as of a time.
type copyOf struct {
	at      time.Time
	rows    map[rowID]storeRow
	version uint64
	history []storeRow
}

// storeRow is a row in its wire format.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

func (r storeRow) id() rowID { return rowID{r.Table, r.Part, r.Key} }

type transaction struct {
	Conditions []storeRow `json:"expectedRevision"`
	Writes     []storeRow `json:"write"`
	Deletions  []storeRow `json:"delete"`
}

// store is a stand-in of the platform's store, by PROTOCOL.md: rows, transactions, the feed.
type store struct {
	startedAt time.Time

	mu      sync.Mutex
	rows    map[rowID]storeRow
	version uint64
	history []storeRow
	changed chan struct{}
	era     int
	away    bool
	denied  map[int]bool
	// aliases replace addresses of targets by those of the gateway's links, in pairs.
	aliases map[int][]string
	copies  []copyOf
}

const (
	transactionTime = 4 * time.Millisecond
	copyInterval    = 100 * time.Millisecond
	maxCopies       = 100
	maxRowsInAnswer = 500
)

func newStore() *store {
	return &store{startedAt: time.Now(), rows: make(map[rowID]storeRow), changed: make(chan struct{}), denied: make(map[int]bool), aliases: make(map[int][]string), era: 1}
}

func runStore(args []string) int {
	flags := flag.NewFlagSet("store", flag.ExitOnError)
	gates := flags.Int("gates", 1, "number of listeners for gateways, each of which can be turned away")
	_ = flags.Parse(args)
	s := newStore()
	go s.keepCopies()
	var addresses []string
	for gate := range *gates {
		addresses = append(addresses, serveOn(s.handler(gate)))
	}
	control := serveOn(s.control())
	_ = json.NewEncoder(os.Stdout).Encode(storeAddresses{Gates: addresses, Control: control})
	select {}
}

// storeAddresses is the line that the store prints when it has started.
type storeAddresses struct {
	Gates   []string `json:"gates"`
	Control string   `json:"control"`
}

func serveOn(h http.Handler) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	go func() { _ = http.Serve(lis, h) }()
	return lis.Addr().String()
}

// handler serves one gateway. A gateway that is turned away gets 503: nothing was done.
func (s *store) handler(gate int) http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("POST /v1/rows-tx", s.transact)
	routes.HandleFunc("GET /v1/rows-get", func(w http.ResponseWriter, r *http.Request) { s.get(w, r, gate) })
	routes.HandleFunc("GET /v1/rows-feed", func(w http.ResponseWriter, r *http.Request) { s.feed(w, r, gate) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.turnsAway(gate) {
			w.Header().Set("Store-Era", strconv.Itoa(s.eraNow()))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		routes.ServeHTTP(w, r)
	})
}

func (s *store) turnsAway(gate int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away || s.denied[gate]
}

func (s *store) eraNow() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// control serves the operator, the targets and the driver.
func (s *store) control() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("POST /put", func(w http.ResponseWriter, r *http.Request) {
		value, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.version++
		s.write(storeRow{Table: r.URL.Query().Get("table"), Key: r.URL.Query().Get("key"), Value: value})
	})
	routes.HandleFunc("POST /deny", func(_ http.ResponseWriter, r *http.Request) {
		gate, _ := strconv.Atoi(r.URL.Query().Get("gate"))
		s.mu.Lock()
		defer s.mu.Unlock()
		s.denied[gate] = r.URL.Query().Get("on") == "1"
		s.notify()
	})
	routes.HandleFunc("POST /drill", func(_ http.ResponseWriter, r *http.Request) {
		age, _ := strconv.Atoi(r.URL.Query().Get("age_ms"))
		away, _ := strconv.Atoi(r.URL.Query().Get("away_ms"))
		s.drill(time.Duration(age)*time.Millisecond, time.Duration(away)*time.Millisecond)
	})
	routes.HandleFunc("POST /alias", func(_ http.ResponseWriter, r *http.Request) {
		gate, _ := strconv.Atoi(r.URL.Query().Get("gate"))
		s.mu.Lock()
		defer s.mu.Unlock()
		s.aliases[gate] = append(s.aliases[gate], quoted(r.URL.Query().Get("from")), quoted(r.URL.Query().Get("to")))
	})
	return routes
}

// keepCopies keeps copies of the last seconds.
func (s *store) keepCopies() {
	for range time.Tick(copyInterval) {
		s.mu.Lock()
		s.copies = append(s.copies, copyOf{at: time.Now(), rows: maps.Clone(s.rows), version: s.version, history: s.history[:len(s.history):len(s.history)]})
		if len(s.copies) > maxCopies {
			s.copies = s.copies[1:]
		}
		s.mu.Unlock()
	}
}

// drill makes the store go away for a moment and come back from a copy of some age. What the
// operator and the targets wrote is written again, with new versions.
func (s *store) drill(age, away time.Duration) {
	s.mu.Lock()
	s.away = true
	s.notify()
	at := time.Now().Add(-age)
	last := s.copies[0]
	for _, c := range s.copies {
		if c.at.Before(at) {
			last = c
		}
	}
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.rows
	s.rows, s.version, s.history, s.copies = maps.Clone(last.rows), last.version, slices.Clone(last.history), nil
	s.era++
	s.away = false
	for _, row := range lost {
		if row.Table != "op" && row.Table != "servers" {
			continue
		}
		if string(s.rows[row.id()].Value) != string(row.Value) {
			s.version++
			s.write(row)
		}
	}
	s.notify()
}

// write writes a row with the newest version. The lock is held.
func (s *store) write(row storeRow) {
	row.Version, row.Deleted = s.version, false
	s.rows[row.id()] = row
	s.history = append(s.history, row)
	s.notify()
}

// notify wakes the calls that wait for changes. The lock is held.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(transactionTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var current []storeRow
	met := true
	for _, c := range t.Conditions {
		row, found := s.rows[c.id()]
		met = met && row.Version == c.Version
		if found {
			current = append(current, row)
		}
	}
	if !met {
		s.reply(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.version++
	for _, row := range t.Writes {
		s.write(row)
	}
	for _, row := range t.Deletions {
		delete(s.rows, row.id())
		row.Version, row.Value, row.Deleted = s.version, nil, true
		s.history = append(s.history, row)
		s.notify()
	}
	s.reply(w, http.StatusOK, nil, false)
}

func (s *store) get(w http.ResponseWriter, r *http.Request, gate int) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []storeRow
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to")) {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxRowsInAnswer {
		limit = maxRowsInAnswer
	}
	more := len(found) > limit
	s.reply(w, http.StatusOK, s.seenAt(gate, found[:min(len(found), limit)]), more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, gate int) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("sinceRevision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed := s.changed
		switch {
		case s.away || s.denied[gate]:
			w.WriteHeader(http.StatusServiceUnavailable)
			s.mu.Unlock()
			return
		case since > s.version:
			w.Header().Set("Store-Era", strconv.Itoa(s.era))
			w.WriteHeader(http.StatusGone)
			s.mu.Unlock()
			return
		}
		changes := s.changesSince(q.Get("table"), since)
		if len(changes) > 0 {
			s.reply(w, http.StatusOK, s.seenAt(gate, changes), false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			s.mu.Lock()
			s.reply(w, http.StatusOK, nil, false)
			s.mu.Unlock()
			return
		}
	}
}

// changesSince returns the newest change of each row. The lock is held.
func (s *store) changesSince(table string, since uint64) []storeRow {
	var changes []storeRow
	for i := len(s.history) - 1; i >= 0 && s.history[i].Version > since; i-- {
		if s.history[i].Table == table {
			changes = append(changes, s.history[i])
		}
	}
	slices.Reverse(changes)
	return changes
}

// seenAt returns the rows as a gateway sees them that reaches targets over links of its own.
func (s *store) seenAt(gate int, rows []storeRow) []storeRow {
	aliases := strings.NewReplacer(s.aliases[gate]...)
	seen := slices.Clone(rows)
	for i := range seen {
		if seen[i].Table == "servers" {
			seen[i].Value = []byte(aliases.Replace(string(seen[i].Value)))
		}
	}
	return seen
}

// quoted returns an address as it stands in an entry.
func quoted(address string) string { return `"` + address + `"` }

// reply writes an answer. The lock is held.
func (s *store) reply(w http.ResponseWriter, status int, rows []storeRow, more bool) {
	if rows == nil {
		rows = []storeRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "hasMore": more, "rowVersion": s.version, "nowMs": time.Since(s.startedAt).Milliseconds() + 1})
}
