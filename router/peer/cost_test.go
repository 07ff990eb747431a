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

// countingListener counts the bytes of its connections, both directions,
// without headers of IP and TCP.
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

// member is a router's entry of usual length.
func member() *pb.Member {
	return &pb.Member{
		Name: "router-cluj-a-12", Incarnation: "0123456789abcdef0123456789abcdef", DataCentre: "cluj-a",
		PeerAddress: "10.20.1.112:8082", OperatorAddress: "10.20.1.112:8081", VmInstance: "router-cluj-a-12", ConfigVersion: 40_000,
	}
}

// entry answers heartbeats with an entry of usual length.
type entry struct{}

func (entry) HandleHeartbeat(context.Context, *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	return &pb.HeartbeatResponse{Receiver: member(), Time: &pb.HybridTime{WallNs: time.Now().UnixNano()}}, nil
}

// BenchmarkHeartbeat reports bytes on the wire and processor time, both ends,
// of one heartbeat with its answer over the loopback.
func BenchmarkHeartbeat(b *testing.B) {
	is := is.New(b)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var bytes atomic.Int64
	server := NewServer(entry{}, nil, nil, nil)
	go server.Serve(countingListener{lis, &bytes})
	defer server.Stop()
	pool := NewPool()
	defer pool.Close()
	req := &pb.HeartbeatRequest{Sender: member(), Time: &pb.HybridTime{WallNs: time.Now().UnixNano()}}
	before, cpu := bytes.Load(), processorTime()
	for b.Loop() {
		_, err := pool.Heartbeat(b.Context(), lis.Addr().String(), req)
		is.NoErr(err)
	}
	b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "wire-B/op")
	b.ReportMetric(float64((processorTime()-cpu).Microseconds())/float64(b.N), "cpu-us/op")
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkConnections reports the heap that one idle connection holds, both
// ends together.
func BenchmarkConnections(b *testing.B) {
	const connections = 100
	is := is.New(b)
	pool := NewPool()
	defer pool.Close()
	before := heap()
	for range connections {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		server := NewServer(entry{}, nil, nil, nil)
		go server.Serve(lis)
		defer server.Stop()
		_, err = pool.Heartbeat(b.Context(), lis.Addr().String(), &pb.HeartbeatRequest{Sender: member()})
		is.NoErr(err)
	}
	b.ReportMetric(float64(heap()-before)/connections/1024, "KiB/connection")
	b.ReportMetric(0, "ns/op")
	runtime.KeepAlive(pool)
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
