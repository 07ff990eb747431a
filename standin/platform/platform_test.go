package platform

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// open serves one more door of s and returns a client of it.
func open(t *testing.T, s *Server) (pb.TableServiceClient, string) {
	t.Helper()
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	serve := s.Open(lis)
	go serve()
	conn, err := grpc.NewClient(lis.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	is.NoErr(err)
	t.Cleanup(func() { conn.Close() })
	return pb.NewTableServiceClient(conn), lis.Addr().String()
}

func insert(key, value string) *pb.CommitRequest {
	return &pb.CommitRequest{
		Conditions: []*pb.Condition{{Key: key}},
		Writes:     []*pb.Write{{Key: key, Value: []byte(value)}},
	}
}

func TestCommitIsAtomicOverItsConditions(t *testing.T) {
	is := is.New(t)
	s := newStore()
	first := s.commit(insert("a", "1"))
	is.True(first.Committed)
	both := insert("b", "2")
	both.Conditions = append(both.Conditions, &pb.Condition{Key: "a"})
	refused := s.commit(both)
	is.True(!refused.Committed)
	is.Equal(len(refused.Conflicts), 1)
	is.Equal(refused.Conflicts[0].Key, "a")
	is.Equal(len(s.read([]string{"b"})), 0) // nothing of a refused transaction is written
}

func TestVersionOfARowWrittenAgainIsNew(t *testing.T) {
	is := is.New(t)
	s := newStore()
	old := s.commit(insert("a", "1")).Version
	s.commit(&pb.CommitRequest{Writes: []*pb.Write{{Key: "a", Delete: true}}})
	again := s.commit(insert("a", "1"))
	is.True(again.Committed)
	is.True(again.Version > old)
}

func TestScanWalksAPrefixInPages(t *testing.T) {
	is := is.New(t)
	s := newStore()
	for _, key := range []string{"b/3", "a/1", "b/1", "c/1", "b/2"} {
		s.commit(insert(key, key))
	}
	s.commit(&pb.CommitRequest{Writes: []*pb.Write{{Key: "b/2", Delete: true}}})
	rows, more := s.scan("b/", "", 1)
	is.Equal(rows[0].Key, "b/1")
	is.True(more)
	rows, more = s.scan("b/", "b/1", 5)
	is.Equal(len(rows), 1)
	is.Equal(rows[0].Key, "b/3")
	is.True(!more)
	s.commit(insert("b/2", "back"))
	rows, _ = s.scan("b/", "", 0)
	is.Equal(len(rows), 3)
}

func TestLostAnswerTookEffect(t *testing.T) {
	is := is.New(t)
	s := New(Options{Seed: 1})
	defer s.Close()
	client, _ := open(t, s)
	is.NoErr(s.SetFaults(Faults{DropResponseNext: 1}))
	_, err := client.Commit(context.Background(), insert("a", "1"))
	is.Equal(status.Code(err), codes.Unavailable)
	resp, err := client.Read(context.Background(), &pb.ReadRequest{Keys: []string{"a"}})
	is.NoErr(err)
	is.Equal(len(resp.Rows), 1)
	is.Equal(s.Counts().ResponsesDropped, uint64(1))
}

func TestLateCommitTakesEffectAfterItsCallerGaveUp(t *testing.T) {
	is := is.New(t)
	s := New(Options{Seed: 1})
	defer s.Close()
	client, _ := open(t, s)
	is.NoErr(s.SetFaults(Faults{LateCommitNext: 1}))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := client.Commit(ctx, insert("a", "1"))
	is.Equal(status.Code(err), codes.DeadlineExceeded)
	for s.Counts().Committed == 0 {
		time.Sleep(time.Millisecond)
	}
	resp, err := client.Read(context.Background(), &pb.ReadRequest{Keys: []string{"a"}})
	is.NoErr(err)
	is.Equal(len(resp.Rows), 1)
}

func TestOneDoorCanBeOut(t *testing.T) {
	is := is.New(t)
	s := New(Options{Seed: 1})
	defer s.Close()
	cut, address := open(t, s)
	whole, _ := open(t, s)
	is.NoErr(s.SetListenerFaults(address, Faults{Outage: OutageRefuse}))
	_, err := cut.Commit(context.Background(), insert("a", "1"))
	is.Equal(status.Code(err), codes.ResourceExhausted)
	resp, err := whole.Commit(context.Background(), insert("a", "1"))
	is.NoErr(err)
	is.True(resp.Committed) // the refused commit had no effect
}

func TestHangEndsWithTheOutage(t *testing.T) {
	is := is.New(t)
	s := New(Options{Seed: 1})
	defer s.Close()
	client, _ := open(t, s)
	is.NoErr(s.SetFaults(Faults{Outage: OutageHang}))
	answered := make(chan error, 1)
	go func() {
		_, err := client.Read(context.Background(), &pb.ReadRequest{})
		answered <- err
	}()
	is.NoErr(s.SetFaults(Faults{}))
	is.NoErr(<-answered)
}

func TestVmListLags(t *testing.T) {
	is := is.New(t)
	var l vmList
	start := time.Unix(1000, 0)
	l.set(start, []*pb.Vm{{Name: "one"}})
	l.set(start.Add(time.Minute), []*pb.Vm{{Name: "two"}})
	is.Equal(l.at(start.Add(59 * time.Second))[0].Name, "one")
	is.Equal(l.at(start.Add(time.Minute))[0].Name, "two")
}

func TestPacerSpreadsWorkAtItsRate(t *testing.T) {
	is := is.New(t)
	p := pacer{rate: 10}
	now := time.Unix(1000, 0)
	is.Equal(p.reserve(now, 1), time.Duration(0))
	is.Equal(p.reserve(now, 2), 100*time.Millisecond)
	is.Equal(p.reserve(now, 1), 300*time.Millisecond)
	is.Equal(p.reserve(now.Add(time.Second), 1), time.Duration(0)) // idle time is not saved up
	unlimited := pacer{}
	is.Equal(unlimited.reserve(now, 1000), time.Duration(0))
}
