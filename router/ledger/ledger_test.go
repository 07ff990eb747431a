package ledger

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/memberlist"
	"cuminrock.example/router/wait"
)

const testBudget = "registry"

// With every third commit response lost, each request is billed once, and Close
// leaves nothing granted.
func TestBillsOnceUnderLostAnswers(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	f := newFleet(t, "a", "b", "c")
	f.tables.loseEvery(3)
	_, err := TopUp(ctx, f.tables, "t1", testBudget, 10_000)
	is.NoErr(err)
	sum := int64(0)
	for i := range 60 {
		l := f.ledgers[f.members[i%3].Incarnation]
		r, err := l.Reserve(ctx, testBudget, "w", fmt.Sprint("r", i), 100)
		is.NoErr(err)
		is.NoErr(r.Settle(int64(i)))
		sum += int64(i)
	}
	for _, l := range f.ledgers {
		is.NoErr(l.Close(ctx))
	}
	s, err := Status(ctx, f.tables, testBudget)
	is.NoErr(err)
	is.Equal(s.Budget.Spent, sum)
	is.Equal(s.Budget.Granted+s.Budget.InDoubt, int64(0))
	bill, ok, err := ReadBill(ctx, f.tables, "r7")
	is.NoErr(err)
	is.True(ok)
	is.Equal(bill.Tokens, int64(7))
}

func TestRefusesInvalidAndUncoveredRequests(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	f := newFleet(t, "a", "b")
	l := f.ledgers["i-a"]
	_, err := l.Reserve(ctx, "nobody", "w", "r", 5)
	is.Equal(errkind.KindOf(err), errkind.UnknownBudget)
	_, err = l.Reserve(ctx, "nobody", "w", "r", -5)
	is.Equal(errkind.KindOf(err), errkind.BadAmount)
	_, err = TopUp(ctx, f.tables, "t1", testBudget, 50)
	is.NoErr(err)
	_, err = l.Reserve(ctx, testBudget, "w", "r", 51)
	is.Equal(errkind.KindOf(err), errkind.BudgetExhausted)
	r, err := f.ledgers["i-b"].Reserve(ctx, testBudget, "w", "r", 50)
	is.NoErr(err)
	is.Equal(errkind.KindOf(r.Settle(60)), errkind.BillOverReservation)
}

// While the platform is unavailable, a router serves requests from its granted
// tokens, refuses the others, and settles all bills afterwards.
func TestServesGrantsWhilePlatformIsUnavailable(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	f := newFleet(t, "a")
	l := f.ledgers["i-a"]
	_, err := TopUp(ctx, f.tables, "t1", testBudget, 1000)
	is.NoErr(err)
	first, err := l.Reserve(ctx, testBudget, "w", "r0", 250)
	is.NoErr(err)
	first.Release()
	f.tables.setDown(true)
	r, err := l.Reserve(ctx, testBudget, "w", "r1", 200)
	is.NoErr(err)
	is.NoErr(r.Settle(150))
	_, err = l.Reserve(ctx, testBudget, "w", "r2", 200)
	is.Equal(errkind.KindOf(err), errkind.BudgetUnreachable)
	_, err = TopUp(ctx, f.tables, "t2", testBudget, 1000)
	is.Equal(errkind.KindOf(err), errkind.PlatformDown)
	f.tables.setDown(false)
	is.NoErr(l.Close(ctx))
	s, err := Status(ctx, f.tables, testBudget)
	is.NoErr(err)
	is.Equal(s.Budget.Spent, int64(150))
	is.Equal(s.Budget.Free, int64(850))
}

// The tokens of a closed grant become free only after all routers have fenced
// it. Later bills of the holder and the borrower, for example after a pause,
// are paid from the tokens that are still in doubt.
func TestReleaseWaitsForEveryRouter(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	f := newFleet(t, "a", "b")
	home, _ := memberlist.HomeAmong(testBudget, f.members)
	l, other := f.ledgers[home.Incarnation], f.ledgers["i-a"]
	if l == other {
		other = f.ledgers["i-b"]
	}
	_, err := TopUp(ctx, f.tables, "t1", testBudget, 1000)
	is.NoErr(err)
	// A router that is not registered yet takes no loans and would draw itself.
	for !other.registered.Load() {
		time.Sleep(time.Millisecond)
	}
	held, err := l.Reserve(ctx, testBudget, "w", "r1", 100)
	is.NoErr(err)
	lent, err := other.Reserve(ctx, testBudget, "w", "r2", 50)
	is.NoErr(err)
	grant := budget.GrantID(home.Incarnation, 1)
	inDoubt, err := CloseGrant(ctx, f.tables, testBudget, grant)
	is.NoErr(err)
	is.True(inDoubt >= 150)
	_, err = ReleaseDoubt(ctx, f.tables, testBudget, grant, budget.ResolveUnspent, nil)
	is.Equal(errkind.KindOf(err), errkind.Conflict)
	written := map[string]*pb.FenceRow{}
	l.fenceClosedGrants(ctx, written)
	_, err = ReleaseDoubt(ctx, f.tables, testBudget, grant, budget.ResolveUnspent, nil)
	is.Equal(errkind.KindOf(err), errkind.Conflict)
	other.fenceClosedGrants(ctx, map[string]*pb.FenceRow{})
	_, err = ReleaseDoubt(ctx, f.tables, testBudget, grant, budget.ResolveUnspent, nil)
	is.NoErr(err)
	s, err := Status(ctx, f.tables, testBudget)
	is.NoErr(err)
	is.Equal(s.Budget.InDoubt, int64(150))
	is.NoErr(held.Settle(70))
	is.NoErr(lent.Settle(50))
	is.NoErr(l.Close(ctx))
	is.NoErr(other.Close(ctx))
	s, err = Status(ctx, f.tables, testBudget)
	is.NoErr(err)
	is.Equal(s.Budget.Spent, int64(120))
}

// A run that is handed over is billed once, with the usage reported by the
// router that took it over, even if that report reaches the platform before the
// covering entry.
func TestHandedOverRunIsBilledOnce(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	f := newFleet(t, "a", "b")
	_, err := TopUp(ctx, f.tables, "t1", testBudget, 1000)
	is.NoErr(err)
	r, err := f.ledgers["i-a"].Reserve(ctx, testBudget, "w", "r1", 100)
	is.NoErr(err)
	r.SetRun("engine/7")
	covering, ok := r.HandOver()
	is.True(ok)
	taken, err := f.ledgers["i-b"].TakeOver(covering)
	is.NoErr(err)
	is.NoErr(taken.Settle(64))
	for _, l := range f.ledgers {
		is.NoErr(l.Close(ctx))
	}
	s, err := Status(ctx, f.tables, testBudget)
	is.NoErr(err)
	is.Equal(s.Budget.Spent, int64(64))
	is.Equal(s.Budget.Free, int64(936))
}

// vmList is a VM list with the given instances.
type vmList struct{ instances []string }

func (v *vmList) ListVMs(context.Context) ([]*pb.Vm, error) {
	var vms []*pb.Vm
	for _, instance := range v.instances {
		vms = append(vms, &pb.Vm{Instance: instance})
	}
	return vms, nil
}

// With release vm_gone, the grants of a router are closed when the VM list no
// longer contains its VM, but only if the list has contained it before.
func TestClosesGrantsOfGoneVM(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	f := newFleet(t, "a", "b")
	_, err := TopUp(ctx, f.tables, "t1", testBudget, 1000)
	is.NoErr(err)
	dead, live := f.ledgers["i-a"], f.ledgers["i-b"]
	r, err := dead.Reserve(ctx, testBudget, "w", "r1", 10)
	is.NoErr(err)
	list := &vmList{instances: []string{"vm-b"}}
	f.removeMember("i-a")
	live.release, live.vmList, dead.vmList = pb.Release_RELEASE_VM_GONE, list, list
	live.checkVMs(ctx)
	before, err := Status(ctx, f.tables, testBudget)
	is.NoErr(err)
	is.Equal(before.Budget.InDoubt, int64(0))
	list.instances = []string{"vm-a", "vm-b"}
	dead.checkVMs(ctx)
	list.instances = []string{"vm-b"}
	live.checkVMs(ctx)
	live.fenceClosedGrants(ctx, map[string]*pb.FenceRow{})
	after, err := Status(ctx, f.tables, testBudget)
	is.NoErr(err)
	for _, g := range after.Grants {
		is.True(g.Closed == (g.Holder == "i-a"))
	}
	is.NoErr(r.Settle(7))
	is.NoErr(dead.Close(ctx))
	after, err = Status(ctx, f.tables, testBudget)
	is.NoErr(err)
	is.Equal(after.Budget.Spent, int64(7))
}

// A fence counts the copies of a gone router's bills as outstanding, and no
// longer counts them once they are settled.
func TestFenceCountsCopies(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	f := newFleet(t, "a")
	l := f.ledgers["i-a"]
	_, err := TopUp(ctx, f.tables, "t1", testBudget, 1000)
	is.NoErr(err)
	_, err = l.Reserve(ctx, testBudget, "w", "r1", 100)
	is.NoErr(err)
	grant := budget.GrantID("i-a", 1)
	f.tables.setDown(true)
	_, err = l.HandleSettle(ctx, &pb.SettleRequest{Sender: "gone", Entries: []*pb.BillEntry{{
		Id: "gone.1", RequestId: "r2", Run: "gone.1", Budget: testBudget, Tokens: 30, Parts: []*pb.BillPart{{Grant: grant, Tokens: 30}},
	}}})
	is.NoErr(err)
	last := l.fence(grant)
	is.Equal(last.Parts[0].Outstanding, int64(130))
	f.tables.setDown(false)
	for _, copies := l.bills.len(); copies > 0; _, copies = l.bills.len() {
		wait.For(ctx, time.Millisecond)
	}
	next := l.fence(grant)
	addSettledParts(next, last)
	is.Equal(next.Parts[0].Outstanding, int64(100))
}
