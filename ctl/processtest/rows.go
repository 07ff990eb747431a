package processtest

import (
	"context"

	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
)

// Bills returns the bills in the platform, keyed by request id.
func (f *Fleet) Bills() map[string]*pb.BillRow {
	f.t.Helper()
	bills := make(map[string]*pb.BillRow)
	for _, row := range f.scan(budget.BillKey("")) {
		bill := &pb.BillRow{}
		f.decode(row, bill)
		bills[bill.RequestId] = bill
	}
	return bills
}

// Budget returns the row of the budget. It fails the test if the parts of the
// row don't add up to the prepaid tokens, or if the budget is overspent.
func (f *Fleet) Budget() *pb.BudgetRow {
	f.t.Helper()
	rows, err := f.client.Read(context.Background(), budget.BudgetKey(BudgetName))
	if err != nil || len(rows) != 1 {
		f.t.Fatalf("read budget: %d rows, error %v", len(rows), err)
	}
	b := &pb.BudgetRow{}
	f.decode(rows[0], b)
	if b.Prepaid != b.Free+b.Granted+b.Spent+b.InDoubt {
		f.t.Fatalf("prepaid tokens differ from free + granted + spent + in doubt: %v", b)
	}
	if b.Spent > b.Prepaid || min(b.Free, b.Granted, b.Spent, b.InDoubt) < 0 {
		f.t.Fatalf("budget is overspent or has a negative part: %v", b)
	}
	return b
}

// DoubtRows returns the rows that record tokens in doubt.
func (f *Fleet) DoubtRows() []*pb.DoubtRow {
	f.t.Helper()
	var doubts []*pb.DoubtRow
	for _, row := range f.scan(budget.DoubtsPrefix(BudgetName)) {
		doubt := &pb.DoubtRow{}
		f.decode(row, doubt)
		doubts = append(doubts, doubt)
	}
	return doubts
}

// WaitBills waits until the platform holds count bills and their sum equals the
// spent tokens of the budget. It fails the test if there are more bills.
func (f *Fleet) WaitBills(count int) map[string]*pb.BillRow {
	f.t.Helper()
	var bills map[string]*pb.BillRow
	Eventually(f.t, "the platform holds the expected number of bills", func() bool {
		bills = f.Bills()
		return len(bills) >= count
	})
	f.waitBillsMatchSpent()
	bills = f.Bills()
	if len(bills) != count {
		f.t.Fatalf("the platform holds %d bills, want %d", len(bills), count)
	}
	return bills
}

// waitBillsMatchSpent waits until the sum of the bills equals the spent tokens
// of the budget. The two are read one after the other, so they may differ for a
// moment.
func (f *Fleet) waitBillsMatchSpent() {
	f.t.Helper()
	Eventually(f.t, "the sum of the bills equals the spent tokens", func() bool {
		var sum int64
		for _, b := range f.Bills() {
			sum += b.Tokens
		}
		return f.Budget().Spent == sum
	})
}

func (f *Fleet) scan(prefix string) []*pb.Row {
	f.t.Helper()
	var all []*pb.Row
	after := ""
	for {
		rows, more, err := f.client.Scan(context.Background(), prefix, after, 0)
		if err != nil {
			f.t.Fatalf("scan rows with prefix %s: %v", prefix, err)
		}
		all = append(all, rows...)
		if !more {
			return all
		}
		after = rows[len(rows)-1].Key
	}
}

func (f *Fleet) decode(row *pb.Row, message proto.Message) {
	f.t.Helper()
	if err := proto.Unmarshal(row.Value, message); err != nil {
		f.t.Fatalf("decode row %s: %v", row.Key, err)
	}
}

// engineRuns returns how many times the engines ran a request.
func (f *Fleet) engineRuns(id string) int {
	runs := 0
	for _, g := range f.Engines {
		runs += g.EngineCounts().RunsByID[id]
	}
	return runs
}

// executions returns how many times the plain services ran a request.
func (f *Fleet) executions(id string) int {
	runs := 0
	for _, g := range f.Services {
		runs += g.ServiceCounts().ExecutionsByID[id]
	}
	return runs
}
