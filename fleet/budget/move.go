package budget

import (
	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// place is where tokens of a grant go.
type place uint8

const (
	toFree place = iota
	toSpent
	toDoubt
)

// move takes outstanding tokens of a grant to another place: out of granted
// where the grant is open, out of in doubt where it is closed.
func (t *Txn) move(budget, grant string, tokens int64, to place) error {
	b, err := t.budgetRow(budget)
	if err != nil {
		return err
	}
	g, ok := open(t, GrantKey(budget, grant), &pb.GrantRow{})
	if !ok || b.cell == nil {
		return nil
	}
	if !g.exists {
		return errkind.New(errkind.BadAmount, "budget %s has no grant %s", budget, grant)
	}
	if g.row.Closed {
		return t.moveDoubt(b, g, tokens, to)
	}
	if tokens > Outstanding(g.row) {
		return errkind.New(errkind.BillOverReservation, "grant %s has %d tokens outstanding, not %d", grant, Outstanding(g.row), tokens)
	}
	if to == toFree {
		g.row.Returned += tokens
	} else {
		g.row.Settled += tokens
	}
	g.save()
	b.row.Granted -= tokens
	put(b.row, tokens, to)
	t.saveBudget(b)
	return nil
}

// moveDoubt takes tokens of a closed grant out of its doubt row. Where an
// operator has released them already, free covers them, even below zero, and
// the audit counts them.
func (t *Txn) moveDoubt(b opened[*pb.BudgetRow], g opened[*pb.GrantRow], tokens int64, to place) error {
	covered, ok := t.lowerDoubt(b, g.row.Id, tokens)
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
	if short := tokens - covered; short > 0 {
		t.uncovered += short
		b.row.Free -= short
	}
	put(b.row, tokens, to)
	t.saveBudget(b)
	return nil
}

// lowerDoubt takes up to tokens from a doubt row and from the budget's sum in
// doubt. It returns what was there, and false where rows are missing.
func (t *Txn) lowerDoubt(b opened[*pb.BudgetRow], doubt string, tokens int64) (int64, bool) {
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

func put(b *pb.BudgetRow, tokens int64, to place) {
	switch to {
	case toFree:
		b.Free += tokens
	case toSpent:
		b.Spent += tokens
	case toDoubt:
		b.InDoubt += tokens
	}
}

// Resolution is what an operator makes of tokens in doubt.
type Resolution uint8

const (
	// ResolveUnspent returns tokens to free.
	ResolveUnspent Resolution = iota
	// ResolveSpent counts tokens as spent.
	ResolveSpent
)

// Release moves up to tokens out of a doubt row and returns how many. The
// caller has made sure that no router can still bill tokens that return to
// free.
func (t *Txn) Release(budget, doubt string, tokens int64, d Resolution) (int64, error) {
	b, err := t.budgetRow(budget)
	if err != nil || b.cell == nil {
		return 0, err
	}
	taken, ok := t.lowerDoubt(b, doubt, tokens)
	if !ok || taken == 0 {
		return 0, nil
	}
	if d == ResolveSpent {
		put(b.row, taken, toSpent)
	} else {
		put(b.row, taken, toFree)
	}
	t.saveBudget(b)
	return taken, nil
}
