package budget

import (
	"testing"

	"github.com/matryer/is"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// fakeStore is an in-memory platform that serves one attempt after another.
type fakeStore map[string]*pb.Row

func (s fakeStore) run(apply func(t *Txn) error) error {
	a := NewAttempt(NewCache(), apply)
	for {
		step := a.Next()
		switch {
		case step.Done:
			return step.Err
		case step.Read != nil:
			var rows []*pb.Row
			for _, key := range step.Read {
				if row, ok := s[key]; ok {
					rows = append(rows, row)
				}
			}
			a.HandleRows(step.Read, rows)
		default:
			a.HandleResponse(s.commit(step.Commit))
		}
	}
}

func (s fakeStore) commit(req *pb.CommitRequest) *pb.CommitResponse {
	var conflicts []*pb.Row
	for _, c := range req.Conditions {
		if row := s[c.Key]; row.GetVersion() != c.Version && row != nil {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return &pb.CommitResponse{Conflicts: conflicts}
	}
	for _, w := range req.Writes {
		if w.Delete {
			delete(s, w.Key)
			continue
		}
		s[w.Key] = &pb.Row{Key: w.Key, Value: w.Value, Version: s[w.Key].GetVersion() + 1}
	}
	return &pb.CommitResponse{Committed: true, Version: 1}
}

func (s fakeStore) topUp(id, budget string, tokens int64) error {
	return s.run(func(t *Txn) error {
		_, err := t.TopUp(id, budget, tokens)
		return err
	})
}

func (s fakeStore) budgetRow() *pb.BudgetRow {
	var row *pb.BudgetRow
	_ = s.run(func(t *Txn) error {
		row, _ = t.Budget("b")
		return nil
	})
	return row
}

// Each kind of invalid input returns its own error kind and changes no row.
func TestBadInputChangesNothing(t *testing.T) {
	is := is.New(t)
	s := fakeStore{}
	is.NoErr(s.topUp("t1", "b", 100))
	is.NoErr(s.run(func(t *Txn) error {
		_, err := t.Draw(DrawRequest{Grant: &pb.GrantRow{Id: "g", Budget: "b", Holder: "h"}, Need: 40, Want: 40, MaxSharePermille: 1000})
		return err
	}))
	entry := func(tokens int64, parts ...int64) *pb.BillEntry {
		e := &pb.BillEntry{Id: "e", RequestId: "r", Run: "x", Budget: "b", Tokens: tokens}
		for _, n := range parts {
			e.Parts = append(e.Parts, &pb.BillPart{Grant: "g", Tokens: n})
		}
		return e
	}
	unknownBudget := entry(1, 1)
	unknownBudget.Budget = "nobody"
	cases := []struct {
		kind  errkind.Kind
		apply func() error
	}{
		{errkind.BadAmount, func() error { return s.topUp("t2", "b", 0) }},
		{errkind.BadAmount, func() error { return s.topUp("t2", "b", MaxTokens) }},
		{errkind.BadAmount, func() error { return s.topUp("t2", "b", -MaxTokens-1) }},
		{errkind.BadRequest, func() error { return s.topUp("", "b", 1) }},
		{errkind.TopUpReused, func() error { return s.topUp("t1", "b", 99) }},
		{errkind.TopUpReused, func() error { return s.topUp("t1", "c", 100) }},
		{errkind.BudgetTooLow, func() error { return s.topUp("t2", "b", -61) }},
		{errkind.UnknownBudget, func() error { return s.run(func(t *Txn) error { return t.Settle(unknownBudget) }) }},
		{errkind.BadAmount, func() error { return s.run(func(t *Txn) error { return t.Settle(entry(-1, 5)) }) }},
		{errkind.BadAmount, func() error { return s.run(func(t *Txn) error { return t.Settle(entry(1, -5)) }) }},
		{errkind.BadAmount, func() error { return s.run(func(t *Txn) error { return t.Settle(entry(1, MaxTokens, MaxTokens)) }) }},
		{errkind.BillOverReservation, func() error { return s.run(func(t *Txn) error { return t.Settle(entry(6, 5)) }) }},
		{errkind.BillOverReservation, func() error { return s.run(func(t *Txn) error { return t.Settle(entry(41, 41)) }) }},
		{errkind.Conflict, func() error {
			_ = s.run(func(t *Txn) error { _, err := t.Close("b", "g"); return err })
			return s.run(func(t *Txn) error { return t.Return("b", "g", 1) })
		}},
	}
	for _, c := range cases {
		is.Equal(errkind.KindOf(c.apply()), c.kind)
	}
	row := s.budgetRow()
	is.Equal([]int64{row.Prepaid, row.Free, row.Granted, row.Spent, row.InDoubt}, []int64{100, 60, 0, 0, 40})
}

// A negative top-up lowers a budget by at most what is free, once per id.
func TestNegativeTopUpIsBoundedByFree(t *testing.T) {
	is := is.New(t)
	s := fakeStore{}
	is.NoErr(s.topUp("t1", "b", 100))
	is.NoErr(s.topUp("t2", "b", -100))
	is.NoErr(s.topUp("t2", "b", -100))
	is.Equal(errkind.KindOf(s.topUp("t3", "b", -1)), errkind.BudgetTooLow)
	is.Equal(s.budgetRow().Prepaid, int64(0))
}

// Usage beyond the reservation and invalid amounts change nothing at the
// holder.
func TestHolderRefusesBadAmounts(t *testing.T) {
	is := is.New(t)
	h := NewHolder("h", "b")
	h.ApplyGrant(&pb.GrantRow{Id: "h~1", Budget: "b", Holder: "h", Granted: 50})
	parts, err := h.Reserve(30)
	is.NoErr(err)
	_, err = h.Settle(&parts, 31)
	is.Equal(errkind.KindOf(err), errkind.BillOverReservation)
	_, err = h.Settle(&parts, -1)
	is.Equal(errkind.KindOf(err), errkind.BadAmount)
	_, err = h.Reserve(21)
	is.Equal(errkind.KindOf(err), errkind.BudgetUnreachable)
	_, err = h.Reserve(0)
	is.Equal(errkind.KindOf(err), errkind.BadAmount)
	is.Equal(h.Free()+h.Reserved(), int64(50))
	h.ReceiveLoan(&pb.LoanTotal{Budget: "b", Grant: "g", From: "p", To: "h", Tokens: -5})
	is.Equal(h.Free(), int64(20))
}

// Loans of a grant that was fenced add no tokens.
func TestFencedGrantIgnoresLoans(t *testing.T) {
	is := is.New(t)
	h := NewHolder("h", "b")
	loan := &pb.LoanTotal{Budget: "b", Grant: "g", From: "p", To: "h", Tokens: 10}
	is.Equal(h.ReceiveLoan(loan), int64(10))
	is.Equal(h.ReceiveLoan(loan), int64(0))
	givenUp, reserved := h.Fence("g")
	is.Equal(givenUp, int64(10))
	is.Equal(reserved, int64(0))
	loan.Tokens = 20
	is.Equal(h.ReceiveLoan(loan), int64(0))
	is.Equal(h.Free(), int64(0))
}

// An entry that reports the usage of a run can't be settled before the run's
// covering entry. Another router may settle the covering entry; this router
// then finds out by reading the bill.
func TestEntrySettlesOnceCoveringEntryArrives(t *testing.T) {
	is := is.New(t)
	s := fakeStore{}
	is.NoErr(s.topUp("t1", "b", 100))
	is.NoErr(s.run(func(t *Txn) error {
		_, err := t.Draw(DrawRequest{Grant: &pb.GrantRow{Id: "g", Budget: "b", Holder: "h"}, Need: 40, Want: 40})
		return err
	}))
	usage := &pb.BillEntry{Id: "b.1", RequestId: "r", Run: "x", Budget: "b", Tokens: 7}
	settle := func(e *pb.BillEntry) error { return s.run(func(t *Txn) error { return t.Settle(e) }) }
	is.True(IsMissingCoveringEntry(settle(usage)))
	is.NoErr(settle(&pb.BillEntry{Id: "a.1", RequestId: "r", Run: "x", Budget: "b", Tokens: 40, UsageUnknown: true, Parts: []*pb.BillPart{{Grant: "g", Tokens: 40}}}))
	is.Equal(s.budgetRow().InDoubt, int64(40))
	settleIfCovered := func(t *Txn) error {
		if err := t.Settle(usage); !IsMissingCoveringEntry(err) {
			return err
		}
		return nil
	}
	is.NoErr(s.run(settleIfCovered))
	is.Equal([]int64{s.budgetRow().Spent, s.budgetRow().Free, s.budgetRow().InDoubt}, []int64{7, 93, 0})
}
