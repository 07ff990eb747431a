package prepaid

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/allotment"
	"cuminrock.example/router/wait"
)

// maxConcurrentCloses bounds how many accounts of the previous run are closed
// concurrently.
const maxConcurrentCloses = 4

// reclaimPreviousRun returns the tokens that the previous run on this machine held
// and can't have consumed, by the bounds in its note. It returns nothing when the
// platform's clock can't be shown to be past the note's time.
func (n *noteWriter) reclaimPreviousRun() {
	previous, ok := n.readPreviousNote()
	if !ok || previous.Holder == "" {
		return
	}
	endedByMs, known := n.manager.opts.Clock.UpperBound(n.manager.opts.PreviousRunsEndedBy)
	if !known || endedByMs < previous.StoreMs {
		n.manager.opts.Log.Warn("budget: the platform's clock is unknown or behind the previous run's note; returning no tokens.",
			zap.Int64("ended_ms", endedByMs), zap.Int64("note_ms", previous.StoreMs))
		return
	}
	elapsed := time.Duration(endedByMs-previous.StoreMs) * time.Millisecond
	closing := pool.New().WithMaxGoroutines(maxConcurrentCloses)
	for _, bound := range previous.Bounds {
		closing.Go(func() { n.closeAccount(previous.Holder, bound, elapsed) })
	}
	closing.Wait()
}

// closeAccount returns the tokens of a workspace that the previous run held and
// can't have consumed. It retries until the outcome is known or the manager is
// closed.
func (n *noteWriter) closeAccount(holder string, bound *pb.AllotmentBound, elapsed time.Duration) {
	usageBound := allotment.UsageBound{Limit: bound.Limit, Rate: bound.Rate, Surge: bound.Surge,
		SurgeAfter: time.Duration(bound.SurgeAfterMs) * time.Millisecond}
	maxUsed := usageBound.MaxAfter(elapsed)
	for !n.tryReturnUnused(holder, bound.Workspace, maxUsed) {
		if !wait.For(n.manager.ctx, minRetryDelay+rand.N(maxRetryDelay-minRetryDelay)) {
			return
		}
	}
}

// readPreviousNote reads the note of the previous run on this machine. It retries
// until the platform answers, and returns false when the manager is closed.
func (n *noteWriter) readPreviousNote() (*pb.AllotmentNote, bool) {
	for {
		message, err := n.readNote()
		if err == nil {
			return message, true
		}
		n.manager.opts.Log.Warn("budget: can't read the previous run's note.", zap.Error(err))
		if !wait.For(n.manager.ctx, maxRetryDelay) {
			return nil, false
		}
	}
}

func (n *noteWriter) readNote() (*pb.AllotmentNote, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	rows, err := n.manager.opts.Tables.Read(ctx, n.rowKey())
	if err != nil {
		return nil, err
	}
	message := &pb.AllotmentNote{}
	for _, row := range rows {
		n.rowVersion = row.Version
		err = proto.Unmarshal(row.Value, message)
	}
	return message, trace.Wrap(err, "decoding the note")
}

// tryReturnUnused calls returnUnused through the gate. It reports false when the
// call must be repeated.
func (n *noteWriter) tryReturnUnused(holder, workspace string, maxUsed int64) bool {
	done := false
	// A call that isn't made or not answered is repeated like one that conflicted.
	_ = n.manager.gate.do(n.manager.opts.Now, func() (err error) {
		done, err = n.returnUnused(holder, workspace, maxUsed)
		return err
	})
	return done
}

// returnUnused returns the tokens of an ended holder beyond maxUsed, the most that
// it can have consumed. It reports false when the outcome isn't known or the commit
// conflicted, and the call must be repeated; the error says that the platform
// didn't answer.
func (n *noteWriter) returnUnused(holder, workspace string, maxUsed int64) (done bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	totalKey, holderKey := rowKeys(workspace, holder)
	found, err := n.manager.opts.Tables.Read(ctx, totalKey, holderKey)
	if err != nil {
		return false, err
	}
	rows, err := decodeRows(found, totalKey, holderKey)
	if err != nil {
		n.manager.opts.Log.Error("budget: can't decode the rows of the previous run.", zap.String("workspace", workspace), zap.Error(err))
		return true, nil
	}
	unused := rows.Taken - rows.Returned - maxUsed
	n.manager.opts.Log.Info("budget: closing the last run's account.", zap.String("workspace", workspace), zap.String("holder", holder),
		zap.Int64("taken", rows.Taken), zap.Int64("returned", rows.Returned), zap.Int64("consumed_at_most", maxUsed))
	if unused <= 0 {
		return true, nil
	}
	after := rows
	after.Total -= unused
	after.Returned += unused
	resp, err := n.manager.opts.Tables.Commit(ctx, encodeTransaction(allotment.Transaction{Before: rows, After: after}, totalKey, holderKey))
	if err != nil || !resp.Committed {
		return false, err
	}
	n.manager.opts.Log.Info("budget: returned unused tokens of the previous run.", zap.String("workspace", workspace),
		zap.String("holder", holder), zap.Int64("tokens", unused))
	return true, nil
}
