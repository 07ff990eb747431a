package ledger

import (
	"context"
	"errors"
	"slices"

	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/platformclient"
)

// batch is the content of one transaction.
type batch struct {
	entries    []*pb.BillEntry
	draws      []*drawRequest
	operations []*operation
}

func (b *batch) empty() bool {
	return len(b.entries) == 0 && len(b.draws) == 0 && len(b.operations) == 0
}

// collect takes the queued work for one transaction. While the platform is
// slow, every second transaction that has bills carries only bills.
func (w *writer) collect() *batch {
	b := &batch{entries: w.l.bills.settleable(maxBills, w.l.draining.Load(), w.isHome)}
	w.round++
	if w.slow && len(b.entries) > 0 && w.round%2 == 0 {
		return b
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(len(w.draws), maxDraws)
	b.draws = append(b.draws, w.draws[:n]...)
	w.draws = append(w.draws[:0:0], w.draws[n:]...)
	b.operations = w.operations
	w.operations = nil
	if len(w.draws) > 0 {
		w.wake()
	}
	return b
}

func (w *writer) isHome(name string) bool {
	member, self := w.l.peers.Home(name)
	return self || member == nil
}

// commit commits a batch as one transaction. If that fails, bills stay in the
// bill store, operations go back to the writer's queue, and draws fail.
func (w *writer) commit(ctx context.Context, b *batch) error {
	started := w.l.now()
	err := w.tryCommit(ctx, b)
	w.slow = err != nil || w.l.now().Sub(started) > slowCommit
	w.mu.Lock()
	w.txnCounters = w.cache.Counters
	if err != nil {
		w.operations = append(b.operations, w.operations...)
	}
	w.mu.Unlock()
	if err != nil {
		for _, req := range b.draws {
			req.result = drawFailed
			close(req.done)
		}
		return err
	}
	w.reportCommitted(b)
	return nil
}

func (w *writer) tryCommit(ctx context.Context, b *batch) error {
	a := budget.NewAttempt(w.cache, func(t *budget.Txn) error { return w.apply(t, b) })
	for tries := 0; tries < maxCommitTries; {
		step := a.Next()
		switch {
		case step.Err != nil:
			w.removeFailed(b, step.Err)
			a = budget.NewAttempt(w.cache, func(t *budget.Txn) error { return w.apply(t, b) })
			continue
		case step.Done:
			w.applyCommitted(a.Txn(), b)
			w.trimCache()
			return nil
		case step.Read != nil:
			if err := w.readRows(ctx, a, step.Read); err != nil {
				return err
			}
			continue
		}
		tries++
		if err := w.sendCommit(ctx, a, step.Commit); err != nil && (tries == maxCommitTries || !errors.Is(err, platformclient.ErrOutcomeUnknown)) {
			return err
		}
	}
	return errConflicts
}

func (w *writer) readRows(ctx context.Context, a *budget.Attempt, keys []string) error {
	rows, err := w.l.tables.Read(ctx, keys...)
	if err != nil {
		return err
	}
	a.HandleRows(keys, rows)
	return nil
}

func (w *writer) sendCommit(ctx context.Context, a *budget.Attempt, req *pb.CommitRequest) error {
	w.l.counters.commits.Add(1)
	resp, err := w.l.tables.Commit(ctx, req)
	if err != nil {
		// The commit may have taken effect; reading the rows again shows it.
		a.HandleUnknownOutcome()
		return err
	}
	if !resp.Committed {
		w.l.counters.conflicts.Add(1)
	}
	a.HandleResponse(resp)
	return nil
}

var errConflicts = errors.New("too many commit conflicts")

func (w *writer) trimCache() {
	if w.cache.Len() <= maxCachedRows {
		return
	}
	fresh := budget.NewCache()
	fresh.Counters = w.cache.Counters
	w.cache = fresh
}

// itemError is the error of one item of a batch.
type itemError struct {
	entry     *pb.BillEntry
	operation *operation
	err       error
}

// Error implements error.
func (e *itemError) Error() string { return e.err.Error() }

// Unwrap returns the item's error.
func (e *itemError) Unwrap() error { return e.err }

// apply runs the batch against a transaction. Entries that have to wait for
// another entry are skipped.
func (w *writer) apply(t *budget.Txn, b *batch) error {
	for _, e := range b.entries {
		if err := t.Settle(e); err != nil && !budget.IsMissingCoveringEntry(err) {
			return &itemError{entry: e, err: err}
		}
	}
	for _, op := range b.operations {
		if err := op.apply(t); err != nil {
			return &itemError{operation: op, err: err}
		}
	}
	for _, req := range b.draws {
		req.result = w.applyDraw(t, req)
	}
	return nil
}

// removeFailed removes the item that caused the error from the batch. If the
// error is a violation of token conservation, all bills and operations are
// removed: the operations fail and the bills stay in the bill store.
func (w *writer) removeFailed(b *batch, err error) {
	var item *itemError
	if !errors.As(err, &item) {
		w.l.log.Error("ledger: a transaction violates token conservation and is not sent", zap.Error(err))
		for _, op := range b.operations {
			op.done <- err
		}
		b.entries, b.operations = nil, nil
		return
	}
	if item.operation != nil {
		item.operation.done <- item.err
		b.operations = slices.DeleteFunc(b.operations, func(op *operation) bool { return op == item.operation })
		return
	}
	w.rejectEntry(item.entry, item.err)
	b.entries = slices.DeleteFunc(b.entries, func(e *pb.BillEntry) bool { return e == item.entry })
}

// rejectEntry drops an entry that can never be settled. Its tokens stay granted.
func (w *writer) rejectEntry(e *pb.BillEntry, err error) {
	w.l.counters.rejected.Add(1)
	w.l.log.Error("ledger: dropped a bill entry that can never be settled", zap.String("entry", e.Id), zap.String("request", e.RequestId), zap.Error(err))
	w.l.dropSettled([]string{e.Id})
}

func (w *writer) applyDraw(t *budget.Txn, req *drawRequest) drawResult {
	name := req.account.name
	id := *w.l.grant.Load()
	g, ok := t.Grant(name, id)
	if ok && g.Closed {
		w.l.replaceClosedGrant(id)
		id = *w.l.grant.Load()
		g, ok = t.Grant(name, id)
	}
	if ok && g.Granted > req.drawnTotal {
		// An earlier draw took effect although its response was lost.
		return drawDone
	}
	tokens, err := t.Draw(budget.DrawRequest{
		Grant:            w.grantRow(name, id),
		Need:             req.need,
		Want:             req.want,
		HolderFree:       req.free,
		MaxSharePermille: w.l.policy.DrawPermille,
	})
	if errkind.KindOf(err) == errkind.UnknownBudget {
		return drawUnknownBudget
	}
	if tokens == 0 {
		return drawExhausted
	}
	return drawDone
}

func (w *writer) grantRow(name, id string) *pb.GrantRow {
	return &pb.GrantRow{
		Id:         id,
		Budget:     name,
		Holder:     w.l.self.Incarnation,
		VmName:     w.l.self.Name,
		VmInstance: w.l.self.VmInstance,
		DataCentre: w.l.self.DataCentre,
	}
}

// applyCommitted updates the holders from the committed grant rows and drops
// the bills that are now settled.
func (w *writer) applyCommitted(t *budget.Txn, b *batch) {
	id := *w.l.grant.Load()
	for _, req := range b.draws {
		g, ok := t.Grant(req.account.name, id)
		if !ok {
			continue
		}
		req.account.mu.Lock()
		req.account.holder.ApplyGrant(g)
		req.account.mu.Unlock()
		if g.Closed {
			w.l.replaceClosedGrant(id)
		}
	}
	var ids []string
	for _, e := range b.entries {
		if t.Settled(e) {
			ids = append(ids, e.Id)
			w.l.record(pb.EventKind_EVENT_KIND_SETTLED, e.Budget, e.RequestId, "", e.Tokens)
		}
	}
	w.l.dropSettled(ids)
	w.l.counters.settled.Add(int64(len(ids)))
}

// reportCommitted completes the draws and operations of a committed batch.
func (w *writer) reportCommitted(b *batch) {
	if w.backoff > 0 {
		w.l.log.Info("ledger: platform commits transactions again")
		w.l.record(pb.EventKind_EVENT_KIND_PLATFORM_UP, "", "", "", 0)
	}
	for _, req := range b.draws {
		if req.result == drawDone {
			w.l.counters.draws.Add(1)
			w.l.record(pb.EventKind_EVENT_KIND_GRANT_DRAWN, req.account.name, "", "", req.want)
		}
		close(req.done)
	}
	for _, op := range b.operations {
		op.done <- nil
	}
}
