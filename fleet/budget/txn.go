package budget

import (
	"slices"

	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// Cache holds rows as last read or written, with their versions.
type Cache struct {
	rows map[string]cachedRow
	// freshKeys holds the keys read since the current attempt began.
	freshKeys map[string]struct{}
	// contendedKeys holds the keys of rows that caused a conflict because
	// another router had changed them. They are read again for each attempt: a
	// read is cheaper than a failed commit.
	contendedKeys map[string]struct{}
	// Counters accumulates over all transactions that use this cache.
	Counters Counters
}

// Counters counts conservation checks and the anomalies that transactions
// found.
type Counters struct {
	// Checks is the number of rows checked for conservation.
	Checks uint64
	// Violations is the number of checks that failed. A transaction that
	// fails a check is never sent.
	Violations uint64
	// UncoveredTokens is the number of tokens billed on a closed grant after an
	// operator had released them. They were taken from free.
	UncoveredTokens int64
	// DuplicateEntries is the number of entries of a second run of a request.
	DuplicateEntries uint64
}

type cachedRow struct {
	value   []byte
	version uint64
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{
		rows:          make(map[string]cachedRow),
		freshKeys:     make(map[string]struct{}),
		contendedKeys: make(map[string]struct{}),
	}
}

// Len returns the number of cached rows.
func (c *Cache) Len() int { return len(c.rows) }

// Load caches the result of reading the keys. Keys without a row are cached as
// absent.
func (c *Cache) Load(keys []string, rows []*pb.Row) {
	for _, key := range keys {
		c.rows[key] = cachedRow{}
		c.freshKeys[key] = struct{}{}
	}
	for _, row := range rows {
		c.rows[row.Key] = cachedRow{value: row.Value, version: row.Version}
	}
}

// Invalidate drops the keys, so that they are read before their next use.
func (c *Cache) Invalidate(keys ...string) {
	for _, key := range keys {
		delete(c.rows, key)
		delete(c.freshKeys, key)
	}
}

// beginAttempt starts an attempt. Contended rows are read again.
func (c *Cache) beginAttempt() {
	clear(c.freshKeys)
	for key := range c.contendedKeys {
		delete(c.rows, key)
	}
}

// Txn builds one transaction over ledger rows. An operation that needs a row
// that is not cached changes nothing and records the key as missing; the
// caller reads the missing rows and starts over with a new Txn.
type Txn struct {
	cache        *Cache
	rows         map[string]*txnRow
	keys         []string
	missing      []string
	invariantErr error
	// refused is true if the rows read so far made an operation refuse
	// something or do less than asked.
	refused bool

	// Added to the cache's counters when the transaction commits.
	uncoveredTokens  int64
	duplicateEntries uint64
}

type txnRow struct {
	version uint64
	exists  bool
	message proto.Message
	dirty   bool
	deleted bool
}

// NewTxn returns a transaction that reads from the cache.
func NewTxn(cache *Cache) *Txn {
	return &Txn{cache: cache, rows: make(map[string]*txnRow)}
}

// Missing returns the keys that have to be read first.
func (t *Txn) Missing() []string { return t.missing }

// RowCount returns the number of rows that the transaction checks.
func (t *Txn) RowCount() int { return len(t.rows) }

// Keys returns the keys that the transaction checks.
func (t *Txn) Keys() []string { return slices.Clone(t.keys) }

// Request returns the commit request: a condition per row and a write per
// changed row. It is nil if nothing changed. A transaction that violated an
// invariant returns an error and must not be sent.
func (t *Txn) Request() (*pb.CommitRequest, error) {
	if t.invariantErr != nil {
		return nil, t.invariantErr
	}
	req := &pb.CommitRequest{Conditions: t.conditions()}
	for _, key := range t.keys {
		if row := t.rows[key]; row.dirty {
			req.Writes = append(req.Writes, newWrite(key, row))
		}
	}
	if len(req.Writes) == 0 {
		return nil, nil
	}
	return req, nil
}

func (t *Txn) conditions() []*pb.Condition {
	conditions := make([]*pb.Condition, len(t.keys))
	for i, key := range t.keys {
		conditions[i] = &pb.Condition{Key: key, Version: t.rows[key].version}
	}
	return conditions
}

// hasStaleRows reports whether a row may be older than the current attempt.
func (t *Txn) hasStaleRows() bool {
	for _, key := range t.keys {
		if _, ok := t.cache.freshKeys[key]; !ok {
			return true
		}
	}
	return false
}

func newWrite(key string, row *txnRow) *pb.Write {
	if row.deleted {
		return &pb.Write{Key: key, Delete: true}
	}
	value, err := proto.Marshal(row.message)
	if err != nil {
		panic(err) // Rows of the schema always marshal.
	}
	return &pb.Write{Key: key, Value: value}
}

// OnCommitted updates the cache after the request was committed at a version.
// Rows that are rarely needed again are evicted.
func (t *Txn) OnCommitted(req *pb.CommitRequest, version uint64) {
	t.EvictTransient()
	t.cache.Counters.UncoveredTokens += t.uncoveredTokens
	t.cache.Counters.DuplicateEntries += t.duplicateEntries
	for _, w := range req.Writes {
		if assumedAbsent(w.Key) {
			continue
		}
		if w.Delete {
			t.cache.rows[w.Key] = cachedRow{}
			continue
		}
		t.cache.rows[w.Key] = cachedRow{value: w.Value, version: version}
	}
}

// EvictTransient evicts the rows that are rarely needed again from the cache.
func (t *Txn) EvictTransient() {
	for _, key := range t.keys {
		if assumedAbsent(key) {
			delete(t.cache.rows, key)
		}
	}
}

// OnConflict updates the cache after a commit failed with conflicts. A row that
// is not among the conflicts is unchanged unless it was deleted. Rows of a kind
// that is ever deleted are therefore read again before their next use.
func (t *Txn) OnConflict(conflicts []*pb.Row) {
	for _, key := range t.keys {
		if len(conflicts) == 0 || mayBeDeleted(key) {
			t.cache.Invalidate(key)
			continue
		}
		t.cache.freshKeys[key] = struct{}{}
	}
	for _, row := range conflicts {
		if !assumedAbsent(row.Key) {
			t.cache.contendedKeys[row.Key] = struct{}{}
		}
		t.cache.freshKeys[row.Key] = struct{}{}
		t.cache.rows[row.Key] = cachedRow{value: row.Value, version: row.Version}
	}
}

// open returns the row of a key, or nil if it has to be read first.
func (t *Txn) open(key string, empty proto.Message) *txnRow {
	if row, ok := t.rows[key]; ok {
		return row
	}
	known, ok := t.cache.rows[key]
	if !ok && !assumedAbsent(key) {
		if !slices.Contains(t.missing, key) {
			t.missing = append(t.missing, key)
		}
		return nil
	}
	row := &txnRow{version: known.version, exists: known.version != 0, message: empty}
	if row.exists {
		if err := proto.Unmarshal(known.value, empty); err != nil {
			panic("budget: cannot unmarshal stored row: " + key)
		}
	}
	t.rows[key] = row
	t.keys = append(t.keys, key)
	return row
}

// Grant returns a grant's row with the transaction's changes. It returns false
// if the row is not cached or does not exist.
func (t *Txn) Grant(budget, grant string) (*pb.GrantRow, bool) {
	g, ok := open(t, GrantKey(budget, grant), &pb.GrantRow{})
	return g.row, ok && g.exists
}

// Budget returns a budget's row with the transaction's changes. It returns
// false if the row is not cached or does not exist.
func (t *Txn) Budget(budget string) (*pb.BudgetRow, bool) {
	b, ok := open(t, BudgetKey(budget), &pb.BudgetRow{})
	return b.row, ok && b.exists
}

// Doubt returns a row of tokens in doubt with the transaction's changes. It
// returns false if the row is not cached or does not exist.
func (t *Txn) Doubt(budget, doubt string) (*pb.DoubtRow, bool) {
	d, ok := open(t, DoubtKey(budget, doubt), &pb.DoubtRow{})
	return d.row, ok && d.exists
}

// typedRow is a row of a transaction with its message type.
type typedRow[M proto.Message] struct {
	*txnRow
	row M
}

func open[M proto.Message](t *Txn, key string, empty M) (typedRow[M], bool) {
	row := t.open(key, empty)
	if row == nil {
		return typedRow[M]{}, false
	}
	return typedRow[M]{txnRow: row, row: row.message.(M)}, true
}

func (r *txnRow) save() {
	r.exists = true
	r.dirty = true
	r.deleted = false
}

func (r *txnRow) remove() {
	r.exists = false
	r.dirty = true
	r.deleted = true
}
