package ledger

import (
	"context"
	"slices"

	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
	"cuminrock.example/router/platformclient"
)

// checkVMs reads the VM list. It records that this router's VM is listed and,
// with release vm_gone, closes the grants of routers whose VM was listed and no
// longer is. The list lags behind, but an instance that it has shown and then
// dropped never runs again. The absence of a VM that it has not shown yet
// proves nothing, so the router of such a VM is left alone.
func (l *Ledger) checkVMs(ctx context.Context) {
	if l.vmList == nil {
		return
	}
	vms, err := l.vmList.ListVMs(ctx)
	if err != nil {
		return
	}
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.Instance] = true
	}
	if listed[l.self.VmInstance] {
		l.recordListed(ctx)
	}
	if l.release == pb.Release_RELEASE_VM_GONE {
		l.closeGoneRouters(ctx, listed)
	}
}

// recordListed writes to this router's row that the VM list has shown its VM.
func (l *Ledger) recordListed(ctx context.Context) {
	if l.listed.Load() {
		return
	}
	row := &pb.RouterRow{Incarnation: l.self.Incarnation, Name: l.self.Name, VmInstance: l.self.VmInstance, Listed: true}
	err := l.writer.do(ctx, func(t *budget.Txn) error { t.Register(row); return nil })
	l.listed.Store(err == nil)
}

func (l *Ledger) closeGoneRouters(ctx context.Context, listed map[string]bool) {
	routers, err := scanMessages(ctx, l.tables, budget.RouterPrefix, func() *pb.RouterRow { return &pb.RouterRow{} })
	if err != nil {
		return
	}
	for _, r := range routers {
		if !r.Listed || r.Closed || listed[r.VmInstance] || r.Incarnation == l.self.Incarnation {
			continue
		}
		// The home of the incarnation closes its grants. If two routers do so,
		// no harm is done.
		if _, isHome := l.peers.Home(r.Incarnation); !isHome {
			continue
		}
		l.closeGoneRouter(ctx, r)
	}
}

func (l *Ledger) closeGoneRouter(ctx context.Context, r *pb.RouterRow) {
	tokens, err := CloseRouterGrants(ctx, l.tables, r.Incarnation)
	if err != nil {
		l.log.Warn("ledger: cannot close the grants of a router whose VM is gone", zap.String("router", r.Name), zap.Error(err))
		return
	}
	l.log.Info("ledger: closed the grants of a router whose VM is gone", zap.String("router", r.Name), zap.Int64("tokens", tokens))
	l.record(pb.EventKind_EVENT_KIND_GRANT_CLOSED, "", "", r.Name, tokens)
	r.Closed = true
	_ = l.writer.do(ctx, func(t *budget.Txn) error { t.Register(r); return nil })
}

// CloseRouterGrants closes the grants of all budgets that a router incarnation
// holds, and returns the tokens that this put in doubt.
func CloseRouterGrants(ctx context.Context, tables platformclient.TableStore, incarnation string) (int64, error) {
	grants, err := scanMessages(ctx, tables, budget.AllGrantsPrefix, func() *pb.GrantRow { return &pb.GrantRow{} })
	if err != nil {
		return 0, err
	}
	grants = slices.DeleteFunc(grants, func(g *pb.GrantRow) bool { return g.Holder != incarnation || g.Closed })
	var sum int64
	for part := range slices.Chunk(grants, maxDraws) {
		tokens, err := closeGrants(ctx, tables, part)
		if err != nil {
			return sum, err
		}
		sum += tokens
	}
	return sum, nil
}

// closeGrants closes grants of many budgets in one transaction.
func closeGrants(ctx context.Context, tables platformclient.TableStore, grants []*pb.GrantRow) (int64, error) {
	var sum int64
	err := commitChange(ctx, tables, func(t *budget.Txn) error {
		closing := int64(0)
		for _, g := range grants {
			tokens, err := t.Close(g.Budget, g.Id)
			if err != nil {
				return err
			}
			closing += tokens
		}
		sum = max(sum, closing)
		return nil
	})
	return sum, err
}
