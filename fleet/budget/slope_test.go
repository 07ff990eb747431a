package budget

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/benchutil"
)

// benchIncarnation has the length of a real incarnation.
const benchIncarnation = "0123456789abcdef0123456789abcdef"

func benchBudgetName(i int) string { return fmt.Sprintf("budget-%07d", i) }

func newBillEntry(i, budgets int) *pb.BillEntry {
	return &pb.BillEntry{
		Id:        fmt.Sprintf("%s.%d", benchIncarnation, i),
		RequestId: fmt.Sprintf("workspace-%06d:0f8fad5b-d9cb-469f-a165-%012d", i%budgets, i),
		Run:       fmt.Sprintf("target-0001/8f2c1a7b-%d", i),
		Budget:    benchBudgetName(i % budgets),
		Workspace: fmt.Sprintf("workspace-%06d", i%budgets),
		Parts:     []*pb.BillPart{{Grant: GrantID(benchIncarnation, 1), Tokens: 400}},
		Tokens:    350,
	}
}

// BenchmarkSlopeHolders reserves and settles over many budgets and reports the
// memory per budget.
func BenchmarkSlopeHolders(b *testing.B) {
	for _, n := range []int{1_900, 19_000, 190_000} {
		b.Run(fmt.Sprintf("budgets=%d", n), func(b *testing.B) {
			before := benchutil.LiveHeap()
			holders := make([]*Holder, n)
			for i := range holders {
				holders[i] = NewHolder(benchIncarnation, benchBudgetName(i))
				holders[i].ApplyGrant(&pb.GrantRow{Id: GrantID(benchIncarnation, 1), Budget: benchBudgetName(i), Holder: benchIncarnation, Granted: 1 << 40})
			}
			heapBytes := benchutil.LiveHeap() - before
			i := 0
			for b.Loop() {
				h := holders[i%n]
				i++
				parts, err := h.Reserve(400)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := h.Settle(&parts, 350); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(heapBytes)/float64(n), "B/budget")
			runtime.KeepAlive(holders)
		})
	}
}

// BenchmarkSlopeSettle builds the transaction of one batch of bills and reports
// processor time, rows and bytes per bill. The batch covers as many budgets as
// bills, or one budget.
func BenchmarkSlopeSettle(b *testing.B) {
	for _, spread := range []bool{true, false} {
		for _, n := range []int{20, 60, 200} {
			budgets := 1
			if spread {
				budgets = n
			}
			b.Run(fmt.Sprintf("bills=%d/budgets=%d", n, budgets), func(b *testing.B) { benchmarkSettle(b, n, budgets) })
		}
	}
}

func benchmarkSettle(b *testing.B, bills, budgets int) {
	rows := newBudgetRows(b, budgets)
	var req *pb.CommitRequest
	serial := 0
	for b.Loop() {
		cache := NewCache()
		cache.Load(nil, rows)
		t := NewTxn(cache)
		for i := range bills {
			if err := t.Settle(newBillEntry(serial*bills+i, budgets)); err != nil {
				b.Fatal(err)
			}
		}
		serial++
		if missing := t.Missing(); len(missing) > 0 {
			b.Fatal("missing", missing)
		}
		var err error
		req, err = t.Request()
		if err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(bills), "ns/bill")
	b.ReportMetric(float64(len(req.Writes))/float64(bills), "rows/bill")
	b.ReportMetric(float64(proto.Size(req))/float64(bills), "B/bill")
}

// newBudgetRows returns the rows of budgets with one grant each.
func newBudgetRows(b *testing.B, budgets int) []*pb.Row {
	b.Helper()
	var rows []*pb.Row
	add := func(key string, m proto.Message) {
		value, err := proto.Marshal(m)
		if err != nil {
			b.Fatal(err)
		}
		rows = append(rows, &pb.Row{Key: key, Value: value, Version: 1})
	}
	for i := range budgets {
		name := benchBudgetName(i)
		grant := GrantID(benchIncarnation, 1)
		add(BudgetKey(name), &pb.BudgetRow{Name: name, Prepaid: 1 << 41, Free: 1 << 40, Granted: 1 << 40})
		add(GrantKey(name, grant), &pb.GrantRow{Id: grant, Budget: name, Holder: benchIncarnation, Granted: 1 << 40, Seq: 1,
			VmName: "cluj-a-1", VmInstance: "cluj-a-1", DataCentre: "cluj-a"})
	}
	return rows
}

// BenchmarkSlopeCopies stores copies of other routers' bills and reports the
// memory and the size on the wire per copy.
func BenchmarkSlopeCopies(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("copies=%d", n), func(b *testing.B) {
			entries := make([][]byte, n)
			size := 0
			for i := range entries {
				data, err := proto.Marshal(newBillEntry(i, 1000))
				if err != nil {
					b.Fatal(err)
				}
				entries[i] = data
				size += len(data)
			}
			var copies *CopyStore
			var heapBytes uint64
			for b.Loop() {
				copies = nil
				before := benchutil.LiveHeap()
				copies = NewCopyStore(n, 8192)
				for _, data := range entries {
					e := &pb.BillEntry{}
					if err := proto.Unmarshal(data, e); err != nil {
						b.Fatal(err)
					}
					copies.Add(e)
				}
				heapBytes = benchutil.LiveHeap() - before
			}
			b.ReportMetric(float64(heapBytes)/float64(n), "B/copy")
			b.ReportMetric(float64(size)/float64(n), "B-wire/entry")
			runtime.KeepAlive(copies)
		})
	}
}
