package ledger

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// If the origin of a bill dies, the router with its standby copy settles it
// once, after standbyDelay. Until then a fence counts it as outstanding.
func TestStandbyCopyIsSettledAfterOriginDies(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	f := newFleet(t, "a", "b")
	origin, holder := f.ledgers["i-a"], f.ledgers["i-b"]
	_, err := TopUp(ctx, f.tables, "t1", testBudget, 1000)
	is.NoErr(err)
	r, err := origin.Reserve(ctx, testBudget, "w", "r1", 100)
	is.NoErr(err)
	// The origin dies after it sent the copy and before it stored the bill.
	entry := &pb.BillEntry{
		Id: "i-a.999", RequestId: "r1", Run: "e1/s1", Budget: testBudget, Workspace: "w",
		Parts: r.parts.Proto(), Tokens: 100,
	}
	for range 2 {
		_, err = holder.HandleSettle(ctx, &pb.SettleRequest{Sender: "i-a", Entries: []*pb.BillEntry{entry}, Standby: true})
		is.NoErr(err)
	}
	holder.adoptDueCopies(holder.now())
	_, found, err := ReadBill(ctx, f.tables, "r1")
	is.NoErr(err)
	is.True(!found)
	fence := holder.fence(entry.Parts[0].Grant)
	is.Equal(fence.Parts[0].Outstanding, int64(100))
	holder.adoptDueCopies(holder.now().Add(standbyDelay))
	for !found {
		time.Sleep(time.Millisecond)
		_, found, err = ReadBill(ctx, f.tables, "r1")
		is.NoErr(err)
	}
	s, err := Status(ctx, f.tables, testBudget)
	is.NoErr(err)
	is.Equal(s.Budget.Spent, int64(100))
}

// The holder of a standby copy drops it when the origin reports the bill as
// settled.
func TestStandbyCopyIsDropped(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	f := newFleet(t, "a", "b")
	_, err := TopUp(ctx, f.tables, "t1", testBudget, 1000)
	is.NoErr(err)
	for _, l := range f.ledgers {
		r, err := l.Reserve(ctx, testBudget, "w", "r-"+l.self.Name, 50)
		is.NoErr(err)
		is.NoErr(r.SettleReplicated(ctx, 40))
		is.Equal(l.Stats().CopyErrors, int64(0))
	}
	for _, l := range f.ledgers {
		for {
			l.standby.mu.Lock()
			kept := len(l.standby.entries)
			l.standby.mu.Unlock()
			own, copies := l.bills.len()
			if kept+own+copies == 0 {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
}
