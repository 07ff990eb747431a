// Package ledger is the shell around the budget decisions: it keeps what this
// router holds, draws from the platform, lends to and borrows from peers, and
// settles bills.
//
// All writes to the platform go through one writer, which puts bills, draws
// and returns of many budgets into one transaction. Bills have precedence. A
// commit whose outcome is unknown is resolved by reading its rows again:
// every operation is cumulative or carries an id, so that a repeat changes
// nothing.
package ledger

import (
	"context"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
	"cuminrock.example/fleet/timeline"
	"cuminrock.example/router/platform"
)

// Peers is the ledger's way to the other routers.
type Peers interface {
	// Home returns the member that is home of the budget in this data centre,
	// and true where that is this router.
	Home(budget string) (*pb.Member, bool)
	// Others returns the live members, those of the own data centre first.
	Others() []*pb.Member
	// Borrow asks a member for tokens.
	Borrow(ctx context.Context, member *pb.Member, req *pb.BorrowRequest) (*pb.BorrowResponse, error)
	// Settle brings bills and returned loans to a member.
	Settle(ctx context.Context, member *pb.Member, req *pb.SettleRequest) (*pb.SettleResponse, error)
}

// Options configures a Ledger. Self, Tables and Peers are required.
type Options struct {
	Self   *pb.Member
	Tables platform.Tables
	Peers  Peers
	Policy *pb.BudgetPolicy
	// VMs is the VM list; without it the ledger never acts on a VM's end.
	VMs platform.Vms
	// WritesPerSecond bounds this router's transactions. Default 50.
	WritesPerSecond int
	// Recorder takes the time line's events; may be nil.
	Recorder *timeline.Recorder
	// Log may be nil.
	Log *zap.Logger
	// Now and Rand drive rates, delays and jitter, never safety.
	Now  func() time.Time
	Rand *rand.Rand
}

const (
	defaultWritesPerSecond = 50
	defaultSettleInterval  = 2 * time.Second
	defaultSearchTimeout   = 500 * time.Millisecond

	// mostEntries bounds the bills of this router that wait for the platform,
	// and mostCopies those that it keeps for others.
	mostEntries = 200_000
	mostCopies  = 50_000
	// settledIDs is how many settled ids a home remembers for origins.
	settledIDs = 8192
)

// Ledger is one router's part in the budgets. It is safe for concurrent use.
type Ledger struct {
	self     *pb.Member
	tables   platform.Tables
	peers    Peers
	vms      platform.Vms
	policy   budget.Policy
	release  pb.Release
	settle   time.Duration
	search   time.Duration
	recorder *timeline.Recorder
	log      *zap.Logger
	now      func() time.Time

	accounts accounts
	box      box
	standby  standby
	copied   copied
	writer   *writer
	work     conc.WaitGroup

	// grant is the id of the grant that this router draws to.
	grant atomic.Pointer[string]
	// fenced holds the grants that this router gave up.
	fenced     grantSet
	registered atomic.Bool
	listed     atomic.Bool
	draining   atomic.Bool
	counters   counters

	randMu sync.Mutex
	rand   *rand.Rand

	// ctx ends with Run; background fetches use it.
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a ledger that serves once Run has registered the router.
func New(o Options) *Ledger {
	l := &Ledger{
		self:     o.Self,
		tables:   o.Tables,
		peers:    o.Peers,
		vms:      o.VMs,
		policy:   budget.PolicyFromSettings(o.Policy),
		release:  o.Policy.GetRelease(),
		settle:   defaultSettleInterval,
		search:   defaultSearchTimeout,
		recorder: o.Recorder,
		log:      o.Log,
		now:      o.Now,
		rand:     o.Rand,
	}
	l.setDefaults(o)
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.box.own = budget.NewOutbox(o.Self.Incarnation, mostEntries)
	l.box.copies = budget.NewCopyStore(mostCopies, settledIDs)
	grant := budget.GrantID(o.Self.Incarnation, 1)
	l.grant.Store(&grant)
	l.writer = newWriter(l, o.WritesPerSecond)
	return l
}

func (l *Ledger) setDefaults(o Options) {
	if d := o.Policy.GetSettleInterval().AsDuration(); d > 0 {
		l.settle = d
	}
	if d := o.Policy.GetSearchTimeout().AsDuration(); d > 0 {
		l.search = d
	}
	if l.log == nil {
		l.log = zap.NewNop()
	}
	if l.now == nil {
		l.now = time.Now
	}
	if l.rand == nil {
		l.rand = rand.New(rand.NewSource(l.now().UnixNano()))
	}
}

// Run does the background work until the context ends.
func (l *Ledger) Run(ctx context.Context) error {
	defer l.cancel()
	var g conc.WaitGroup
	g.Go(func() { l.writer.run(ctx) })
	g.Go(func() { l.pushLoop(ctx) })
	g.Go(func() { l.fenceLoop(ctx) })
	g.Wait()
	l.cancel()
	l.work.Wait()
	return nil
}

// jittered returns a random duration within half and one and a half of d.
func (l *Ledger) jittered(d time.Duration) time.Duration {
	l.randMu.Lock()
	defer l.randMu.Unlock()
	return d/2 + time.Duration(l.rand.Int63n(int64(d)+1))
}

func (l *Ledger) record(kind pb.EventKind, budget, request, detail string, tokens int64) {
	if l.recorder == nil {
		return
	}
	l.recorder.Record(&pb.Event{Kind: kind, Budget: budget, RequestId: request, Tokens: tokens, Detail: detail})
}
