package platform

import (
	"slices"
	"strings"
	"sync"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// scanLimit is the maximum number of rows that one scan returns, as the API
// schema states.
const scanLimit = 1000

// store holds the rows and objects. Row versions come from a single counter,
// so that a row that is deleted and recreated never reuses an old version.
type store struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]*pb.Row
	objects map[string][]byte
	// sorted holds the keys that a scan iterates over; added holds those
	// inserted since the last scan. Deleted keys stay in sorted until the next
	// merge.
	sorted []string
	added  []string
}

func newStore() *store {
	return &store{rows: make(map[string]*pb.Row), objects: make(map[string][]byte)}
}

func (s *store) read(keys []string) []*pb.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*pb.Row
	for _, key := range keys {
		row, ok := s.rows[key]
		if ok {
			found = append(found, row)
		}
	}
	return found
}

// scan returns up to limit rows whose keys have the prefix and sort after
// after, and whether more such rows remain.
func (s *store) scan(prefix, after string, limit int) ([]*pb.Row, bool) {
	if limit <= 0 || limit > scanLimit {
		limit = scanLimit
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mergeAdded()
	first, _ := slices.BinarySearch(s.sorted, max(prefix, after))
	var found []*pb.Row
	for _, key := range s.sorted[first:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		row, exists := s.rows[key]
		if !exists || key <= after {
			continue
		}
		if len(found) == limit {
			return found, true
		}
		found = append(found, row)
	}
	return found, false
}

// commit applies a transaction, or returns the rows whose conditions failed.
func (s *store) commit(txn *pb.CommitRequest) *pb.CommitResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	resp := &pb.CommitResponse{}
	failed := false
	for _, c := range txn.Conditions {
		row := s.rows[c.Key]
		if row.GetVersion() == c.Version {
			continue
		}
		failed = true
		if row != nil {
			resp.Conflicts = append(resp.Conflicts, row)
		}
	}
	if failed {
		return resp
	}
	s.version++
	for _, w := range txn.Writes {
		s.apply(w)
	}
	resp.Committed = true
	resp.Version = s.version
	return resp
}

// apply writes one row. It replaces rows instead of modifying them, because
// readers hold them outside the lock.
func (s *store) apply(w *pb.Write) {
	_, exists := s.rows[w.Key]
	if w.Delete {
		delete(s.rows, w.Key)
		return
	}
	if !exists {
		s.added = append(s.added, w.Key)
	}
	s.rows[w.Key] = &pb.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: s.version}
}

// mergeAdded merges the inserted keys into sorted and removes deleted ones.
func (s *store) mergeAdded() {
	if len(s.added) == 0 {
		return
	}
	s.sorted = append(s.sorted, s.added...)
	s.added = s.added[:0]
	slices.Sort(s.sorted)
	s.sorted = slices.Compact(s.sorted)
	s.sorted = slices.DeleteFunc(s.sorted, func(key string) bool {
		return s.rows[key] == nil
	})
}

func (s *store) put(name string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = slices.Clone(data)
}

func (s *store) get(name string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[name]
	return data, ok
}
