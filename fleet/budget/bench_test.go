package budget

import (
	"fmt"
	"runtime"
	"testing"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// twoYearBudgets is the number of budgets expected in two years.
const twoYearBudgets = 190_000

func newHolders(n int, grants int) []*Holder {
	holders := make([]*Holder, n)
	for i := range holders {
		name := fmt.Sprint("budget-", i)
		holders[i] = NewHolder("self", name)
		for g := range grants {
			holders[i].ReceiveLoan(&pb.LoanTotal{Budget: name, Grant: fmt.Sprint("grant-", g), From: "home", To: "self", Tokens: 1 << 40})
		}
	}
	return holders
}

// BenchmarkReserveSettle reserves and settles over 190,000 budgets in scattered
// order.
func BenchmarkReserveSettle(b *testing.B) {
	holders := newHolders(twoYearBudgets, 1)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		h := holders[(i*7919)%twoYearBudgets]
		parts, err := h.Reserve(600)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := h.Settle(&parts, 300); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkBytesPerBudget reports the memory of a budget that was never used
// here, and of one with loans.
func BenchmarkBytesPerBudget(b *testing.B) {
	for _, c := range []struct {
		name   string
		grants int
	}{{"idle", 0}, {"busy", 1}, {"busy-3-grants", 3}} {
		b.Run(c.name, func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			holders := newHolders(twoYearBudgets, c.grants)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/twoYearBudgets, "bytes/budget")
			runtime.KeepAlive(holders)
			for range b.N {
				_ = holders
			}
		})
	}
}

// BenchmarkBytesPerUnsettledBill reports the memory of bills in the outbox.
func BenchmarkBytesPerUnsettledBill(b *testing.B) {
	const bills = 100_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	o := NewOutbox("self", bills)
	for i := range bills {
		var parts Parts
		parts.Add(Part{Grant: "grant", Tokens: 300})
		o.Add(OutboxEntry{RequestID: fmt.Sprintf("%036d", i), RunID: fmt.Sprintf("self.%d", i), Budget: "budget", Workspace: "workspace", Parts: parts, Tokens: 300})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/bills, "bytes/bill")
	runtime.KeepAlive(o)
	for range b.N {
		_ = o
	}
}

// BenchmarkBytesPerUnsettledCopy reports the memory of other routers' bills at
// their budget's home.
func BenchmarkBytesPerUnsettledCopy(b *testing.B) {
	const bills = 50_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c := NewCopyStore(bills, 1)
	for i := range bills {
		c.Add(&pb.BillEntry{
			Id: fmt.Sprintf("%032d.1", i), RequestId: fmt.Sprintf("%036d", i), Run: fmt.Sprintf("%032d.1", i), Budget: fmt.Sprintf("budget-%d", i),
			Workspace: fmt.Sprintf("workspace-%d", i), Tokens: 300, Parts: []*pb.BillPart{{Grant: fmt.Sprintf("%032d~1", i), Tokens: 300}},
		})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/bills, "bytes/copy")
	runtime.KeepAlive(c)
	for range b.N {
		_ = c
	}
}

// BenchmarkSettleBatch builds and marshals one transaction of 200 bills over a
// number of budgets.
func BenchmarkSettleBatch(b *testing.B) {
	for _, budgets := range []int{1, 20, 200} {
		b.Run(fmt.Sprint(budgets, "-budgets"), func(b *testing.B) {
			s := fakeStore{}
			for i := range budgets {
				name := fmt.Sprint("b", i)
				_ = s.topUp(name, name, 1<<50)
				_ = s.run(func(t *Txn) error {
					_, err := t.Draw(DrawRequest{Grant: &pb.GrantRow{Id: "g", Budget: name, Holder: "h"}, Need: 1 << 49, Want: 1 << 49})
					return err
				})
			}
			b.ReportAllocs()
			rows := 0
			for n := range b.N {
				_ = s.run(func(t *Txn) error {
					for i := range 200 {
						id := fmt.Sprint(n, "-", i)
						err := t.Settle(&pb.BillEntry{Id: id, RequestId: id, Run: id, Budget: fmt.Sprint("b", i%budgets), Tokens: 10, Parts: []*pb.BillPart{{Grant: "g", Tokens: 10}}})
						if err != nil {
							return err
						}
					}
					rows = t.RowCount()
					return nil
				})
			}
			b.ReportMetric(float64(rows), "rows/txn")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/200, "ns/bill")
		})
	}
}
