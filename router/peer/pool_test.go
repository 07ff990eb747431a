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

// heartbeatTimeout bounds one heartbeat in these tests.
const heartbeatTimeout = 200 * time.Millisecond

// respondingMembership responds to all heartbeats.
type respondingMembership struct{}

func (respondingMembership) HandleHeartbeat(context.Context, *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	return &pb.HeartbeatResponse{Receiver: &pb.Member{Name: "r1"}}, nil
}

// silencingProxy forwards connections to a server. Incrementing the epoch
// silences the existing connections: they stay open but carry no more bytes.
// New connections work.
type silencingProxy struct {
	lis     net.Listener
	backend string
	epoch   atomic.Int64
}

func (r *silencingProxy) serve() {
	for {
		conn, err := r.lis.Accept()
		if err != nil {
			return
		}
		onward, err := net.Dial("tcp", r.backend)
		if err != nil {
			conn.Close()
			continue
		}
		epoch := r.epoch.Load()
		go r.copy(conn, onward, epoch)
		go r.copy(onward, conn, epoch)
	}
}

// copy forwards bytes until the connection is silenced, and then discards them.
func (r *silencingProxy) copy(to io.Writer, from io.Reader, epoch int64) {
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
	server := NewServer(respondingMembership{}, nil, nil, nil)
	lis := listen(t)
	go server.Serve(lis)
	defer server.Stop()
	r := &silencingProxy{lis: listen(t), backend: lis.Addr().String()}
	go r.serve()
	pool := NewPool()
	defer pool.Close()
	address := r.lis.Addr().String()
	is.NoErr(heartbeat(pool, address))

	r.epoch.Add(1)
	is.True(heartbeat(pool, address) != nil)
	is.NoErr(heartbeat(pool, address))
}
