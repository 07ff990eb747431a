package ledger

import (
	"context"
	"errors"
	"slices"

	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/platform"
)

// batch is the content of one transaction.
type batch struct {
	entries    []*pb.BillEntry
	wishes     []*wish
	operations []*operation
}

func (b *batch) empty() bool {
	return len(b.entries) == 0 && len(b.wishes) == 0 && len(b.operations) == 0
}

// collect takes what waits. While the platform is slow every other
// transaction is for bills alone.
func (w *writer) collect() *batch {
	b := &batch{entries: w.l.box.settleable(mostBills, w.l.draining.Load(), w.isHome)}
	w.turn++
	if w.slow && len(b.entries) > 0 && w.turn%2 == 0 {
		return b
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(len(w.wishes), mostDraws)
	b.wishes = append(b.wishes, w.wishes[:n]...)
	w.wishes = append(w.wishes[:0:0], w.wishes[n:]...)
	b.operations = w.operations
	w.operations = nil
	if len(w.wishes) > 0 {
		w.wake()
	}
	return b
}

func (w *writer) isHome(name string) bool {
	member, self := w.l.peers.Home(name)
	return self || member == nil
}

// commit makes one transaction of a batch. What failed stays queued: bills in
// the box, operations in the writer; draws fail.
func (w *writer) commit(ctx context.Context, b *batch) error {
	started := w.l.now()
	err := w.tryCommit(ctx, b)
	w.slow = err != nil || w.l.now().Sub(started) > slowCommit
	w.mu.Lock()
	w.audit = w.cache.Counters
	if err != nil {
		w.operations = append(b.operations, w.operations...)
	}
	w.mu.Unlock()
	if err != nil {
		for _, wish := range b.wishes {
			wish.result = drawFailed
			close(wish.done)
		}
		return err
	}
	w.finish(b)
	return nil
}

func (w *writer) tryCommit(ctx context.Context, b *batch) error {
	a := budget.NewAttempt(w.cache, func(t *budget.Txn) error { return w.apply(t, b) })
	for tries := 0; tries < mostTries; {
		step := a.Next()
		switch {
		case step.Err != nil:
			w.refuse(b, step.Err)
			a = budget.NewAttempt(w.cache, func(t *budget.Txn) error { return w.apply(t, b) })
			continue
		case step.Done:
			w.learn(a.Txn(), b)
			w.trim()
			return nil
		case step.Read != nil:
			if err := w.read(ctx, a, step.Read); err != nil {
				return err
			}
			continue
		}
		tries++
		if err := w.send(ctx, a, step.Commit); err != nil && (tries == mostTries || !errors.Is(err, platform.ErrUnknown)) {
			return err
		}
	}
	return errConflicts
}

func (w *writer) read(ctx context.Context, a *budget.Attempt, keys []string) error {
	rows, err := w.l.tables.Read(ctx, keys...)
	if err != nil {
		return err
	}
	a.HandleRows(keys, rows)
	return nil
}

func (w *writer) send(ctx context.Context, a *budget.Attempt, req *pb.CommitRequest) error {
	w.l.counters.commits.Add(1)
	resp, err := w.l.tables.Commit(ctx, req)
	if err != nil {
		// Committed or not: the rows tell, once they are read again.
		a.HandleUnknownOutcome()
		return err
	}
	if !resp.Committed {
		w.l.counters.conflicts.Add(1)
	}
	a.HandleResponse(resp)
	return nil
}

var errConflicts = errors.New("too many conflicts")

func (w *writer) trim() {
	if w.cache.Len() <= mostCachedRows {
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

// apply runs the batch against a transaction. Entries that wait for another
// entry are passed over.
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
	for _, wish := range b.wishes {
		wish.result = w.applyWish(t, wish)
	}
	return nil
}

// refuse takes the item that can't be done out of the batch. A batch that
// breaks conservation is dropped whole: its bills stay where they are.
func (w *writer) refuse(b *batch, err error) {
	var item *itemError
	if !errors.As(err, &item) {
		w.l.log.Error("ledger: a transaction breaks conservation and is not sent", zap.Error(err))
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
	w.reject(item.entry, item.err)
	b.entries = slices.DeleteFunc(b.entries, func(e *pb.BillEntry) bool { return e == item.entry })
}

// reject drops an entry that can never be settled. Its tokens stay granted.
func (w *writer) reject(e *pb.BillEntry, err error) {
	w.l.counters.rejected.Add(1)
	w.l.log.Error("ledger: bill entry can't be settled", zap.String("entry", e.Id), zap.String("request", e.RequestId), zap.Error(err))
	w.l.forget([]string{e.Id})
}

func (w *writer) applyWish(t *budget.Txn, wish *wish) drawResult {
	name := wish.account.name
	id := *w.l.grant.Load()
	g, ok := t.Grant(name, id)
	if ok && g.Closed {
		w.l.grantClosed(id)
		id = *w.l.grant.Load()
		g, ok = t.Grant(name, id)
	}
	if ok && g.Granted > wish.known {
		// An earlier draw took effect although its answer was lost.
		return drawDone
	}
	tokens, err := t.Draw(budget.DrawRequest{
		Grant:            w.grantRow(name, id),
		Need:             wish.need,
		Want:             wish.want,
		HolderFree:       wish.held,
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

// learn gives the holders the grant rows as committed, and drops the bills
// that the platform holds.
func (w *writer) learn(t *budget.Txn, b *batch) {
	id := *w.l.grant.Load()
	for _, wish := range b.wishes {
		g, ok := t.Grant(wish.account.name, id)
		if !ok {
			continue
		}
		wish.account.mu.Lock()
		wish.account.holder.ApplyGrant(g)
		wish.account.mu.Unlock()
		if g.Closed {
			w.l.grantClosed(id)
		}
	}
	var ids []string
	for _, e := range b.entries {
		if t.Settled(e) {
			ids = append(ids, e.Id)
			w.l.record(pb.EventKind_EVENT_KIND_SETTLED, e.Budget, e.RequestId, "", e.Tokens)
		}
	}
	w.l.forget(ids)
	w.l.counters.settled.Add(int64(len(ids)))
}

// finish reports a committed batch.
func (w *writer) finish(b *batch) {
	if w.backoff > 0 {
		w.l.log.Info("ledger: platform takes transactions again")
		w.l.record(pb.EventKind_EVENT_KIND_PLATFORM_UP, "", "", "", 0)
	}
	for _, wish := range b.wishes {
		if wish.result == drawDone {
			w.l.counters.draws.Add(1)
			w.l.record(pb.EventKind_EVENT_KIND_GRANT_DRAWN, wish.account.name, "", "", wish.want)
		}
		close(wish.done)
	}
	for _, op := range b.operations {
		op.done <- nil
	}
}
