package ledger

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
)

// BenchmarkReserveSettle reserves and settles through a ledger that knows
// 190,000 budgets, spread over all of them or over 2,000 busy ones. Every 10,000
// requests the bills are dropped, as if they were settled.
func BenchmarkReserveSettle(b *testing.B) {
	const known = 190_000
	self := &pb.Member{Name: "a", Incarnation: "i-a"}
	f := &fleet{members: []*pb.Member{self}}
	l := New(Options{Self: self, Tables: newTables(), Peers: &localPeers{f, self}})
	l.registered.Store(true)
	names := make([]string, known)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range known {
		names[i] = fmt.Sprint("budget-", i)
		a := l.accounts.getOrCreate("i-a", names[i])
		l.receiveLoans(a, []*pb.LoanTotal{{Budget: names[i], Grant: "g~1", From: "p", To: "i-a", Tokens: 1 << 40}})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	size := float64(after.HeapAlloc-before.HeapAlloc) / known
	for _, touched := range []int{known, 2000} {
		b.Run(fmt.Sprint("touching-", touched), func(b *testing.B) {
			reserveSettle(b, l, names[:touched])
			b.ReportMetric(size, "bytes/budget")
		})
	}
}

func reserveSettle(b *testing.B, l *Ledger, names []string) {
	b.ReportAllocs()
	for i := range b.N {
		r, err := l.Reserve(context.Background(), names[(i*7919)%len(names)], "w", "request", 600)
		if err != nil {
			b.Fatal(err)
		}
		_ = r.Settle(300)
		if i%10_000 == 0 {
			b.StopTimer()
			dropBills(l)
			b.StartTimer()
		}
	}
}

func dropBills(l *Ledger) {
	own, _ := l.bills.len()
	last := l.bills.add(budget.OutboxEntry{RequestID: "last"}, true)
	n, _ := l.bills.own.ParseEntryID(last.Id)
	for i := n - uint64(own); i <= n; i++ {
		l.bills.own.Remove(i)
	}
}
