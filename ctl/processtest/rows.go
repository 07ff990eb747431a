package processtest

import (
	"context"

	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
)

// Bills returns the bills in the platform by request id.
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

// Budget returns the budget's row and fails the test where it breaks
// conservation or was overspent.
func (f *Fleet) Budget() *pb.BudgetRow {
	f.t.Helper()
	rows, err := f.rows.Read(context.Background(), budget.BudgetKey(BudgetName))
	if err != nil || len(rows) != 1 {
		f.t.Fatalf("reading the budget: %d rows, %v", len(rows), err)
	}
	b := &pb.BudgetRow{}
	f.decode(rows[0], b)
	if b.Prepaid != b.Free+b.Granted+b.Spent+b.InDoubt {
		f.t.Fatalf("conservation broken: %v", b)
	}
	if b.Spent > b.Prepaid || min(b.Free, b.Granted, b.Spent, b.InDoubt) < 0 {
		f.t.Fatalf("overspent: %v", b)
	}
	return b
}

// DoubtRows returns the rows of tokens in doubt.
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

// WaitBills waits until the platform holds exactly this many bills, and
// checks that they sum to what the budget spent.
func (f *Fleet) WaitBills(count int) map[string]*pb.BillRow {
	f.t.Helper()
	var bills map[string]*pb.BillRow
	Eventually(f.t, "the bills stand in the platform", func() bool {
		bills = f.Bills()
		return len(bills) >= count
	})
	f.waitSpent()
	bills = f.Bills()
	if len(bills) != count {
		f.t.Fatalf("%d bills stand in the platform, want %d", len(bills), count)
	}
	return bills
}

// waitSpent waits until the bills sum to what the budget spent. The two are
// read one after the other, so that they may differ for a moment.
func (f *Fleet) waitSpent() {
	f.t.Helper()
	Eventually(f.t, "the bills sum to the spent tokens", func() bool {
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
		rows, more, err := f.rows.Scan(context.Background(), prefix, after, 0)
		if err != nil {
			f.t.Fatalf("scanning %s: %v", prefix, err)
		}
		all = append(all, rows...)
		if !more {
			return all
		}
		after = rows[len(rows)-1].Key
	}
}

func (f *Fleet) decode(row *pb.Row, into proto.Message) {
	f.t.Helper()
	if err := proto.Unmarshal(row.Value, into); err != nil {
		f.t.Fatalf("row %s: %v", row.Key, err)
	}
}

// engineRuns returns how often the engines ran a request.
func (f *Fleet) engineRuns(id string) int {
	runs := 0
	for _, g := range f.Engines {
		runs += g.EngineCounts().RunsByID[id]
	}
	return runs
}

// executions returns how often the plain services ran a request.
func (f *Fleet) executions(id string) int {
	runs := 0
	for _, g := range f.Services {
		runs += g.ServiceCounts().ExecutionsByID[id]
	}
	return runs
}
