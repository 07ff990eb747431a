package budget

import pb "cuminrock.example/api/gen/cuminrockpb"

// Attempt drives one change of rows to its commit. It does no input or output:
// Next says what is to be done, and the caller brings the answer.
//
// Rows of the cache may be older than the platform's, and rows read one after
// another may not belong together. Hence an outcome that would refuse
// something is believed only from rows read anew, and an error only after the
// platform has confirmed that those rows stood together.
type Attempt struct {
	cache *Cache
	apply func(t *Txn) error
	txn   *Txn
	req   *pb.CommitRequest
	// failed is an error that the platform is asked to confirm.
	failed error
	done   bool
}

// Step is what an Attempt needs next: rows of the keys to Read, the answer to
// a Commit, or nothing more.
type Step struct {
	Read   []string
	Commit *pb.CommitRequest
	Done   bool
	// Err is the apply function's confirmed error, when done.
	Err error
}

// NewAttempt returns an attempt at a change over the cache. The function runs
// anew for each try, on a new transaction.
func NewAttempt(cache *Cache, apply func(t *Txn) error) *Attempt {
	cache.begin()
	return &Attempt{cache: cache, apply: apply}
}

// Next runs the change on the rows at hand and says what is needed.
func (a *Attempt) Next() Step {
	if a.done {
		return Step{Done: true, Err: a.failed}
	}
	a.failed = nil
	a.txn = NewTxn(a.cache)
	err := a.apply(a.txn)
	if err == nil {
		err = a.txn.fault
	}
	if missing := a.txn.missing; len(missing) > 0 {
		return Step{Read: missing}
	}
	if (err != nil || a.txn.suspect) && a.txn.stale() {
		a.cache.Invalidate(a.txn.order...)
		return Step{Read: a.txn.order}
	}
	if err != nil {
		a.failed = err
		a.req = &pb.CommitRequest{Conditions: a.txn.conditions()}
		return Step{Commit: a.req}
	}
	a.req, _ = a.txn.Request()
	if a.req == nil {
		a.txn.EvictTransient()
		a.done = true
		return Step{Done: true}
	}
	return Step{Commit: a.req}
}

// HandleRows takes in the rows that exist among the keys asked for.
func (a *Attempt) HandleRows(keys []string, rows []*pb.Row) { a.cache.Load(keys, rows) }

// HandleResponse takes in the answer to the commit.
func (a *Attempt) HandleResponse(resp *pb.CommitResponse) {
	if !resp.Committed {
		a.txn.OnConflict(resp.Conflicts)
		return
	}
	a.done = true
	if a.failed != nil {
		a.noteFailure()
		return
	}
	a.txn.OnCommitted(a.req, resp.Version)
}

func (a *Attempt) noteFailure() {
	if a.txn.fault != nil {
		a.cache.Counters.Violations++
	}
	a.txn.EvictTransient()
}

// HandleUnknownOutcome takes in that the commit's outcome isn't known. The next try reads all
// rows anew and so finds out.
func (a *Attempt) HandleUnknownOutcome() { a.cache.Invalidate(a.txn.order...) }

// Txn returns the latest transaction.
func (a *Attempt) Txn() *Txn { return a.txn }
