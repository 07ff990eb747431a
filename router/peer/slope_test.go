package peer

import (
	"context"
	"fmt"
	"testing"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/benchutil"
)

// benchmarkPeer gives the shortest valid responses, apart from the leaving
// targets in heartbeats.
type benchmarkPeer struct {
	member  *pb.Member
	leaving []string
}

func (p *benchmarkPeer) HandleHeartbeat(_ context.Context, req *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	return &pb.HeartbeatResponse{Receiver: p.member, Time: req.Time, LeavingTargets: p.leaving}, nil
}

func (p *benchmarkPeer) HandleBorrow(_ context.Context, req *pb.BorrowRequest) (*pb.BorrowResponse, error) {
	return &pb.BorrowResponse{Totals: req.Totals}, nil
}

func (p *benchmarkPeer) HandleSettle(_ context.Context, req *pb.SettleRequest) (*pb.SettleResponse, error) {
	resp := &pb.SettleResponse{}
	for _, e := range req.Entries {
		resp.SettledEntryIds = append(resp.SettledEntryIds, e.Id)
	}
	return resp, nil
}

func (p *benchmarkPeer) HandleFetchConfig(context.Context, *pb.FetchConfigRequest) (*pb.FetchConfigResponse, error) {
	return &pb.FetchConfigResponse{}, nil
}

func (p *benchmarkPeer) HandleLocate(context.Context, *pb.LocateRequest) (*pb.LocateResponse, error) {
	return &pb.LocateResponse{}, nil
}

func (p *benchmarkPeer) HandleTakeover(context.Context, *pb.TakeoverRequest) (*pb.TakeoverResponse, error) {
	return &pb.TakeoverResponse{}, nil
}

// benchmarkMemberAt returns a member whose fields have typical lengths.
func benchmarkMemberAt(address string) *pb.Member {
	return &pb.Member{
		Name:            "cluj-a-entry-01",
		Incarnation:     "0123456789abcdef0123456789abcdef",
		DataCentre:      "cluj-a",
		PeerAddress:     address,
		OperatorAddress: "10.0.0.1:8081",
		VmInstance:      "vm-0f8fad5b-d9cb-469f",
		ConfigVersion:   146000,
	}
}

// startBenchmarkPeer starts a peer server whose listener counts bytes.
func startBenchmarkPeer(b *testing.B, leaving []string) *benchutil.CountingListener {
	b.Helper()
	lis, err := benchutil.Listen()
	if err != nil {
		b.Fatal(err)
	}
	p := &benchmarkPeer{member: benchmarkMemberAt(lis.Addr().String()), leaving: leaving}
	server := NewServer(p, p, p, p)
	go func() { _ = server.Serve(lis) }()
	b.Cleanup(server.Stop)
	return lis
}

func leavingTargets(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("engine-cluj-a-%03d", i)
	}
	return names
}

// BenchmarkSlopeHeartbeat exchanges heartbeats over gRPC. It reports the CPU
// time of both ends and the bytes of both directions.
func BenchmarkSlopeHeartbeat(b *testing.B) {
	for _, n := range []int{0, 10, 60, 600} {
		b.Run(fmt.Sprintf("leaving=%d", n), func(b *testing.B) {
			lis := startBenchmarkPeer(b, leavingTargets(n))
			pool := NewPool()
			defer pool.Close()
			req := &pb.HeartbeatRequest{
				Sender:         benchmarkMemberAt("10.0.0.2:8082"),
				Time:           &pb.HybridTime{WallNs: 1796000000000000000, Logical: 3},
				LeavingTargets: leavingTargets(n),
			}
			exchange(b, pool, lis, req)
			bytes, cpu := lis.Bytes(), benchutil.CPUTime()
			for b.Loop() {
				exchange(b, pool, lis, req)
			}
			b.ReportMetric(float64(lis.Bytes()-bytes)/float64(b.N), "B/exchange")
			b.ReportMetric(float64((benchutil.CPUTime()-cpu).Nanoseconds())/float64(b.N), "cpu-ns/exchange")
		})
	}
}

func exchange(b *testing.B, pool *Pool, lis *benchutil.CountingListener, req *pb.HeartbeatRequest) {
	b.Helper()
	if _, err := pool.Heartbeat(context.Background(), lis.Addr().String(), req); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkSlopeConnections keeps connections to many peers and reports the
// memory for each peer: both ends of one connection, since a router has a
// server and a client end for each peer.
func BenchmarkSlopeConnections(b *testing.B) {
	for _, n := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			peers := make([]*benchutil.CountingListener, n)
			for i := range peers {
				peers[i] = startBenchmarkPeer(b, nil)
			}
			before := benchutil.LiveHeap()
			req := &pb.HeartbeatRequest{Sender: benchmarkMemberAt("10.0.0.2:8082")}
			var pool *Pool
			for b.Loop() {
				if pool != nil {
					pool.Close()
				}
				pool = NewPool()
				for _, lis := range peers {
					exchange(b, pool, lis, req)
				}
			}
			benchutil.ReportBytesPer(b, "peer", before, n)
			pool.Close()
		})
	}
}

// BenchmarkSlopeSettleCall sends bills to a home router over gRPC.
func BenchmarkSlopeSettleCall(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			lis := startBenchmarkPeer(b, nil)
			pool := NewPool()
			defer pool.Close()
			member := benchmarkMemberAt(lis.Addr().String())
			req := &pb.SettleRequest{Sender: member.Incarnation}
			for i := range n {
				req.Entries = append(req.Entries, benchmarkBillEntry(i))
			}
			settle(b, pool, member, req)
			bytes, cpu := lis.Bytes(), benchutil.CPUTime()
			for b.Loop() {
				settle(b, pool, member, req)
			}
			b.ReportMetric(float64(lis.Bytes()-bytes)/float64(b.N*n), "B/entry")
			b.ReportMetric(float64((benchutil.CPUTime()-cpu).Nanoseconds())/float64(b.N*n), "cpu-ns/entry")
		})
	}
}

func settle(b *testing.B, pool *Pool, member *pb.Member, req *pb.SettleRequest) {
	b.Helper()
	if _, err := pool.Settle(context.Background(), member, req); err != nil {
		b.Fatal(err)
	}
}

func benchmarkBillEntry(i int) *pb.BillEntry {
	return &pb.BillEntry{
		Id:        fmt.Sprintf("0123456789abcdef0123456789abcdef.%d", i),
		RequestId: fmt.Sprintf("workspace-000042:0f8fad5b-d9cb-469f-a165-%012d", i),
		Run:       fmt.Sprintf("target-0001/8f2c1a7b-%d", i),
		Budget:    "budget-0000042",
		Workspace: "workspace-000042",
		Parts:     []*pb.BillPart{{Grant: "0123456789abcdef0123456789abcdef~1", Tokens: 400}},
		Tokens:    350,
	}
}

// BenchmarkSlopeBorrowCall requests loans over gRPC, with the loan totals of
// several grants.
func BenchmarkSlopeBorrowCall(b *testing.B) {
	for _, n := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("grants=%d", n), func(b *testing.B) {
			lis := startBenchmarkPeer(b, nil)
			pool := NewPool()
			defer pool.Close()
			member := benchmarkMemberAt(lis.Addr().String())
			req := &pb.BorrowRequest{Budget: "budget-0000042", Borrower: member.Incarnation, Need: 400, Want: 4000, Search: true}
			for i := range n {
				req.Totals = append(req.Totals, &pb.LoanTotal{
					Budget: "budget-0000042", Grant: fmt.Sprintf("%s~%d", member.Incarnation, i),
					From: member.Incarnation, To: member.Incarnation, Tokens: 123456,
				})
			}
			bytes, cpu := lis.Bytes(), benchutil.CPUTime()
			for b.Loop() {
				if _, err := pool.Borrow(context.Background(), member, req); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(lis.Bytes()-bytes)/float64(b.N), "B/call")
			b.ReportMetric(float64((benchutil.CPUTime()-cpu).Nanoseconds())/float64(b.N), "cpu-ns/call")
		})
	}
}
