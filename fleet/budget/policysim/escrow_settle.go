package policysim

import (
	"fmt"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
)

// finish bills a run. The entry goes to the budget's home.
func (e *escrow) finish(r request) {
	list := e.reservations[r]
	parts := list[0]
	if len(list) == 1 {
		delete(e.reservations, r)
	} else {
		e.reservations[r] = list[1:]
	}
	billed, err := e.holders[r.router][r.budget].holder.Settle(&parts, r.usage)
	if err != nil {
		panic(err) // The usage is within the bound.
	}
	e.billCount++
	id := fmt.Sprint("e", e.billCount)
	home := e.home(r.budget, r.router/routersPerCentre)
	e.pendingBills[home] = append(e.pendingBills[home], &pb.BillEntry{
		Id: id, RequestId: id, Run: id, Budget: budgetName(r.budget), Parts: billed.Proto(), Tokens: r.usage,
	})
}

// crash ends a router and starts another in its place. The grant of the dead
// router stays open until it is closed. The bills of its runs are with the
// homes, which are other routers. Bills that it kept as a home are sent again
// by their origins.
func (e *escrow) crash(router int) {
	closeAt := e.second + e.policy.CloseAfter
	grant := budget.GrantID(e.members[router].Incarnation, 1)
	e.closesDue[closeAt] = append(e.closesDue[closeAt], grant)
	mayHaveRun := make(map[int]int64)
	for r, list := range e.reservations {
		if r.router == router {
			mayHaveRun[r.budget] += requestBound * int64(len(list))
			delete(e.reservations, r)
		}
	}
	e.releasesDue[e.second+releaseDelay] = append(e.releasesDue[e.second+releaseDelay], pendingRelease{grant, mayHaveRun})
	queue := e.pendingBills[router]
	e.pendingBills[router] = nil
	e.start(router)
	for _, entry := range queue {
		next := e.rand.Intn(routerCount)
		e.pendingBills[next] = append(e.pendingBills[next], entry)
	}
}

// tick settles what is due and closes grants.
func (e *escrow) tick(t int) {
	e.second = t
	e.now = e.now.Add(1e9)
	for _, f := range e.delayedDraws[t] {
		f()
	}
	delete(e.delayedDraws, t)
	for r := range routerCount {
		if t%e.policy.SettleEvery == r%e.policy.SettleEvery && e.net.reachesPlatform(r/routersPerCentre) && (!e.net.platformSlow || t%slowDrawSeconds == 0) {
			e.settle(r)
		}
	}
	for _, grant := range e.closesDue[t] {
		e.close(grant)
	}
	delete(e.closesDue, t)
	for _, r := range e.releasesDue[t] {
		e.release(r)
	}
	delete(e.releasesDue, t)
}

// releaseDelay is the number of seconds after a crash at which an operator has
// compared the engines' records and releases what did not run.
const releaseDelay = 2 * 3600

// pendingRelease is an operator's decision about a dead router's grant: all but
// what may have run there returns to free.
type pendingRelease struct {
	grant      string
	mayHaveRun map[int]int64
}

func (e *escrow) release(r pendingRelease) {
	for b := range budgetCount {
		e.commit(func(t *budget.Txn) error {
			d, ok := t.Doubt(budgetName(b), r.grant)
			if !ok || d.Tokens <= r.mayHaveRun[b] {
				return nil
			}
			_, err := t.Release(budgetName(b), r.grant, d.Tokens-r.mayHaveRun[b], budget.ResolveUnspent)
			return err
		})
	}
}

// maxBatchBills bounds the bills of one transaction.
const maxBatchBills = 200

func (e *escrow) settle(r int) {
	n := min(len(e.pendingBills[r]), maxBatchBills)
	if n == 0 {
		return
	}
	entries := e.pendingBills[r][:n]
	e.pendingBills[r] = e.pendingBills[r][n:]
	e.commit(func(t *budget.Txn) error {
		for _, entry := range entries {
			if err := t.Settle(entry); err != nil {
				return err
			}
		}
		return nil
	})
	e.store.DeleteBills(entries)
}

// close closes a dead router's grants. All live routers give up their loans of
// it, which are then free again. The rest stays in doubt.
func (e *escrow) close(grant string) {
	for b := range budgetCount {
		if !e.store.Has(budget.GrantKey(budgetName(b), grant)) {
			continue
		}
		e.commit(func(t *budget.Txn) error {
			tokens, err := t.Close(budgetName(b), grant)
			if err == nil && tokens > 0 {
				e.inDoubt += tokens
			}
			return err
		})
	}
	for r := range routerCount {
		if e.net.reachesPlatform(r / routersPerCentre) {
			e.fence(r, grant)
		}
	}
}

func (e *escrow) fence(r int, grant string) {
	row := &pb.FenceRow{Grant: grant, Incarnation: e.members[r].Incarnation}
	for b := range budgetCount {
		h := e.holders[r][b].holder
		if !h.HasGrant(grant) {
			continue
		}
		givenUp, reserved := h.Fence(grant)
		row.Parts = append(row.Parts, &pb.FencePart{Budget: budgetName(b), GivenUp: givenUp, Outstanding: reserved})
	}
	e.commit(func(t *budget.Txn) error { return t.Fence(row) })
}

// totals returns the number of transactions, and the tokens in doubt, which
// nobody can use.
func (e *escrow) totals() (int, int64) {
	if e.inDoubt == 0 {
		return e.store.Commits, 0
	}
	var sum int64
	for b := range budgetCount {
		sum += e.budgetRow(b).InDoubt
	}
	return e.store.Commits, sum
}
