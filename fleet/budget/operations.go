package budget

import (
	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// budgetRow opens a budget's row and checks that it exists.
func (t *Txn) budgetRow(budget string) (typedRow[*pb.BudgetRow], error) {
	b, ok := open(t, BudgetKey(budget), &pb.BudgetRow{})
	if ok && !b.exists {
		return b, errkind.New(errkind.UnknownBudget, "budget %s does not exist", budget)
	}
	return b, nil
}

// saveBudget checks conservation and marks the row as changed.
func (t *Txn) saveBudget(b typedRow[*pb.BudgetRow]) {
	t.cache.Counters.Checks++
	if err := checkBudget(b.row); err != nil {
		t.invariantErr = err
	}
	b.save()
}

// TopUp adds tokens to a budget, once per id. The first top-up creates the
// budget's row. Negative tokens lower the budget, at most by what is free. It
// reports whether this transaction applies the top-up; a repeat changes
// nothing.
func (t *Txn) TopUp(id, budget string, tokens int64) (bool, error) {
	if id == "" || budget == "" {
		return false, errkind.New(errkind.BadRequest, "a top-up needs an id and a budget")
	}
	if tokens == 0 || tokens > MaxTokens || tokens < -MaxTokens {
		return false, errkind.New(errkind.BadAmount, "invalid top-up of %d tokens", tokens)
	}
	topUp, _ := open(t, TopUpKey(id), &pb.TopUpRow{})
	if topUp.exists {
		return false, checkSameTopUp(topUp.row, budget, tokens)
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
	topUp.row.Id, topUp.row.Budget, topUp.row.Tokens = id, budget, tokens
	topUp.save()
	return true, nil
}

func checkSameTopUp(topUp *pb.TopUpRow, budget string, tokens int64) error {
	if topUp.Budget == budget && topUp.Tokens == tokens {
		return nil
	}
	return errkind.New(errkind.TopUpReused, "top-up %s was already used for %d tokens to budget %s", topUp.Id, topUp.Tokens, topUp.Budget)
}

func checkTopUp(b typedRow[*pb.BudgetRow], budget string, tokens int64) error {
	if tokens > MaxTokens-b.row.Prepaid {
		return errkind.New(errkind.BadAmount, "budget %s would exceed %d tokens", budget, MaxTokens)
	}
	if tokens < 0 && b.row.Free < -tokens {
		return errkind.New(errkind.BudgetTooLow, "budget %s cannot be lowered by more than its %d free tokens", budget, max(b.row.Free, 0))
	}
	return nil
}

// DrawRequest describes a draw of tokens from a budget.
type DrawRequest struct {
	// Grant identifies the grant to create or to raise, and its holder.
	Grant *pb.GrantRow
	// Need is the number of tokens required, Want the number preferred.
	Need, Want int64
	// HolderFree is what the holder already has free.
	HolderFree int64
	// MaxSharePermille limits draws beyond Need: afterwards the holder has at
	// most this share of the tokens free in the budget and with the holder.
	MaxSharePermille int64
}

// Draw moves tokens from free to a grant and returns how many, which is less
// than needed, or none, if the budget is nearly exhausted. A closed grant is
// not raised; the holder starts a new one.
func (t *Txn) Draw(req DrawRequest) (int64, error) {
	b, err := t.budgetRow(req.Grant.Budget)
	if err != nil {
		return 0, err
	}
	g, ok := open(t, GrantKey(req.Grant.Budget, req.Grant.Id), &pb.GrantRow{})
	if !ok || b.txnRow == nil || g.row.Closed {
		return 0, nil
	}
	tokens := drawSize(req, b.row.Free)
	t.refused = t.refused || tokens < req.Need
	if tokens <= 0 {
		return 0, nil
	}
	if !g.exists {
		copyHolder(g.row, req.Grant)
	}
	b.row.Free -= tokens
	b.row.Granted += tokens
	t.saveBudget(b)
	g.row.Granted += tokens
	g.row.Seq++
	g.save()
	return tokens, nil
}

func drawSize(req DrawRequest, free int64) int64 {
	if free <= 0 {
		return 0
	}
	total := free + req.HolderFree
	share := total/1000*req.MaxSharePermille + total%1000*req.MaxSharePermille/1000 - req.HolderFree
	return min(max(req.Need, min(req.Want, share)), free)
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
// over the grant's lifetime, so that a repeat changes nothing. Only the holder
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
		// What remains of a closed grant is in doubt. Its holder gives that up
		// by a fence.
		return errkind.New(errkind.Conflict, "grant %s is closed", grant)
	}
	return t.move(budget, grant, tokens, toFree)
}

// Close closes a grant: its outstanding tokens are in doubt until they are
// billed, given up or released. It returns their number. Anyone may close a
// grant.
func (t *Txn) Close(budget, grant string) (int64, error) {
	b, err := t.budgetRow(budget)
	if err != nil {
		return 0, err
	}
	g, ok := open(t, GrantKey(budget, grant), &pb.GrantRow{})
	if !ok || b.txnRow == nil {
		return 0, nil
	}
	if !g.exists {
		return 0, errkind.New(errkind.UnknownRequest, "budget %s has no grant %s", budget, grant)
	}
	if g.row.Closed {
		return 0, nil
	}
	tokens := Outstanding(g.row)
	if !t.insertDoubt(budget, grant, tokens, g.row) {
		return 0, nil
	}
	b.row.Granted -= tokens
	b.row.InDoubt += tokens
	t.saveBudget(b)
	g.row.Closed = true
	g.save()
	return tokens, nil
}

// insertDoubt inserts the row that marks a grant as closed and the row of its
// tokens in doubt.
func (t *Txn) insertDoubt(budget, grant string, tokens int64, g *pb.GrantRow) bool {
	closed, closedRead := open(t, ClosedKey(grant), &pb.ClosedRow{})
	doubt, doubtRead := open(t, DoubtKey(budget, grant), &pb.DoubtRow{})
	if !doubtRead || !closedRead {
		return false
	}
	if !closed.exists {
		closed.row.Grant, closed.row.Holder, closed.row.VmInstance = grant, g.Holder, g.VmInstance
		closed.save()
	}
	if tokens == 0 {
		return true
	}
	doubt.row.Id, doubt.row.Budget, doubt.row.Grant = grant, budget, grant
	doubt.row.Tokens = tokens
	doubt.row.Reason = pb.DoubtReason_DOUBT_REASON_HOLDER_CLOSED
	doubt.save()
	return true
}
