// Package ledger does the input and output for the decisions of fleet/budget:
// it keeps the tokens that this router holds, draws from the platform, lends to
// and borrows from peers, and settles bills.
//
// All writes to the platform go through one writer, except operator changes and
// the closing of grants of gone routers. It combines bills, draws and returns of
// many budgets in one transaction. Bills have precedence. A commit whose outcome
// is unknown is resolved by reading its rows again: every operation is
// cumulative or carries an id, so repeating it changes nothing.
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
	"cuminrock.example/router/platformclient"
)

// Peers gives the ledger access to the other routers.
type Peers interface {
	// Home returns the budget's home in this data centre, or nil if there is
	// none, and true if this router is the home.
	Home(budget string) (*pb.Member, bool)
	// Others returns the other live members, those in this data centre first.
	Others() []*pb.Member
	// Borrow asks a member for tokens.
	Borrow(ctx context.Context, member *pb.Member, req *pb.BorrowRequest) (*pb.BorrowResponse, error)
	// Settle sends bills and returned loans to a member.
	Settle(ctx context.Context, member *pb.Member, req *pb.SettleRequest) (*pb.SettleResponse, error)
}

// Options configures a Ledger. Self, Tables and Peers are required.
type Options struct {
	Self   *pb.Member
	Tables platformclient.TableStore
	Peers  Peers
	Policy *pb.BudgetPolicy
	// VMs is the VM list. If nil, the ledger never closes the grants of gone VMs.
	VMs platformclient.VMLister
	// WritesPerSecond bounds the rate of this router's transactions. Default 50.
	WritesPerSecond int
	// Recorder receives the timeline events; may be nil.
	Recorder *timeline.Recorder
	// Log may be nil.
	Log *zap.Logger
	// Now and Rand are used for rates, delays and jitter; safety does not
	// depend on them.
	Now  func() time.Time
	Rand *rand.Rand
}

const (
	defaultWritesPerSecond = 50
	defaultSettleInterval  = 2 * time.Second
	defaultSearchTimeout   = 500 * time.Millisecond

	// maxOwnEntries bounds this router's own unsettled bills, and maxCopies the
	// copies that it keeps for other routers.
	maxOwnEntries = 200_000
	maxCopies     = 50_000
	// maxSettledIDs is how many ids of settled entries a home remembers, to
	// report them to their origins.
	maxSettledIDs = 8192
)

// Ledger manages the tokens and bills of one router. It is safe for concurrent
// use.
type Ledger struct {
	self           *pb.Member
	tables         platformclient.TableStore
	peers          Peers
	vmList         platformclient.VMLister
	policy         budget.Policy
	release        pb.Release
	settleInterval time.Duration
	searchTimeout  time.Duration
	recorder       *timeline.Recorder
	log            *zap.Logger
	now            func() time.Time

	accounts    accounts
	bills       billStore
	standby     standbyStore
	copyTracker copyTracker
	writer      *writer
	background  conc.WaitGroup

	// grant is the id of the grant to which this router draws.
	grant atomic.Pointer[string]
	// fenced holds the ids of the grants that this router has fenced.
	fenced grantSet
	// registered is true once the platform has this router's row. Before that,
	// the router must not hold tokens.
	registered atomic.Bool
	// listed is true once this router's row says that the VM list has shown its
	// VM.
	listed atomic.Bool
	// draining is true once Close was called.
	draining atomic.Bool
	counters counters

	randMu sync.Mutex
	rand   *rand.Rand

	// ctx ends with Run; token fetches in the background use it.
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a ledger. It can hold tokens once Run has registered the router.
func New(o Options) *Ledger {
	l := &Ledger{
		self:           o.Self,
		tables:         o.Tables,
		peers:          o.Peers,
		vmList:         o.VMs,
		policy:         budget.PolicyFromSettings(o.Policy),
		release:        o.Policy.GetRelease(),
		settleInterval: defaultSettleInterval,
		searchTimeout:  defaultSearchTimeout,
		recorder:       o.Recorder,
		log:            o.Log,
		now:            o.Now,
		rand:           o.Rand,
	}
	l.setDefaults(o)
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.bills.own = budget.NewOutbox(o.Self.Incarnation, maxOwnEntries)
	l.bills.copies = budget.NewCopyStore(maxCopies, maxSettledIDs)
	grant := budget.GrantID(o.Self.Incarnation, 1)
	l.grant.Store(&grant)
	l.writer = newWriter(l, o.WritesPerSecond)
	return l
}

func (l *Ledger) setDefaults(o Options) {
	if d := o.Policy.GetSettleInterval().AsDuration(); d > 0 {
		l.settleInterval = d
	}
	if d := o.Policy.GetSearchTimeout().AsDuration(); d > 0 {
		l.searchTimeout = d
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
	l.background.Wait()
	return nil
}

// jittered returns a random duration between 0.5*d and 1.5*d.
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
