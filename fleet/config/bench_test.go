package config

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// benchSize is the size of a benchmark configuration.
type benchSize struct{ workspaces, budgets, targets int }

// benchSizes ends with the size that the system is designed for.
var benchSizes = []benchSize{{490, 1_900, 60}, {4_900, 19_000, 200}, {49_000, 190_000, 600}}

func (s benchSize) String() string { return fmt.Sprintf("workspaces=%d", s.workspaces) }

func benchSnapshot(s benchSize) *pb.Snapshot {
	snapshot := &pb.Snapshot{Version: 1}
	add := func(r *pb.Record) { snapshot.Records = append(snapshot.Records, r) }
	for i := range 21 {
		add(ServiceRecord(&pb.Service{Name: fmt.Sprintf("model-%02d", i), Kind: pb.ServiceKind_SERVICE_KIND_MODEL, DefaultProvider: "old",
			Calls: []*pb.Call{{Path: "v1/chat/completions", Kind: pb.CallKind_CALL_KIND_MODEL}}}))
	}
	for i := range s.targets {
		add(TargetRecord(&pb.Target{Name: fmt.Sprintf("target-%04d", i), Service: fmt.Sprintf("model-%02d", i%21), Provider: "old",
			DataCentre: "cluj-a", Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250)}))
	}
	for i := range s.workspaces {
		add(benchWorkspace(i))
	}
	for i := range s.budgets {
		add(benchBudget(i, s.workspaces))
	}
	return snapshot
}

// benchWorkspace gives every tenth workspace its own shares.
func benchWorkspace(i int) *pb.Record {
	name := fmt.Sprintf("workspace-%06d", i)
	w := &pb.Workspace{Name: name, KeySha256: [][]byte{keyHash(name)}, Priority: pb.Priority_PRIORITY_NORMAL, DefaultBudget: fmt.Sprintf("budget-%07d", i)}
	if i%10 == 0 {
		w.Shares = []*pb.ServiceShares{{Service: "model-00", Providers: []*pb.ProviderShare{{Provider: "new", Permille: 500}, {Provider: "old", Permille: 500}}}}
	}
	return WorkspaceRecord(w)
}

func benchBudget(i, workspaces int) *pb.Record {
	return BudgetRecord(&pb.Budget{Name: fmt.Sprintf("budget-%07d", i), Workspace: fmt.Sprintf("workspace-%06d", i%workspaces)})
}

// BenchmarkLoad decodes a snapshot object and builds its view. It reports the
// live heap that the view retains and the size of the object.
func BenchmarkLoad(b *testing.B) {
	for _, s := range benchSizes {
		data, err := proto.Marshal(benchSnapshot(s))
		if err != nil {
			b.Fatal(err)
		}
		b.Run(s.String(), func(b *testing.B) {
			before := liveHeap()
			var view *View
			for b.Loop() {
				view = nil
				snapshot := &pb.Snapshot{}
				if err := proto.Unmarshal(data, snapshot); err != nil {
					b.Fatal(err)
				}
				view, err = FromSnapshot(snapshot)
				if err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(liveHeap()-before)/(1<<20), "MB-kept")
			b.ReportMetric(float64(len(data))/(1<<20), "MB-object")
			runtime.KeepAlive(view)
		})
	}
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkApply applies a change of one record of each kind and a change of a
// thousand budgets.
func BenchmarkApply(b *testing.B) {
	for _, s := range benchSizes {
		view, err := FromSnapshot(benchSnapshot(s))
		if err != nil {
			b.Fatal(err)
		}
		small := &pb.Change{Version: 2, Upserts: []*pb.Record{
			benchWorkspace(s.workspaces / 2), benchBudget(s.budgets, s.workspaces),
			TargetRecord(&pb.Target{Name: "target-0000", Service: "model-00", Provider: "old", Leaving: true}),
			ServiceRecord(&pb.Service{Name: "model-00", DefaultProvider: "new"}),
		}}
		large := &pb.Change{Version: 2}
		for i := range 1000 {
			large.Upserts = append(large.Upserts, benchBudget(i, s.workspaces))
		}
		b.Run(s.String()+"/records=4", func(b *testing.B) { benchmarkApply(b, view, small) })
		b.Run(s.String()+"/records=1000", func(b *testing.B) { benchmarkApply(b, view, large) })
	}
}

func benchmarkApply(b *testing.B, view *View, c *pb.Change) {
	b.ReportAllocs()
	for b.Loop() {
		if _, err := view.Apply(c); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkLookup looks up a workspace by bearer key, and its shares.
func BenchmarkLookup(b *testing.B) {
	for _, s := range benchSizes {
		view, err := FromSnapshot(benchSnapshot(s))
		if err != nil {
			b.Fatal(err)
		}
		sum := [32]byte(keyHash("workspace-000000"))
		b.Run(s.String(), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				w, _ := view.WorkspaceByKey(sum)
				view.Shares(w.Name, "model-00")
			}
		})
	}
}
