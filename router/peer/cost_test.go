package peer

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// countingListener counts the bytes of its connections in both directions,
// without IP and TCP headers.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// benchmarkMember returns a member whose fields have typical lengths.
func benchmarkMember() *pb.Member {
	return &pb.Member{
		Name: "router-cluj-a-12", Incarnation: "0123456789abcdef0123456789abcdef", DataCentre: "cluj-a",
		PeerAddress: "10.20.1.112:8082", OperatorAddress: "10.20.1.112:8081", VmInstance: "router-cluj-a-12", ConfigVersion: 40_000,
	}
}

// memberResponder responds to heartbeats with a member whose fields have
// typical lengths.
type memberResponder struct{}

func (memberResponder) HandleHeartbeat(context.Context, *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	return &pb.HeartbeatResponse{Receiver: benchmarkMember(), Time: &pb.HybridTime{WallNs: time.Now().UnixNano()}}, nil
}

// BenchmarkHeartbeat reports the bytes and the CPU time of both ends for one
// heartbeat and its response over loopback.
func BenchmarkHeartbeat(b *testing.B) {
	is := is.New(b)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var bytes atomic.Int64
	server := NewServer(memberResponder{}, nil, nil, nil)
	go server.Serve(countingListener{lis, &bytes})
	defer server.Stop()
	pool := NewPool()
	defer pool.Close()
	req := &pb.HeartbeatRequest{Sender: benchmarkMember(), Time: &pb.HybridTime{WallNs: time.Now().UnixNano()}}
	before, cpu := bytes.Load(), cpuTime()
	for b.Loop() {
		_, err := pool.Heartbeat(b.Context(), lis.Addr().String(), req)
		is.NoErr(err)
	}
	b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "wire-B/op")
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(b.N), "cpu-us/op")
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkConnections reports the heap that one idle connection occupies at
// both ends together.
func BenchmarkConnections(b *testing.B) {
	const connections = 100
	is := is.New(b)
	pool := NewPool()
	defer pool.Close()
	before := liveHeap()
	for range connections {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		server := NewServer(memberResponder{}, nil, nil, nil)
		go server.Serve(lis)
		defer server.Stop()
		_, err = pool.Heartbeat(b.Context(), lis.Addr().String(), &pb.HeartbeatRequest{Sender: benchmarkMember()})
		is.NoErr(err)
	}
	b.ReportMetric(float64(liveHeap()-before)/connections/1024, "KiB/connection")
	b.ReportMetric(0, "ns/op")
	runtime.KeepAlive(pool)
}

func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
