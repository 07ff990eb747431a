package prepaid

import (
	"context"
	"math/rand/v2"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/allotment"
	"cuminrock.example/router/wait"
	"go.uber.org/zap"
)

const (
	// maxNoteInterval is the longest time between two notes while the platform
	// answers.
	maxNoteInterval = 500 * time.Millisecond
	// noteTimeout bounds the write of a note.
	noteTimeout = time.Second
	// minNoteInterval is the shortest time between two notes.
	minNoteInterval = 50 * time.Millisecond
)

// noteWriter writes the machine's note, a row with an upper bound of the tokens
// that this run may have consumed. If the process dies, the next run on the machine
// returns the tokens beyond that bound. The writer therefore starts by returning
// the unused tokens of the previous run.
type noteWriter struct {
	manager *Manager
	wakeup  signal
	// rowVersion is the version of the note's row as last seen.
	rowVersion uint64
	// pending is a note whose outcome isn't known; nil without one. It is sent
	// again unchanged, so that one set of usage bounds covers both outcomes.
	pending *composedNote
	// platformDown is true when the platform didn't answer the last write.
	platformDown bool
}

// composedNote is an encoded note and the usage bound of each worker in it.
type composedNote struct {
	value  []byte
	bounds map[*accountWorker]allotment.UsageBound
}

func newNoteWriter(m *Manager) *noteWriter { return &noteWriter{manager: m, wakeup: newSignal()} }

func (n *noteWriter) run() {
	n.reclaimPreviousRun()
	for wait.For(n.manager.ctx, minNoteInterval) {
		if n.writeNote() {
			n.sleep(maxNoteInterval - minNoteInterval)
		}
	}
}

// sleep waits for d, a notification or the end of the manager.
func (n *noteWriter) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-n.manager.ctx.Done():
	case <-n.wakeup:
	case <-timer.C:
	}
}

func (n *noteWriter) rowKey() string { return "routers/" + n.manager.opts.Machine + "/note" }

// writeNote writes a note of all accounts, or again the one whose outcome isn't
// known. It reports false when the next note should follow at once: a note that was
// sent again is already old when it is committed.
func (n *noteWriter) writeNote() bool {
	resent := n.pending != nil
	if !resent {
		n.pending = n.compose()
	}
	if n.pending == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), noteTimeout)
	defer cancel()
	resp, err := n.manager.opts.Tables.Commit(ctx, &pb.CommitRequest{
		Conditions: []*pb.Condition{{Key: n.rowKey(), Version: n.rowVersion}},
		Writes:     []*pb.Write{{Key: n.rowKey(), Value: n.pending.value}},
	})
	n.manager.opts.Metrics.recordCall(callNote, resp.GetCommitted(), err)
	n.trackAvailability(err)
	switch {
	case err != nil && isOutcomeUnknown(err):
	case err != nil:
		n.dropBounds()
	case resp.Committed:
		n.rowVersion = resp.Version
		n.confirmBounds()
	default:
		n.handleConflict(resp.Conflicts)
	}
	if err != nil {
		wait.For(n.manager.ctx, minRetryDelay+rand.N(maxRetryDelay-minRetryDelay))
	}
	return err == nil && !resent && n.pending == nil
}

// trackAvailability records whether the platform answered, and logs each change.
func (n *noteWriter) trackAvailability(err error) {
	changed := n.platformDown != (err != nil)
	n.platformDown = err != nil
	switch {
	case changed && n.platformDown:
		n.manager.opts.Log.Warn("budget: lost the platform for notes.", zap.Uint64("row_version", n.rowVersion),
			zap.Bool("outcome_unknown", isOutcomeUnknown(err)), zap.Error(err))
	case changed:
		n.manager.opts.Log.Info("budget: regained the platform for notes.", zap.Uint64("row_version", n.rowVersion))
	}
}

// compose returns a new note. From here on this run stays within its usage bounds.
// It returns nil when there are no accounts or the platform's time isn't known.
func (n *noteWriter) compose() *composedNote {
	now := n.manager.opts.Now()
	storeMs, known := n.manager.opts.Clock.LowerBound(now)
	if !known {
		return nil
	}
	message := &pb.AllotmentNote{Holder: n.manager.opts.Holder, StoreMs: storeMs}
	bounds := make(map[*accountWorker]allotment.UsageBound)
	for _, aw := range n.manager.allWorkers() {
		bound := aw.nextBound(now)
		bounds[aw] = bound
		message.Bounds = append(message.Bounds, &pb.AllotmentBound{Workspace: aw.workspace, Limit: bound.Limit, Rate: bound.Rate, Surge: bound.Surge, SurgeAfterMs: bound.SurgeAfter.Milliseconds()})
	}
	if len(bounds) == 0 {
		return nil
	}
	return &composedNote{value: mustMarshal(message), bounds: bounds}
}

// confirmBounds puts the usage bounds of the pending note in force after its commit.
func (n *noteWriter) confirmBounds() {
	for aw, bound := range n.pending.bounds {
		aw.confirmBound(bound)
	}
	n.pending = nil
}

// dropBounds removes the usage bounds of a note that was not and won't be committed.
func (n *noteWriter) dropBounds() {
	for aw := range n.pending.bounds {
		aw.dropBound()
	}
	n.pending = nil
}

// handleConflict takes the version of the current row. The row can only be this
// run's own note, from an earlier send that was committed late.
func (n *noteWriter) handleConflict(rows []*pb.Row) {
	for _, row := range rows {
		n.rowVersion = row.Version
		if string(row.Value) == string(n.pending.value) {
			n.confirmBounds()
			return
		}
	}
	n.manager.opts.Log.Warn("budget: the stored note differs from the pending one; sending the pending one again.", zap.Uint64("row_version", n.rowVersion))
}

// nextBound adds a new usage bound to the account, which holds from now on.
func (aw *accountWorker) nextBound(now time.Time) allotment.UsageBound {
	aw.mu.Lock()
	defer aw.mu.Unlock()
	bound := aw.account.NextBound(now)
	aw.account.AddBound(bound)
	return bound
}

// confirmBound tells the account that the platform stored the bound, and serves the
// waiters that it allows.
func (aw *accountWorker) confirmBound(bound allotment.UsageBound) {
	aw.mu.Lock()
	aw.account.ConfirmBound(bound)
	aw.serveWaiters()
	waiting := len(aw.waiters) > 0
	aw.mu.Unlock()
	if waiting {
		aw.wakeup.notify()
	}
}

// dropBound removes the newest bound, which the platform never stored.
func (aw *accountWorker) dropBound() {
	aw.mu.Lock()
	defer aw.mu.Unlock()
	aw.account.DropLastBound()
}
