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
	// noteInterval is the time between two notes at most, while the platform
	// answers.
	noteInterval = 500 * time.Millisecond
	// noteTimeout bounds the writing of a note.
	noteTimeout = time.Second
	// noteGap is the time between two notes at least.
	noteGap = 50 * time.Millisecond
)

// noter keeps the machine's note: what this run may have consumed at most. It
// begins by giving back what the note of the machine's last run leaves.
type noter struct {
	book  *Manager
	waker waker
	// version is the row's version as last seen.
	version uint64
	// pending is a note whose outcome isn't known; nil without one. It is sent
	// again as it is, so that one set of promises covers either outcome.
	pending *note
	// down says that the platform didn't answer the last write.
	down bool
}

// note is the promises of one note by their keepers.
type note struct {
	value    []byte
	promises map[*keeper]allotment.UsageBound
}

func newNoter(b *Manager) *noter { return &noter{book: b, waker: newWaker()} }

func (n *noter) run() {
	n.recover()
	for wait.For(n.book.life, noteGap) {
		if n.write() {
			n.rest(noteInterval - noteGap)
		}
	}
}

// rest waits for a wake, or until the time is over.
func (n *noter) rest(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-n.book.life.Done():
	case <-n.waker:
	case <-timer.C:
	}
}

func (n *noter) key() string { return "routers/" + n.book.opts.Machine + "/note" }

// write sends a note of all accounts, or the one whose outcome isn't known. It
// reports false where the next is to follow at once: a note that was sent again
// is old when it is taken.
func (n *noter) write() bool {
	again := n.pending != nil
	if !again {
		n.pending = n.compose()
	}
	if n.pending == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), noteTimeout)
	defer cancel()
	resp, err := n.book.opts.Tables.Commit(ctx, &pb.CommitRequest{
		Conditions: []*pb.Condition{{Key: n.key(), Version: n.version}},
		Writes:     []*pb.Write{{Key: n.key(), Value: n.pending.value}},
	})
	n.book.opts.Metrics.called(callNote, resp.GetCommitted(), err)
	n.noted(err)
	switch {
	case err != nil && isUnknown(err):
	case err != nil:
		n.dropped()
	case resp.Committed:
		n.version = resp.Version
		n.taken()
	default:
		n.conflict(resp.Conflicts)
	}
	if err != nil {
		wait.For(n.book.life, retryMin+rand.N(retryMax-retryMin))
	}
	return err == nil && !again && n.pending == nil
}

// noted logs when the platform is lost and regained.
func (n *noter) noted(err error) {
	changed := n.down != (err != nil)
	n.down = err != nil
	switch {
	case changed && n.down:
		n.book.opts.Log.Warn("budget: lost the platform for notes.", zap.Uint64("row_version", n.version),
			zap.Bool("outcome_unknown", isUnknown(err)), zap.Error(err))
	case changed:
		n.book.opts.Log.Info("budget: regained the platform for notes.", zap.Uint64("row_version", n.version))
	}
}

// compose makes a note, and binds this run to its promises. It is nil where
// nothing is held or the platform's time isn't known.
func (n *noter) compose() *note {
	now := n.book.opts.Now()
	storeMs, known := n.book.opts.Clock.Estimate(now)
	if !known {
		return nil
	}
	message := &pb.AllotmentNote{Holder: n.book.opts.Holder, StoreMs: storeMs}
	promises := make(map[*keeper]allotment.UsageBound)
	for _, k := range n.book.all() {
		p := k.promise(now)
		promises[k] = p
		message.Bounds = append(message.Bounds, &pb.AllotmentBound{Workspace: k.workspace, Limit: p.Limit, Rate: p.Rate, Surge: p.Surge, SurgeAfterMs: p.SurgeAfter.Milliseconds()})
	}
	if len(promises) == 0 {
		return nil
	}
	return &note{value: encode(message), promises: promises}
}

// taken makes the pending note's promises the ones that hold.
func (n *noter) taken() {
	for k, p := range n.pending.promises {
		k.promiseTaken(p)
	}
	n.pending = nil
}

// dropped ends the promises of a note that the platform never took.
func (n *noter) dropped() {
	for k := range n.pending.promises {
		k.promiseDropped()
	}
	n.pending = nil
}

// conflict takes the row as it stands. It can only be this run's own note, sent
// before and committed late.
func (n *noter) conflict(rows []*pb.Row) {
	for _, row := range rows {
		n.version = row.Version
		if string(row.Value) == string(n.pending.value) {
			n.taken()
			return
		}
	}
	n.book.opts.Log.Warn("budget: the machine's note isn't this run's; sending it again.", zap.Uint64("row_version", n.version))
}

// promise makes the account hold to a new promise.
func (k *keeper) promise(now time.Time) allotment.UsageBound {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.account.NextBound(now)
	k.account.AddBound(p)
	return p
}

// promiseTaken takes that the platform has the promise.
func (k *keeper) promiseTaken(p allotment.UsageBound) {
	k.mu.Lock()
	k.account.ConfirmBound(p)
	k.serveWaiters()
	waiting := len(k.waiters) > 0
	k.mu.Unlock()
	if waiting {
		k.waker.wake()
	}
}

// promiseDropped takes that the platform never took the newest promise.
func (k *keeper) promiseDropped() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.account.DropLastBound()
}
