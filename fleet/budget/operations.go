package budget

import (
	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// budgetRow opens a budget's row and checks that it exists.
func (t *Txn) budgetRow(budget string) (opened[*pb.BudgetRow], error) {
	b, ok := open(t, BudgetKey(budget), &pb.BudgetRow{})
	if ok && !b.exists {
		return b, errkind.New(errkind.UnknownBudget, "budget %s has no row", budget)
	}
	return b, nil
}

// saveBudget checks conservation and marks the row as changed.
func (t *Txn) saveBudget(b opened[*pb.BudgetRow]) {
	t.cache.Counters.Checks++
	if err := checkBudget(b.row); err != nil {
		t.fault = err
	}
	b.save()
}

// TopUp adds tokens to a budget once per id and creates the budget's row with
// its first top-up. Negative tokens lower the budget, at most by what is free.
// It reports whether this transaction applies it; a repeat changes nothing.
func (t *Txn) TopUp(id, budget string, tokens int64) (bool, error) {
	if id == "" || budget == "" {
		return false, errkind.New(errkind.BadRequest, "a top-up needs an id and a budget")
	}
	if tokens == 0 || tokens > MaxTokens || tokens < -MaxTokens {
		return false, errkind.New(errkind.BadAmount, "top-up of %d tokens", tokens)
	}
	u, _ := open(t, TopUpKey(id), &pb.TopUpRow{})
	if u.exists {
		return false, sameTopUp(u.row, budget, tokens)
	}
	b, ok := open(t, BudgetKey(budget), &pb.BudgetRow{})
	if !ok {
		return false, nil
	}
	if err := checkTopUp(b, budget, tokens); err != nil {
		return false, err
	}
	b.row.Name = budget
	b.row.Prepaid += tokens
	b.row.Free += tokens
	t.saveBudget(b)
	u.row.Id, u.row.Budget, u.row.Tokens = id, budget, tokens
	u.save()
	return true, nil
}

func sameTopUp(u *pb.TopUpRow, budget string, tokens int64) error {
	if u.Budget == budget && u.Tokens == tokens {
		return nil
	}
	return errkind.New(errkind.TopUpReused, "top-up %s was %d tokens to budget %s", u.Id, u.Tokens, u.Budget)
}

func checkTopUp(b opened[*pb.BudgetRow], budget string, tokens int64) error {
	if tokens > MaxTokens-b.row.Prepaid {
		return errkind.New(errkind.BadAmount, "budget %s would pass %d tokens", budget, MaxTokens)
	}
	if tokens < 0 && b.row.Free < -tokens {
		return errkind.New(errkind.BudgetTooLow, "budget %s has %d tokens free", budget, max(b.row.Free, 0))
	}
	return nil
}

// DrawRequest asks for tokens of a budget.
type DrawRequest struct {
	// Grant names the grant to create or to raise, with its holder.
	Grant *pb.GrantRow
	// Need is the least and Want the best number of tokens.
	Need, Want int64
	// HolderFree is what the holder has free already.
	HolderFree int64
	// MaxSharePermille bounds what is held after a draw beyond Need to a part of what
	// is free there and held.
	MaxSharePermille int64
}

// Draw moves tokens from free to a grant. It returns the tokens drawn, which
// are fewer than needed, or none, where the budget is nearly used up. A closed
// grant is not raised; the holder starts another.
func (t *Txn) Draw(w DrawRequest) (int64, error) {
	b, err := t.budgetRow(w.Grant.Budget)
	if err != nil {
		return 0, err
	}
	g, ok := open(t, GrantKey(w.Grant.Budget, w.Grant.Id), &pb.GrantRow{})
	if !ok || b.cell == nil || g.row.Closed {
		return 0, nil
	}
	tokens := drawSize(w, b.row.Free)
	t.suspect = t.suspect || tokens < w.Need
	if tokens <= 0 {
		return 0, nil
	}
	if !g.exists {
		copyHolder(g.row, w.Grant)
	}
	b.row.Free -= tokens
	b.row.Granted += tokens
	t.saveBudget(b)
	g.row.Granted += tokens
	g.row.Seq++
	g.save()
	return tokens, nil
}

func drawSize(w DrawRequest, free int64) int64 {
	if free <= 0 {
		return 0
	}
	seen := free + w.HolderFree
	share := seen/1000*w.MaxSharePermille + seen%1000*w.MaxSharePermille/1000 - w.HolderFree
	return min(max(w.Need, min(w.Want, share)), free)
}

func copyHolder(to, from *pb.GrantRow) {
	to.Id = from.Id
	to.Budget = from.Budget
	to.Holder = from.Holder
	to.VmName = from.VmName
	to.VmInstance = from.VmInstance
	to.DataCentre = from.DataCentre
}

// Return gives a grant's unused tokens back to free. The total is cumulative
// over the grant's life, so that a repeat changes nothing; only the holder
// may call it, for tokens that it will never spend.
func (t *Txn) Return(budget, grant string, total int64) error {
	g, ok := open(t, GrantKey(budget, grant), &pb.GrantRow{})
	if !ok {
		return nil
	}
	tokens := total - g.row.Returned
	if tokens <= 0 {
		return nil
	}
	if g.row.Closed {
		// The holder gives up doubt, which a fence records.
		return errkind.New(errkind.Conflict, "grant %s is closed", grant)
	}
	return t.move(budget, grant, tokens, toFree)
}

// Close takes a grant from its holder's row: what it has outstanding is in
// doubt until billed, given up or released. Anyone may close a grant.
func (t *Txn) Close(budget, grant string) (int64, error) {
	b, err := t.budgetRow(budget)
	if err != nil {
		return 0, err
	}
	g, ok := open(t, GrantKey(budget, grant), &pb.GrantRow{})
	if !ok || b.cell == nil {
		return 0, nil
	}
	if !g.exists {
		return 0, errkind.New(errkind.UnknownRequest, "budget %s has no grant %s", budget, grant)
	}
	if g.row.Closed {
		return 0, nil
	}
	tokens := Outstanding(g.row)
	if !t.doubt(budget, grant, tokens, g.row) {
		return 0, nil
	}
	b.row.Granted -= tokens
	b.row.InDoubt += tokens
	t.saveBudget(b)
	g.row.Closed = true
	g.save()
	return tokens, nil
}

// doubt inserts the doubt row and the mark of a closed grant.
func (t *Txn) doubt(budget, grant string, tokens int64, g *pb.GrantRow) bool {
	mark, marked := open(t, ClosedKey(grant), &pb.ClosedRow{})
	d, ok := open(t, DoubtKey(budget, grant), &pb.DoubtRow{})
	if !ok || !marked {
		return false
	}
	if !mark.exists {
		mark.row.Grant, mark.row.Holder, mark.row.VmInstance = grant, g.Holder, g.VmInstance
		mark.save()
	}
	if tokens == 0 {
		return true
	}
	d.row.Id, d.row.Budget, d.row.Grant = grant, budget, grant
	d.row.Tokens = tokens
	d.row.Reason = pb.DoubtReason_DOUBT_REASON_HOLDER_CLOSED
	d.save()
	return true
}
