package budget

import pb "cuminrock.example/api/gen/cuminrockpb"

// Attempt drives one change of rows to its commit. It performs no I/O: Next
// returns the next step, and the caller reports the result.
//
// Cached rows may be older than the platform's, and rows read one after another
// may be inconsistent. Therefore an outcome that refuses something is trusted
// only if all its rows were read during the attempt, and an error only after
// the platform has confirmed that those rows were current at the same time.
type Attempt struct {
	cache *Cache
	apply func(t *Txn) error
	txn   *Txn
	req   *pb.CommitRequest
	// failure is an error that the platform is asked to confirm.
	failure error
	done    bool
}

// Step is what an Attempt needs next: rows of the keys to Read, the response to
// a Commit, or nothing if Done.
type Step struct {
	Read   []string
	Commit *pb.CommitRequest
	Done   bool
	// Err is the confirmed error of the apply function, if Done.
	Err error
}

// NewAttempt returns an attempt to apply a change over the cache. The function
// runs again for each try, on a new transaction.
func NewAttempt(cache *Cache, apply func(t *Txn) error) *Attempt {
	cache.beginAttempt()
	return &Attempt{cache: cache, apply: apply}
}

// Next applies the change to the cached rows and returns the next step.
func (a *Attempt) Next() Step {
	if a.done {
		return Step{Done: true, Err: a.failure}
	}
	a.failure = nil
	a.txn = NewTxn(a.cache)
	err := a.apply(a.txn)
	if err == nil {
		err = a.txn.invariantErr
	}
	if missing := a.txn.missing; len(missing) > 0 {
		return Step{Read: missing}
	}
	if (err != nil || a.txn.refused) && a.txn.hasStaleRows() {
		a.cache.Invalidate(a.txn.keys...)
		return Step{Read: a.txn.keys}
	}
	if err != nil {
		a.failure = err
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

// HandleRows caches the rows that exist among the keys asked for.
func (a *Attempt) HandleRows(keys []string, rows []*pb.Row) { a.cache.Load(keys, rows) }

// HandleResponse processes the response to the commit.
func (a *Attempt) HandleResponse(resp *pb.CommitResponse) {
	if !resp.Committed {
		a.txn.OnConflict(resp.Conflicts)
		return
	}
	a.done = true
	if a.failure != nil {
		a.recordFailure()
		return
	}
	a.txn.OnCommitted(a.req, resp.Version)
}

func (a *Attempt) recordFailure() {
	if a.txn.invariantErr != nil {
		a.cache.Counters.Violations++
	}
	a.txn.EvictTransient()
}

// HandleUnknownOutcome processes a commit whose outcome is unknown. The next
// try reads all rows again and so determines the outcome.
func (a *Attempt) HandleUnknownOutcome() { a.cache.Invalidate(a.txn.keys...) }

// Txn returns the latest transaction.
func (a *Attempt) Txn() *Txn { return a.txn }
