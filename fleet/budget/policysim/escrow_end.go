package policysim

import (
	"fmt"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
)

// finish bills a run; the entry goes to the budget's home.
func (e *escrow) finish(r request) {
	list := e.parts[r]
	parts := list[0]
	if len(list) == 1 {
		delete(e.parts, r)
	} else {
		e.parts[r] = list[1:]
	}
	billed, err := e.holders[r.router][r.budget].holder.Settle(&parts, r.usage)
	if err != nil {
		panic(err) // Usage is within the bound.
	}
	e.bills++
	id := fmt.Sprint("e", e.bills)
	home := e.home(r.budget, r.router/routersPerCentre)
	e.queues[home] = append(e.queues[home], &pb.BillEntry{
		Id: id, RequestId: id, Run: id, Budget: name(r.budget), Parts: billed.Proto(), Tokens: r.usage,
	})
}

// kill ends a router; another starts in its place. Its grant stays open until
// someone closes it. What it had billed is with the homes, which are others;
// bills that it kept as home come again from their origins.
func (e *escrow) kill(router int) {
	at := e.t + e.policy.CloseAfter
	grant := budget.GrantID(e.members[router].Incarnation, 1)
	e.closing[at] = append(e.closing[at], grant)
	ran := make(map[int]int64)
	for r, list := range e.parts {
		if r.router == router {
			ran[r.budget] += boundTokens * int64(len(list))
			delete(e.parts, r)
		}
	}
	e.releasing[e.t+releaseAfter] = append(e.releasing[e.t+releaseAfter], release{grant, ran})
	queue := e.queues[router]
	e.queues[router] = nil
	e.start(router)
	for _, entry := range queue {
		next := e.rand.Intn(routers)
		e.queues[next] = append(e.queues[next], entry)
	}
}

// tick settles what is due and closes grants.
func (e *escrow) tick(t int) {
	e.t = t
	e.now = e.now.Add(1e9)
	for _, f := range e.late[t] {
		f()
	}
	delete(e.late, t)
	for r := range routers {
		if t%e.policy.SettleEvery == r%e.policy.SettleEvery && e.net.platform(r/routersPerCentre) && (!e.net.slow || t%slowDraw == 0) {
			e.settle(r)
		}
	}
	for _, grant := range e.closing[t] {
		e.close(grant)
	}
	delete(e.closing, t)
	for _, r := range e.releasing[t] {
		e.release(r)
	}
	delete(e.releasing, t)
}

// releaseAfter is how long after a death an operator has compared the engines'
// records and releases what did not run, in seconds.
const releaseAfter = 2 * 3600

// release is an operator's decision about a dead router's grant: all but what
// may have run there returns to free.
type release struct {
	grant string
	ran   map[int]int64
}

func (e *escrow) release(r release) {
	for b := range budgets {
		e.change(func(t *budget.Txn) error {
			d, ok := t.Doubt(name(b), r.grant)
			if !ok || d.Tokens <= r.ran[b] {
				return nil
			}
			_, err := t.Release(name(b), r.grant, d.Tokens-r.ran[b], budget.ResolveUnspent)
			return err
		})
	}
}

// mostBills bounds one transaction.
const mostBills = 200

func (e *escrow) settle(r int) {
	n := min(len(e.queues[r]), mostBills)
	if n == 0 {
		return
	}
	entries := e.queues[r][:n]
	e.queues[r] = e.queues[r][n:]
	e.change(func(t *budget.Txn) error {
		for _, entry := range entries {
			if err := t.Settle(entry); err != nil {
				return err
			}
		}
		return nil
	})
	e.store.DeleteBills(entries)
}

// close closes a dead router's grants. All live routers give up their loans
// of it, which are free again; the rest stays in doubt.
func (e *escrow) close(grant string) {
	for b := range budgets {
		if !e.store.Has(budget.GrantKey(name(b), grant)) {
			continue
		}
		e.change(func(t *budget.Txn) error {
			tokens, err := t.Close(name(b), grant)
			if err == nil && tokens > 0 {
				e.inDoubt += tokens
			}
			return err
		})
	}
	for r := range routers {
		if e.net.platform(r / routersPerCentre) {
			e.fence(r, grant)
		}
	}
}

func (e *escrow) fence(r int, grant string) {
	row := &pb.FenceRow{Grant: grant, Incarnation: e.members[r].Incarnation}
	for b := range budgets {
		h := e.holders[r][b].holder
		if !h.HasGrant(grant) {
			continue
		}
		givenUp, reserved := h.Fence(grant)
		row.Parts = append(row.Parts, &pb.FencePart{Budget: name(b), GivenUp: givenUp, Outstanding: reserved})
	}
	e.change(func(t *budget.Txn) error { return t.Fence(row) })
}

// outcome returns transactions and the tokens of dead routers that nobody can
// use: in doubt, or still granted to them.
func (e *escrow) outcome() (int, int64) {
	if e.inDoubt == 0 {
		return e.store.Commits, 0
	}
	var sum int64
	for b := range budgets {
		sum += e.row(b).InDoubt
	}
	return e.store.Commits, sum
}
