package budgetsim

import (
	"fmt"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
)

// CheckInvariants compares the platform's rows with what really ran: every token that
// ran is granted, spent or in doubt, so that it can't be drawn again. This is
// stricter than that no budget is overspent. It is cheap.
func (w *World) CheckInvariants() error {
	if w.err != nil {
		return fmt.Errorf("step %d: %w", w.Steps, w.err)
	}
	for b := range budgets {
		row := w.budgetRow(b)
		if w.ran[b] > row.Prepaid-row.Free {
			return fmt.Errorf("step %d: budget %s: %d tokens ran, but only %d of %d prepaid aren't free", w.Steps, row.Name, w.ran[b], row.Prepaid-row.Free, row.Prepaid)
		}
		if row.Free < 0 || row.Prepaid != row.Free+row.Granted+row.Spent+row.InDoubt {
			return fmt.Errorf("step %d: row broken: %v", w.Steps, row)
		}
	}
	for _, n := range w.nodes {
		for b := range budgets {
			if _, broken := n.holders[b].ConservationChecks(); broken > 0 {
				return fmt.Errorf("step %d: router %s broke conservation of %s", w.Steps, n.id, name(b))
			}
		}
		if n.cache.Counters.UncoveredTokens > 0 {
			return fmt.Errorf("step %d: router %s settled %d tokens that had been released", w.Steps, n.id, n.cache.Counters.UncoveredTokens)
		}
		if n.cache.Counters.Violations > 0 {
			return fmt.Errorf("step %d: router %s made a transaction that breaks conservation", w.Steps, n.id)
		}
	}
	return nil
}

func (w *World) budgetRow(b int) *pb.BudgetRow {
	row := &pb.BudgetRow{}
	parse(w.store.rows[budget.BudgetKey(name(b))], row)
	return row
}

// CheckRowTotals compares all rows with each other: grants and doubts with their
// budget, bills with what is spent, entries with bills.
func (w *World) CheckRowTotals() error {
	for b := range budgets {
		row := w.budgetRow(b)
		if sum := w.sumGrants(b); sum != row.Granted {
			return fmt.Errorf("budget %s: grants have %d outstanding, the row %d", row.Name, sum, row.Granted)
		}
		if sum := w.sumDoubts(b); sum != row.InDoubt {
			return fmt.Errorf("budget %s: %d in doubt by row, the sum says %d", row.Name, sum, row.InDoubt)
		}
	}
	return w.auditBills()
}

func (w *World) sumGrants(b int) int64 {
	var sum int64
	for _, row := range w.store.Scan(budget.GrantsPrefix(name(b)), "") {
		g := &pb.GrantRow{}
		parse(row, g)
		if !g.Closed {
			sum += budget.Outstanding(g)
		}
	}
	return sum
}

func (w *World) sumDoubts(b int) int64 {
	var sum int64
	for _, row := range w.store.Scan(budget.DoubtsPrefix(name(b)), "") {
		d := &pb.DoubtRow{}
		parse(row, d)
		sum += d.Tokens
	}
	return sum
}

func (w *World) auditBills() error {
	var spent [budgets]int64
	entries := make(map[string]bool)
	for _, row := range w.store.Scan(budget.BillKey(""), "") {
		bill := &pb.BillRow{}
		parse(row, bill)
		spent[index(bill.Budget)] += bill.Tokens
		if budget.PartsSum(bill.Parts) != bill.Tokens {
			return fmt.Errorf("bill %s of %d tokens has parts of %d", bill.RequestId, bill.Tokens, budget.PartsSum(bill.Parts))
		}
		for _, e := range bill.Entries {
			if entries[e] {
				return fmt.Errorf("entry %s took effect twice", e)
			}
			entries[e] = true
		}
	}
	for b := range budgets {
		if row := w.budgetRow(b); row.Spent != spent[b]+w.writtenOff[b] {
			return fmt.Errorf("budget %s: %d spent by row, bills %d, written off %d", row.Name, row.Spent, spent[b], w.writtenOff[b])
		}
	}
	return nil
}

// QuiesceAndCheck ends all faults, lets everything settle and checks that each run of
// a live router is billed once and exactly, and that nothing stays granted.
func (w *World) QuiesceAndCheck() error {
	w.Heal()
	w.Resume()
	for len(w.late) > 0 {
		w.land()
	}
	for _, r := range w.runs {
		if !r.ended && !r.node.dead {
			w.finish(r)
		}
	}
	for round := 0; w.waiting() && round < 4000; round++ {
		for _, n := range w.nodes {
			w.write(n, budgets)
		}
		for len(w.late) > 0 {
			w.land()
		}
	}
	if err := w.checkRuns(); err != nil {
		return err
	}
	w.closeAll()
	if err := w.CheckInvariants(); err != nil {
		return err
	}
	return w.CheckRowTotals()
}

// waiting reports whether a live router keeps a bill that can be settled.
func (w *World) waiting() bool {
	for _, n := range w.nodes {
		if n.outbox.Len()+n.copies.Len() > 0 {
			return true
		}
	}
	return false
}

// closeAll closes and fences every grant, and releases what is proved unspent.
func (w *World) closeAll() {
	for b := range budgets {
		for _, row := range w.store.Scan(budget.GrantsPrefix(name(b)), "") {
			g := &pb.GrantRow{}
			parse(row, g)
			w.closeGrant(g)
		}
	}
	for _, mark := range w.store.Scan(budget.ClosedPrefix, "") {
		for _, n := range w.nodes {
			w.fence(n, mark.Key[len(budget.ClosedPrefix):])
		}
	}
	for b := range budgets {
		for _, row := range w.store.Scan(budget.DoubtsPrefix(name(b)), "") {
			d := &pb.DoubtRow{}
			parse(row, d)
			w.release(d)
		}
	}
}

// checkRuns verifies that each run of a live router has its bill, and that
// the billed run's usage is the bill.
func (w *World) checkRuns() error {
	for _, r := range w.runs {
		if r.node.dead {
			continue
		}
		rows := w.store.Read([]string{budget.BillKey(r.request)})
		if len(rows) == 0 {
			return fmt.Errorf("run %s has no bill", r.id)
		}
		bill := &pb.BillRow{}
		parse(rows[0], bill)
		if bill.Run != r.id {
			continue
		}
		if bill.Doubt == "" && !r.unknown && bill.Tokens != r.usage && len(bill.Entries) > 0 && !w.decided(bill, r) {
			return fmt.Errorf("run %s used %d tokens, its bill is %d", r.id, r.usage, bill.Tokens)
		}
	}
	return nil
}

// decided reports whether an operator had written the run's bound off before
// its usage was told; its bill is then below its usage.
func (w *World) decided(bill *pb.BillRow, r *run) bool {
	return bill.Tokens < r.usage && len(bill.Entries) > 1
}
