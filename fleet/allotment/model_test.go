package allotment

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// world is a store with the rows of one workspace, and runs of routers on it.
type world struct {
	t       *rapid.T
	now     time.Time
	prepaid int64
	total   row
	asked   asked
	holders map[int]row
	runs    map[int]*run
	nextRun int
	// late are transactions that may still commit.
	late []lateStep
	// delivered is what all runs have consumed.
	delivered int64
}

type row struct {
	taken, returned int64
	version         uint64
}

type lateStep struct {
	holder int
	step   Transaction
}

// run is one run of a router on a machine.
type run struct {
	id       int
	account  Account
	reserved []int64
	// noted is the promise that the store has; pending may be there too.
	noted, pending *UsageBound
}

func (w *world) rowsOf(id int) Rows {
	h := w.holders[id]
	return Rows{Requests: w.asked.requests, RequestedTokens: w.asked.tokens, Total: w.total.taken, TotalVersion: w.total.version, Taken: h.taken, Returned: h.returned, HolderVersion: h.version}
}

// commit makes a transaction if its versions are the current ones.
func (w *world) commit(holder int, s Transaction) bool {
	h := w.holders[holder]
	if s.Before.TotalVersion != w.total.version || s.Before.HolderVersion != h.version {
		return false
	}
	w.total = row{taken: s.After.Total, version: w.total.version + 1}
	w.asked = asked{requests: s.After.Requests, tokens: s.After.RequestedTokens}
	w.holders[holder] = row{taken: s.After.Taken, returned: s.After.Returned, version: w.total.version}
	return true
}

func (w *world) start() {
	r := &run{id: w.nextRun}
	w.nextRun++
	r.account.SetPrepaid(w.prepaid)
	r.account.Sync(w.rowsOf(r.id), w.now)
	w.runs[r.id] = r
}

// transact lets a run make its next transaction, whose answer may be lost and
// which may commit later.
func (w *world) transact(r *run) {
	step, ok := r.account.NextTransaction(w.now)
	if !ok {
		return
	}
	switch rapid.IntRange(0, 5).Draw(w.t, "answer") {
	case 0: // late, or never
		w.late = append(w.late, lateStep{r.id, step})
	case 1: // done, and the answer lost
		w.commit(r.id, step)
	default:
		if w.commit(r.id, step) {
			r.account.OnCommitted(w.rowsOf(r.id), step, w.now)
			return
		}
		r.account.Sync(w.rowsOf(r.id), w.now)
	}
}

// note lets a run make a promise, whose answer may be lost.
func (w *world) note(r *run) {
	if r.pending == nil {
		p := r.account.NextBound(w.now)
		r.account.AddBound(p)
		r.pending = &p
	}
	switch rapid.IntRange(0, 2).Draw(w.t, "note") {
	case 0: // lost before the store
	case 1: // there, and the answer lost
		r.noted = r.pending
	default:
		r.noted = r.pending
		r.account.ConfirmBound(*r.pending)
		r.pending = nil
	}
}

// die ends a run; its in-flight requests are consumed whole. The next run on
// its machine gives back what it can't have consumed.
func (w *world) die(r *run) {
	for _, tokens := range r.reserved {
		w.delivered += tokens
	}
	delete(w.runs, r.id)
	diedAt := w.now
	w.pass()
	if r.noted == nil {
		return
	}
	most := r.noted.MaxAfter(w.now.Sub(r.noted.Since))
	if w.now.Before(diedAt) {
		w.t.Fatal("time went back")
	}
	rows := w.rowsOf(r.id)
	rest := rows.Taken - rows.Returned - most
	if rest <= 0 {
		return
	}
	after := rows
	after.Total -= rest
	after.Returned += rest
	w.commit(r.id, Transaction{Before: rows, After: after})
}

func (w *world) pass() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(w.t, "ms")) * time.Millisecond)
}

// TestNothingIsOverspent plays runs that take, spend, give back, promise and
// die against a store with lost and late answers.
func TestNothingIsOverspent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: time.Unix(1, 0), prepaid: rapid.Int64Range(100, 100000).Draw(t, "prepaid"),
			holders: make(map[int]row), runs: make(map[int]*run)}
		for range rapid.IntRange(1, 4).Draw(t, "routers") {
			w.start()
		}
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			w.step()
			if w.delivered > w.prepaid {
				t.Fatalf("delivered %d of %d", w.delivered, w.prepaid)
			}
		}
	})
}

func (w *world) step() {
	if len(w.runs) == 0 {
		w.start()
	}
	r := w.pick()
	switch rapid.IntRange(0, 8).Draw(w.t, "action") {
	case 0:
		w.transact(r)
	case 1, 2:
		tokens := rapid.Int64Range(1, w.prepaid/8+1).Draw(w.t, "tokens")
		rank := rapid.IntRange(0, 2).Draw(w.t, "rank")
		r.account.RecordDemand(tokens, rank, w.now)
		if r.account.Reserve(tokens, rank, w.now) {
			r.reserved = append(r.reserved, tokens)
			return
		}
		r.account.AddWaiting(tokens)
		w.transact(r)
		r.account.AddWaiting(-tokens)
		if r.account.Reserve(tokens, rank, w.now) {
			r.reserved = append(r.reserved, tokens)
		}
	case 3, 4:
		if len(r.reserved) == 0 {
			return
		}
		reserved := r.reserved[0]
		used := reserved
		if rapid.Bool().Draw(w.t, "part") {
			used = rapid.Int64Range(0, reserved).Draw(w.t, "used")
		}
		r.reserved = r.reserved[1:]
		r.account.Settle(reserved, used)
		w.delivered += used
	case 5:
		w.note(r)
	case 6:
		for _, l := range w.late {
			w.commit(l.holder, l.step)
		}
		w.late = nil
		r.account.Sync(w.rowsOf(r.id), w.now)
	case 7:
		if rapid.IntRange(0, 3).Draw(w.t, "dies") <= 1 {
			w.die(r)
			w.start()
		}
	case 8:
		w.pass()
	}
}

func (w *world) pick() *run {
	n := rapid.IntRange(0, len(w.runs)-1).Draw(w.t, "run")
	for id := range w.nextRun {
		r, ok := w.runs[id]
		if !ok {
			continue
		}
		if n == 0 {
			return r
		}
		n--
	}
	w.t.Fatal("no run")
	return nil
}
