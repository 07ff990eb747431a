package budgetsim

import (
	"slices"
	"strings"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
)

// Store is an in-memory table service without faults. It is not safe for
// concurrent use.
type Store struct {
	rows    map[string]*pb.Row
	version uint64
	// Commits counts committed transactions and Writes their rows. Conflicts
	// counts transactions that met conflicts, and Reads the reads made by Run.
	Commits   int
	Writes    int
	Conflicts int
	Reads     int
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{rows: make(map[string]*pb.Row)} }

// Read returns the rows that exist among the keys.
func (s *Store) Read(keys []string) []*pb.Row {
	var rows []*pb.Row
	for _, key := range keys {
		if row, ok := s.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows
}

// Scan returns the rows with a prefix after a key, in key order.
func (s *Store) Scan(prefix, after string) []*pb.Row {
	var rows []*pb.Row
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b *pb.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// Commit applies all writes if all conditions hold.
func (s *Store) Commit(req *pb.CommitRequest) *pb.CommitResponse {
	resp := &pb.CommitResponse{Committed: true}
	for _, c := range req.Conditions {
		row := s.rows[c.Key]
		if row.GetVersion() == c.Version {
			continue
		}
		resp.Committed = false
		if row != nil {
			resp.Conflicts = append(resp.Conflicts, row)
		}
	}
	if !resp.Committed {
		s.Conflicts++
		return resp
	}
	s.version++
	s.Commits++
	s.Writes += len(req.Writes)
	resp.Version = s.version
	for _, w := range req.Writes {
		if w.Delete {
			delete(s.rows, w.Key)
			continue
		}
		s.rows[w.Key] = &pb.Row{Key: w.Key, Value: w.Value, Version: s.version}
	}
	return resp
}

// Has reports whether a row exists.
func (s *Store) Has(key string) bool {
	_, ok := s.rows[key]
	return ok
}

// DeleteBills deletes the bills of entries that are not needed again, to save
// memory in long runs.
func (s *Store) DeleteBills(entries []*pb.BillEntry) {
	for _, e := range entries {
		delete(s.rows, budget.BillKey(e.RequestId))
	}
}

// Run commits one transaction over a cache, without faults.
func (s *Store) Run(cache *budget.Cache, apply func(t *budget.Txn) error) (*budget.Txn, error) {
	a := budget.NewAttempt(cache, apply)
	for {
		step := a.Next()
		switch {
		case step.Done:
			return a.Txn(), step.Err
		case step.Read != nil:
			s.Reads++
			a.HandleRows(step.Read, s.Read(step.Read))
		default:
			a.HandleResponse(s.Commit(step.Commit))
		}
	}
}
