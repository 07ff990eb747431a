package allotment

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// storeModel is a store with the rows of one workspace, and the router
// processes that use it.
type storeModel struct {
	t         *rapid.T
	now       time.Time
	prepaid   int64
	total     row
	requests  requestTotals
	holders   map[int]row
	processes map[int]*routerProcess
	nextID    int
	// lateTransactions may still commit.
	lateTransactions []lateTransaction
	// consumed is the number of tokens that all processes have consumed.
	consumed int64
}

type row struct {
	taken, returned int64
	version         uint64
}

type lateTransaction struct {
	holder      int
	transaction Transaction
}

// routerProcess is one process of a router on a machine.
type routerProcess struct {
	id       int
	account  Account
	reserved []int64
	// stored is the bound known to be in the store; pending may have been
	// stored too.
	stored, pending *UsageBound
}

func (m *storeModel) rowsFor(id int) Rows {
	h := m.holders[id]
	return Rows{Requests: m.requests.requests, RequestedTokens: m.requests.tokens, Total: m.total.taken, TotalVersion: m.total.version, Taken: h.taken, Returned: h.returned, HolderVersion: h.version}
}

// commit applies a transaction if its row versions are current.
func (m *storeModel) commit(holder int, tx Transaction) bool {
	h := m.holders[holder]
	if tx.Before.TotalVersion != m.total.version || tx.Before.HolderVersion != h.version {
		return false
	}
	m.total = row{taken: tx.After.Total, version: m.total.version + 1}
	m.requests = requestTotals{requests: tx.After.Requests, tokens: tx.After.RequestedTokens}
	m.holders[holder] = row{taken: tx.After.Taken, returned: tx.After.Returned, version: m.total.version}
	return true
}

func (m *storeModel) startProcess() {
	r := &routerProcess{id: m.nextID}
	m.nextID++
	r.account.SetPrepaid(m.prepaid)
	r.account.Sync(m.rowsFor(r.id), m.now)
	m.processes[r.id] = r
}

// transact runs the process's next transaction. Its response may be lost, and
// it may commit later.
func (m *storeModel) transact(r *routerProcess) {
	tx, ok := r.account.NextTransaction(m.now)
	if !ok {
		return
	}
	switch rapid.IntRange(0, 5).Draw(m.t, "response") {
	case 0: // commits late or never
		m.lateTransactions = append(m.lateTransactions, lateTransaction{r.id, tx})
	case 1: // committed, but the response is lost
		m.commit(r.id, tx)
	default:
		if m.commit(r.id, tx) {
			r.account.OnCommitted(m.rowsFor(r.id), tx, m.now)
			return
		}
		r.account.Sync(m.rowsFor(r.id), m.now)
	}
}

// storeBound sends a usage bound of the process, whose response may be lost.
func (m *storeModel) storeBound(r *routerProcess) {
	if r.pending == nil {
		b := r.account.NextBound(m.now)
		r.account.AddBound(b)
		r.pending = &b
	}
	switch rapid.IntRange(0, 2).Draw(m.t, "bound response") {
	case 0: // lost on the way to the store
	case 1: // stored, but the response is lost
		r.stored = r.pending
	default:
		r.stored = r.pending
		r.account.ConfirmBound(*r.pending)
		r.pending = nil
	}
}

// crash ends a process; its in-flight requests consume their whole
// reservations. The next process on the machine returns what it can't have
// consumed.
func (m *storeModel) crash(r *routerProcess) {
	for _, tokens := range r.reserved {
		m.consumed += tokens
	}
	delete(m.processes, r.id)
	crashedAt := m.now
	m.advanceClock()
	if r.stored == nil {
		return
	}
	maxConsumed := r.stored.MaxAfter(m.now.Sub(r.stored.Since))
	if m.now.Before(crashedAt) {
		m.t.Fatal("the clock went backwards")
	}
	rows := m.rowsFor(r.id)
	unspent := rows.Taken - rows.Returned - maxConsumed
	if unspent <= 0 {
		return
	}
	after := rows
	after.Total -= unspent
	after.Returned += unspent
	m.commit(r.id, Transaction{Before: rows, After: after})
}

func (m *storeModel) advanceClock() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(m.t, "ms")) * time.Millisecond)
}

// TestConsumptionNeverExceedsPrepaidAmount runs processes that take, spend and
// return tokens, store usage bounds and crash, against a store whose responses
// are lost or late. It guards against overspending after a transaction is
// counted twice or the usage of a crashed process is underestimated.
func TestConsumptionNeverExceedsPrepaidAmount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &storeModel{t: t, now: time.Unix(1, 0), prepaid: rapid.Int64Range(100, 100000).Draw(t, "prepaid"),
			holders: make(map[int]row), processes: make(map[int]*routerProcess)}
		for range rapid.IntRange(1, 4).Draw(t, "routers") {
			m.startProcess()
		}
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			m.randomAction()
			if m.consumed > m.prepaid {
				t.Fatalf("consumed %d tokens of %d prepaid", m.consumed, m.prepaid)
			}
		}
	})
}

func (m *storeModel) randomAction() {
	if len(m.processes) == 0 {
		m.startProcess()
	}
	r := m.pickProcess()
	switch rapid.IntRange(0, 8).Draw(m.t, "action") {
	case 0:
		m.transact(r)
	case 1, 2:
		tokens := rapid.Int64Range(1, m.prepaid/8+1).Draw(m.t, "tokens")
		rank := rapid.IntRange(0, 2).Draw(m.t, "rank")
		r.account.RecordDemand(tokens, rank, m.now)
		if r.account.Reserve(tokens, rank, m.now) {
			r.reserved = append(r.reserved, tokens)
			return
		}
		r.account.AddWaiting(tokens)
		m.transact(r)
		r.account.AddWaiting(-tokens)
		if r.account.Reserve(tokens, rank, m.now) {
			r.reserved = append(r.reserved, tokens)
		}
	case 3, 4:
		if len(r.reserved) == 0 {
			return
		}
		reserved := r.reserved[0]
		used := reserved
		if rapid.Bool().Draw(m.t, "part") {
			used = rapid.Int64Range(0, reserved).Draw(m.t, "used")
		}
		r.reserved = r.reserved[1:]
		r.account.Settle(reserved, used)
		m.consumed += used
	case 5:
		m.storeBound(r)
	case 6:
		for _, l := range m.lateTransactions {
			m.commit(l.holder, l.transaction)
		}
		m.lateTransactions = nil
		r.account.Sync(m.rowsFor(r.id), m.now)
	case 7:
		if rapid.IntRange(0, 3).Draw(m.t, "crashes") <= 1 {
			m.crash(r)
			m.startProcess()
		}
	case 8:
		m.advanceClock()
	}
}

func (m *storeModel) pickProcess() *routerProcess {
	n := rapid.IntRange(0, len(m.processes)-1).Draw(m.t, "process")
	for id := range m.nextID {
		r, ok := m.processes[id]
		if !ok {
			continue
		}
		if n == 0 {
			return r
		}
		n--
	}
	m.t.Fatal("no process found")
	return nil
}
