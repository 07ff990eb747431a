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
	// fenceInterval is how often closed grants are looked for.
	fenceInterval = 30 * time.Second
	// scanRows is how many rows one scan asks for.
	scanRows = 1000
)

// register inserts this router's row. It holds no tokens before.
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
		w.after(ctx, err)
	}
}

// grantClosed moves on to a new grant after someone closed this router's.
func (l *Ledger) grantClosed(id string) {
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
		l.log.Warn("ledger: this router's grant was closed")
		l.record(pb.EventKind_EVENT_KIND_GRANT_CLOSED, "", "", id, 0)
	}
}

// currentGrant returns the pointer to the current grant id if it is id.
func (l *Ledger) currentGrant(id string) *string {
	current := l.grant.Load()
	if *current == id {
		return current
	}
	return nil
}

// fenceLoop gives up this router's tokens of closed grants.
func (l *Ledger) fenceLoop(ctx context.Context) {
	written := make(map[string]*pb.FenceRow)
	for wait.For(ctx, l.jittered(fenceInterval)) {
		l.watchVms(ctx)
		l.fenceClosed(ctx, written)
	}
}

// fenceClosed fences each closed grant until nothing of it is outstanding.
func (l *Ledger) fenceClosed(ctx context.Context, written map[string]*pb.FenceRow) {
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
		settleParts(fence, written[grant])
		if sameFence(written[grant], fence) {
			continue
		}
		apply := func(t *budget.Txn) error { return t.Fence(fence) }
		if l.writer.do(ctx, apply) == nil {
			written[grant] = fence
		}
	}
}

// settleParts adds the parts of the last fence that are gone by now, with
// nothing outstanding.
func settleParts(fence, last *pb.FenceRow) {
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

func sameFence(a, b *pb.FenceRow) bool {
	if a == nil || len(a.Parts) != len(b.Parts) {
		return false
	}
	return slices.EqualFunc(a.Parts, b.Parts, func(x, y *pb.FencePart) bool {
		return x.Budget == y.Budget && x.Outstanding == y.Outstanding
	})
}

// fence gives up all tokens of a grant here and says what may still be
// billed. From then on loans of the grant are refused. A reservation that ends
// meanwhile may be counted twice, which errs to the safe side.
func (l *Ledger) fence(grant string) *pb.FenceRow {
	l.grantClosed(grant)
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
	unsettled := l.box.outstanding(grant)
	l.standby.outstanding(grant, unsettled)
	for _, part := range row.Parts {
		part.Outstanding += unsettled[part.Budget]
		delete(unsettled, part.Budget)
	}
	for name, tokens := range unsettled {
		row.Parts = append(row.Parts, &pb.FencePart{Budget: name, Outstanding: tokens})
	}
	return row
}

// grantSet is a set of grants that is read without a lock.
type grantSet struct {
	mu  sync.Mutex
	all atomic.Pointer[map[string]struct{}]
}

func (s *grantSet) has(grant string) bool {
	all := s.all.Load()
	if all == nil {
		return false
	}
	_, ok := (*all)[grant]
	return ok
}

func (s *grantSet) add(grant string) {
	if s.has(grant) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := map[string]struct{}{}
	if old := s.all.Load(); old != nil {
		next = maps.Clone(*old)
	}
	next[grant] = struct{}{}
	s.all.Store(&next)
}
