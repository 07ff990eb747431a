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

// closingCalls bounds the accounts of the last run that are closed at once.
const closingCalls = 4

// recover gives back what the machine's last run held and can't have consumed.
func (n *noter) recover() {
	last, ok := n.last()
	if !ok || last.Holder == "" {
		return
	}
	endedMs, known := n.book.opts.Clock.Latest(n.book.opts.PreviousRunsEndedBy)
	if !known || endedMs < last.StoreMs {
		n.book.opts.Log.Warn("budget: the platform's clock went back since the last run's note; giving nothing back.",
			zap.Int64("ended_ms", endedMs), zap.Int64("note_ms", last.StoreMs))
		return
	}
	elapsed := time.Duration(endedMs-last.StoreMs) * time.Millisecond
	closing := pool.New().WithMaxGoroutines(closingCalls)
	for _, bound := range last.Bounds {
		closing.Go(func() { n.closeAccount(last.Holder, bound, elapsed) })
	}
	closing.Wait()
}

// closeAccount gives back what the last run held of a workspace and can't have
// consumed, until the outcome is known or the book closes.
func (n *noter) closeAccount(holder string, bound *pb.AllotmentBound, elapsed time.Duration) {
	promise := allotment.UsageBound{Limit: bound.Limit, Rate: bound.Rate, Surge: bound.Surge,
		SurgeAfter: time.Duration(bound.SurgeAfterMs) * time.Millisecond}
	most := promise.MaxAfter(elapsed)
	for !n.giveBack(holder, bound.Workspace, most) {
		if !wait.For(n.book.life, retryMin+rand.N(retryMax-retryMin)) {
			return
		}
	}
}

// last reads the note of the machine's last run, until the platform answers;
// false when the book closes.
func (n *noter) last() (*pb.AllotmentNote, bool) {
	for {
		message, err := n.read()
		if err == nil {
			return message, true
		}
		n.book.opts.Log.Warn("budget: can't read the note of the last run.", zap.Error(err))
		if !wait.For(n.book.life, retryMax) {
			return nil, false
		}
	}
}

func (n *noter) read() (*pb.AllotmentNote, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	rows, err := n.book.opts.Tables.Read(ctx, n.key())
	if err != nil {
		return nil, err
	}
	message := &pb.AllotmentNote{}
	for _, row := range rows {
		n.version = row.Version
		err = proto.Unmarshal(row.Value, message)
	}
	return message, trace.Wrap(err, "reading a note")
}

// giveBack returns a dead holder's tokens beyond what it consumed at most. It
// reports false when the outcome isn't known.
func (n *noter) giveBack(holder, workspace string, most int64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	totalKey, holderKey := rowKeys(workspace, holder)
	found, err := n.book.opts.Tables.Read(ctx, totalKey, holderKey)
	if err != nil {
		return false
	}
	rows, err := decodeRows(found, totalKey, holderKey)
	if err != nil {
		n.book.opts.Log.Error("budget: a dead holder's rows can't be read.", zap.String("workspace", workspace), zap.Error(err))
		return true
	}
	rest := rows.Taken - rows.Returned - most
	n.book.opts.Log.Info("budget: closing the last run's account.", zap.String("workspace", workspace), zap.String("holder", holder),
		zap.Int64("taken", rows.Taken), zap.Int64("returned", rows.Returned), zap.Int64("consumed_at_most", most))
	if rest <= 0 {
		return true
	}
	after := rows
	after.Total -= rest
	after.Returned += rest
	resp, err := n.book.opts.Tables.Commit(ctx, encodeStep(allotment.Transaction{Before: rows, After: after}, totalKey, holderKey))
	if err != nil || !resp.Committed {
		return false
	}
	n.book.opts.Log.Info("budget: gave back what the last run held.", zap.String("workspace", workspace),
		zap.String("holder", holder), zap.Int64("tokens", rest))
	return true
}
