package budget

import (
	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// destination is where tokens of a grant move.
type destination uint8

const (
	toFree destination = iota
	toSpent
	toDoubt
)

// move takes outstanding tokens of a grant to a destination: out of granted if
// the grant is open, out of in doubt if it is closed.
func (t *Txn) move(budget, grant string, tokens int64, to destination) error {
	b, err := t.budgetRow(budget)
	if err != nil {
		return err
	}
	g, ok := open(t, GrantKey(budget, grant), &pb.GrantRow{})
	if !ok || b.txnRow == nil {
		return nil
	}
	if !g.exists {
		return errkind.New(errkind.BadAmount, "budget %s has no grant %s", budget, grant)
	}
	if g.row.Closed {
		return t.moveFromDoubt(b, g, tokens, to)
	}
	if tokens > Outstanding(g.row) {
		return errkind.New(errkind.BillOverReservation, "grant %s has %d tokens outstanding, %d are needed", grant, Outstanding(g.row), tokens)
	}
	if to == toFree {
		g.row.Returned += tokens
	} else {
		g.row.Settled += tokens
	}
	g.save()
	b.row.Granted -= tokens
	credit(b.row, tokens, to)
	t.saveBudget(b)
	return nil
}

// moveFromDoubt takes tokens of a closed grant out of its doubt row. Tokens
// that an operator has already released are taken from free, even if it becomes
// negative, and counted as uncovered.
func (t *Txn) moveFromDoubt(b typedRow[*pb.BudgetRow], g typedRow[*pb.GrantRow], tokens int64, to destination) error {
	covered, ok := t.takeFromDoubt(b, g.row.Id, tokens)
	if !ok {
		return nil
	}
	if to == toFree {
		tokens = covered
		g.row.Returned += tokens
	} else {
		g.row.Settled += tokens
	}
	g.save()
	if shortfall := tokens - covered; shortfall > 0 {
		t.uncoveredTokens += shortfall
		b.row.Free -= shortfall
	}
	credit(b.row, tokens, to)
	t.saveBudget(b)
	return nil
}

// takeFromDoubt takes up to the given number of tokens out of a doubt row and
// the budget's sum in doubt, and returns how many. It returns false if rows are
// missing.
func (t *Txn) takeFromDoubt(b typedRow[*pb.BudgetRow], doubt string, tokens int64) (int64, bool) {
	d, ok := open(t, DoubtKey(b.row.Name, doubt), &pb.DoubtRow{})
	if !ok {
		return 0, false
	}
	if !d.exists {
		return 0, true
	}
	taken := min(tokens, d.row.Tokens)
	d.row.Tokens -= taken
	b.row.InDoubt -= taken
	if d.row.Tokens > 0 {
		d.save()
		return taken, true
	}
	d.remove()
	return taken, true
}

func credit(b *pb.BudgetRow, tokens int64, to destination) {
	switch to {
	case toFree:
		b.Free += tokens
	case toSpent:
		b.Spent += tokens
	case toDoubt:
		b.InDoubt += tokens
	}
}

// Resolution is what an operator decides about tokens in doubt.
type Resolution uint8

const (
	// ResolveUnspent returns the tokens to free.
	ResolveUnspent Resolution = iota
	// ResolveSpent counts the tokens as spent.
	ResolveSpent
)

// Release moves up to the given number of tokens out of a doubt row and returns
// how many. Before tokens return to free, the caller must have made sure that
// no router can still bill them.
func (t *Txn) Release(budget, doubt string, tokens int64, resolution Resolution) (int64, error) {
	b, err := t.budgetRow(budget)
	if err != nil || b.txnRow == nil {
		return 0, err
	}
	taken, ok := t.takeFromDoubt(b, doubt, tokens)
	if !ok || taken == 0 {
		return 0, nil
	}
	if resolution == ResolveSpent {
		credit(b.row, taken, toSpent)
	} else {
		credit(b.row, taken, toFree)
	}
	t.saveBudget(b)
	return taken, nil
}
