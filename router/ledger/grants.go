package ledger

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
	"cuminrock.example/router/wait"
)

const (
	// fenceInterval is the mean time between two checks of the VM list and for
	// closed grants.
	fenceInterval = 30 * time.Second
	// scanPageSize is how many rows one scan call asks for.
	scanPageSize = 1000
)

// register inserts this router's row, and retries until that succeeds. The
// router must not hold tokens before.
func (w *writer) register(ctx context.Context) {
	row := &pb.RouterRow{Incarnation: w.l.self.Incarnation, Name: w.l.self.Name, VmInstance: w.l.self.VmInstance}
	b := &batch{operations: []*operation{{
		apply: func(t *budget.Txn) error { t.Register(row); return nil },
		done:  make(chan error, 1),
	}}}
	for ctx.Err() == nil {
		err := w.tryCommit(ctx, b)
		if err == nil {
			w.l.registered.Store(true)
			return
		}
		w.backOff(ctx, err)
	}
}

// replaceClosedGrant switches to a new grant if the closed grant is the one
// that this router draws to.
func (l *Ledger) replaceClosedGrant(id string) {
	number, ok := strings.CutPrefix(id, l.self.Incarnation+"~")
	if !ok {
		return
	}
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return
	}
	next := budget.GrantID(l.self.Incarnation, n+1)
	if l.grant.CompareAndSwap(l.currentGrant(id), &next) {
		l.log.Warn("ledger: this router's grant was closed; it draws to a new one")
		l.record(pb.EventKind_EVENT_KIND_GRANT_CLOSED, "", "", id, 0)
	}
}

// currentGrant returns the pointer to the current grant's id if it equals id,
// and nil otherwise.
func (l *Ledger) currentGrant(id string) *string {
	current := l.grant.Load()
	if *current == id {
		return current
	}
	return nil
}

// fenceLoop periodically checks the VM list and fences closed grants.
func (l *Ledger) fenceLoop(ctx context.Context) {
	written := make(map[string]*pb.FenceRow)
	for wait.For(ctx, l.jittered(fenceInterval)) {
		l.checkVMs(ctx)
		l.fenceClosedGrants(ctx, written)
	}
}

// fenceClosedGrants writes this router's fence of each closed grant, and writes
// it again when it changes, until nothing of the grant is outstanding.
func (l *Ledger) fenceClosedGrants(ctx context.Context, written map[string]*pb.FenceRow) {
	rows, err := scanAll(ctx, l.tables, budget.ClosedPrefix)
	if err != nil {
		return
	}
	for _, row := range rows {
		grant := strings.TrimPrefix(row.Key, budget.ClosedPrefix)
		if last, ok := written[grant]; ok && nothingOutstanding(last) {
			continue
		}
		fence := l.fence(grant)
		addSettledParts(fence, written[grant])
		if equalFences(written[grant], fence) {
			continue
		}
		apply := func(t *budget.Txn) error { return t.Fence(fence) }
		if l.writer.do(ctx, apply) == nil {
			written[grant] = fence
		}
	}
}

// addSettledParts adds the parts of the last fence that the new one lacks, with
// nothing outstanding.
func addSettledParts(fence, last *pb.FenceRow) {
	for _, p := range last.GetParts() {
		same := func(q *pb.FencePart) bool { return q.Budget == p.Budget }
		if !slices.ContainsFunc(fence.Parts, same) {
			fence.Parts = append(fence.Parts, &pb.FencePart{Budget: p.Budget})
		}
	}
	slices.SortFunc(fence.Parts, func(a, b *pb.FencePart) int { return strings.Compare(a.Budget, b.Budget) })
}

func nothingOutstanding(f *pb.FenceRow) bool {
	return !slices.ContainsFunc(f.Parts, func(p *pb.FencePart) bool { return p.Outstanding > 0 })
}

func equalFences(a, b *pb.FenceRow) bool {
	if a == nil || len(a.Parts) != len(b.Parts) {
		return false
	}
	return slices.EqualFunc(a.Parts, b.Parts, func(x, y *pb.FencePart) bool {
		return x.Budget == y.Budget && x.Outstanding == y.Outstanding
	})
}

// fence gives up all tokens of a grant at this router and returns the row
// that states what this router may still bill. Later loans of the grant are
// ignored. A reservation that ends during the call may be counted twice, which
// is safe: the outstanding tokens are only ever too high.
func (l *Ledger) fence(grant string) *pb.FenceRow {
	l.replaceClosedGrant(grant)
	l.fenced.add(grant)
	row := &pb.FenceRow{Grant: grant, Incarnation: l.self.Incarnation}
	l.accounts.each(func(a *account) {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.holder.HasGrant(grant) {
			givenUp, reserved := a.holder.Fence(grant)
			row.Parts = append(row.Parts, &pb.FencePart{Budget: a.name, GivenUp: givenUp, Outstanding: reserved})
		}
	})
	unsettled := l.bills.outstanding(grant)
	l.standby.addOutstanding(grant, unsettled)
	for _, part := range row.Parts {
		part.Outstanding += unsettled[part.Budget]
		delete(unsettled, part.Budget)
	}
	for name, tokens := range unsettled {
		row.Parts = append(row.Parts, &pb.FencePart{Budget: name, Outstanding: tokens})
	}
	return row
}

// grantSet is a set of grant ids that can be read without a lock.
type grantSet struct {
	mu     sync.Mutex
	grants atomic.Pointer[map[string]struct{}]
}

func (s *grantSet) has(grant string) bool {
	grants := s.grants.Load()
	if grants == nil {
		return false
	}
	_, ok := (*grants)[grant]
	return ok
}

func (s *grantSet) add(grant string) {
	if s.has(grant) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := map[string]struct{}{}
	if old := s.grants.Load(); old != nil {
		next = maps.Clone(*old)
	}
	next[grant] = struct{}{}
	s.grants.Store(&next)
}
