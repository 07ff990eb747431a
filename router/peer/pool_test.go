package peer

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// heartbeatTimeout is the longest wait for one heartbeat in these tests.
const heartbeatTimeout = 200 * time.Millisecond

// answering is a membership that answers all heartbeats.
type answering struct{}

func (answering) HandleHeartbeat(context.Context, *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	return &pb.HeartbeatResponse{Receiver: &pb.Member{Name: "r1"}}, nil
}

// relay passes connections on to a server. When the epoch rises, the old
// connections go silent and new ones work.
type relay struct {
	lis   net.Listener
	to    string
	epoch atomic.Int64
}

func (r *relay) serve() {
	for {
		conn, err := r.lis.Accept()
		if err != nil {
			return
		}
		onward, err := net.Dial("tcp", r.to)
		if err != nil {
			conn.Close()
			continue
		}
		epoch := r.epoch.Load()
		go r.copy(conn, onward, epoch)
		go r.copy(onward, conn, epoch)
	}
}

// copy passes bytes on while the connection isn't silent, and then reads on.
func (r *relay) copy(to io.Writer, from io.Reader, epoch int64) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if r.epoch.Load() == epoch {
			_, _ = to.Write(buf[:n])
		}
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { lis.Close() })
	return lis
}

func heartbeat(p *Pool, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	_, err := p.Heartbeat(ctx, address, &pb.HeartbeatRequest{})
	return err
}

func TestSilentConnectionIsReplacedAfterOneHeartbeat(t *testing.T) {
	is := is.New(t)
	server := NewServer(answering{}, nil, nil, nil)
	lis := listen(t)
	go server.Serve(lis)
	defer server.Stop()
	r := &relay{lis: listen(t), to: lis.Addr().String()}
	go r.serve()
	pool := NewPool()
	defer pool.Close()
	address := r.lis.Addr().String()
	is.NoErr(heartbeat(pool, address))

	r.epoch.Add(1)
	is.True(heartbeat(pool, address) != nil)
	is.NoErr(heartbeat(pool, address))
}
