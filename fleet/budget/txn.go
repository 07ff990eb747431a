package budget

import (
	"slices"

	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// Cache keeps rows as last read or written, with their versions.
type Cache struct {
	rows map[string]cached
	// fresh holds the keys read since the present attempt began.
	fresh map[string]struct{}
	// contended holds the keys of rows that others have changed under a
	// commit. They are read anew for each attempt: a read is cheaper than a
	// refused commit.
	contended map[string]struct{}
	// Counters counts the checks of all transactions over this cache.
	Counters Counters
}

// Counters counts what the ledger's own checks found.
type Counters struct {
	// Checks is the number of rows checked for conservation.
	Checks uint64
	// Violations is the number of checks that failed. A transaction that
	// fails a check is never sent.
	Violations uint64
	// UncoveredTokens is the sum of tokens billed on a closed grant after an
	// operator had released them. They were taken from free.
	UncoveredTokens int64
	// DuplicateEntries is the number of entries of a second run of a request.
	DuplicateEntries uint64
}

type cached struct {
	value   []byte
	version uint64
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{
		rows:      make(map[string]cached),
		fresh:     make(map[string]struct{}),
		contended: make(map[string]struct{}),
	}
}

// Len returns the number of rows kept.
func (c *Cache) Len() int { return len(c.rows) }

// Load takes in what a read of the keys returned; the keys without a row are
// absent.
func (c *Cache) Load(keys []string, rows []*pb.Row) {
	for _, key := range keys {
		c.rows[key] = cached{}
		c.fresh[key] = struct{}{}
	}
	for _, row := range rows {
		c.rows[row.Key] = cached{value: row.Value, version: row.Version}
	}
}

// Invalidate drops the keys, so that they are read before their next use.
func (c *Cache) Invalidate(keys ...string) {
	for _, key := range keys {
		delete(c.rows, key)
		delete(c.fresh, key)
	}
}

// begin starts an attempt: contended rows are read anew.
func (c *Cache) begin() {
	clear(c.fresh)
	for key := range c.contended {
		delete(c.rows, key)
	}
}

// Txn is one transaction over ledger rows in the making. An operation that
// needs a row that isn't at hand does nothing and notes the key as missing;
// the caller reads the missing rows and starts over with a new Txn.
type Txn struct {
	cache   *Cache
	cells   map[string]*cell
	order   []string
	missing []string
	fault   error
	// suspect is true where something is refused on the rows at hand.
	suspect bool

	// What the audit counts once the transaction is committed.
	uncovered  int64
	duplicates uint64
}

type cell struct {
	version uint64
	exists  bool
	row     proto.Message
	dirty   bool
	deleted bool
}

// NewTxn returns a transaction that reads from the cache.
func NewTxn(cache *Cache) *Txn {
	return &Txn{cache: cache, cells: make(map[string]*cell)}
}

// Missing returns the keys that have to be read first.
func (t *Txn) Missing() []string { return t.missing }

// RowCount returns the number of rows that the transaction checks.
func (t *Txn) RowCount() int { return len(t.cells) }

// Keys returns the keys that the transaction checks.
func (t *Txn) Keys() []string { return slices.Clone(t.order) }

// Request returns the commit: a condition per row, a write per changed row.
// It is nil where nothing changed. A transaction that broke an invariant
// returns an error and must not be sent.
func (t *Txn) Request() (*pb.CommitRequest, error) {
	if t.fault != nil {
		return nil, t.fault
	}
	req := &pb.CommitRequest{Conditions: t.conditions()}
	for _, key := range t.order {
		if c := t.cells[key]; c.dirty {
			req.Writes = append(req.Writes, write(key, c))
		}
	}
	if len(req.Writes) == 0 {
		return nil, nil
	}
	return req, nil
}

func (t *Txn) conditions() []*pb.Condition {
	conditions := make([]*pb.Condition, len(t.order))
	for i, key := range t.order {
		conditions[i] = &pb.Condition{Key: key, Version: t.cells[key].version}
	}
	return conditions
}

// stale reports whether a row may be older than the present attempt.
func (t *Txn) stale() bool {
	for _, key := range t.order {
		if _, ok := t.cache.fresh[key]; !ok {
			return true
		}
	}
	return false
}

func write(key string, c *cell) *pb.Write {
	if c.deleted {
		return &pb.Write{Key: key, Delete: true}
	}
	value, err := proto.Marshal(c.row)
	if err != nil {
		panic(err) // A row of the schema always marshals.
	}
	return &pb.Write{Key: key, Value: value}
}

// OnCommitted updates the cache after the request was committed at a version.
// Rows that are rarely needed again are dropped.
func (t *Txn) OnCommitted(req *pb.CommitRequest, version uint64) {
	t.EvictTransient()
	t.cache.Counters.UncoveredTokens += t.uncovered
	t.cache.Counters.DuplicateEntries += t.duplicates
	for _, w := range req.Writes {
		if assumedAbsent(w.Key) {
			continue
		}
		if w.Delete {
			t.cache.rows[w.Key] = cached{}
			continue
		}
		t.cache.rows[w.Key] = cached{value: w.Value, version: version}
	}
}

// EvictTransient drops the rows that are rarely needed again from the cache.
func (t *Txn) EvictTransient() {
	for _, key := range t.order {
		if assumedAbsent(key) {
			delete(t.cache.rows, key)
		}
	}
}

// OnConflict updates the cache after the commit met conflicts. A row that isn't
// among the conflicts still stands, unless it has been deleted: rows that ever
// are deleted are read anew before their next use.
func (t *Txn) OnConflict(conflicts []*pb.Row) {
	for _, key := range t.order {
		if len(conflicts) == 0 || deletable(key) {
			t.cache.Invalidate(key)
			continue
		}
		t.cache.fresh[key] = struct{}{}
	}
	for _, row := range conflicts {
		if !assumedAbsent(row.Key) {
			t.cache.contended[row.Key] = struct{}{}
		}
		t.cache.fresh[row.Key] = struct{}{}
		t.cache.rows[row.Key] = cached{value: row.Value, version: row.Version}
	}
}

// open returns the cell of a key, nil where the row has to be read first.
func (t *Txn) open(key string, empty proto.Message) *cell {
	if c, ok := t.cells[key]; ok {
		return c
	}
	known, ok := t.cache.rows[key]
	if !ok && !assumedAbsent(key) {
		if !slices.Contains(t.missing, key) {
			t.missing = append(t.missing, key)
		}
		return nil
	}
	c := &cell{version: known.version, exists: known.version != 0, row: empty}
	if c.exists {
		if err := proto.Unmarshal(known.value, empty); err != nil {
			panic("budget: stored row can't be read: " + key)
		}
	}
	t.cells[key] = c
	t.order = append(t.order, key)
	return c
}

// Grant returns a grant's row as the transaction leaves it, and false where
// it isn't at hand or doesn't exist.
func (t *Txn) Grant(budget, grant string) (*pb.GrantRow, bool) {
	g, ok := open(t, GrantKey(budget, grant), &pb.GrantRow{})
	return g.row, ok && g.exists
}

// Budget returns a budget's row as the transaction leaves it, and false where
// it isn't at hand or doesn't exist.
func (t *Txn) Budget(budget string) (*pb.BudgetRow, bool) {
	b, ok := open(t, BudgetKey(budget), &pb.BudgetRow{})
	return b.row, ok && b.exists
}

// Doubt returns a row of tokens in doubt as the transaction leaves it, and
// false where it isn't at hand or doesn't exist.
func (t *Txn) Doubt(budget, doubt string) (*pb.DoubtRow, bool) {
	d, ok := open(t, DoubtKey(budget, doubt), &pb.DoubtRow{})
	return d.row, ok && d.exists
}

// opened is a typed row of a transaction.
type opened[M proto.Message] struct {
	*cell
	row M
}

func open[M proto.Message](t *Txn, key string, empty M) (opened[M], bool) {
	c := t.open(key, empty)
	if c == nil {
		return opened[M]{}, false
	}
	return opened[M]{cell: c, row: c.row.(M)}, true
}

func (c *cell) save() {
	c.exists = true
	c.dirty = true
	c.deleted = false
}

func (c *cell) remove() {
	c.exists = false
	c.dirty = true
	c.deleted = true
}
