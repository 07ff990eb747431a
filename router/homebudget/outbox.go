package homebudget

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/router/wait"
)

const (
	// flushInterval is how often settlements are sent that no reservation took
	// along.
	flushInterval = 100 * time.Millisecond
	// settleTimeout bounds one call with settlements.
	settleTimeout = 500 * time.Millisecond
	// settleRetryDelay is how long no settlements are sent to a gateway that
	// didn't respond.
	settleRetryDelay = time.Second
	// settleRetryTime is how long settlements are tried again. By then the home
	// has counted the reservations as used, or is gone.
	settleRetryTime = time.Minute
	// maxQueuedPerGateway bounds the settlements that wait for one gateway.
	maxQueuedPerGateway = 10_000
)

// outbox holds the settlements to send, by the address of their gateway. It is
// safe for concurrent use.
type outbox struct {
	mu     sync.Mutex
	queues map[string]*settlementQueue
}

// settlementQueue holds the settlements for one gateway.
type settlementQueue struct {
	pending []*pb.TokenSettlement
	// failingSince is when a call first failed; zero while calls succeed.
	failingSince time.Time
	// retryAt is when the next call may be made after a failure.
	retryAt time.Time
}

func newOutbox() outbox { return outbox{queues: make(map[string]*settlementQueue)} }

// add queues a settlement. One that doesn't fit is dropped: its reservation then
// counts as used at the end of its lifetime.
func (o *outbox) add(address string, number uint64, used int64, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.queues[address]
	if q == nil {
		q = &settlementQueue{retryAt: now}
		o.queues[address] = q
	}
	if len(q.pending) < maxQueuedPerGateway {
		q.pending = append(q.pending, &pb.TokenSettlement{Number: number, Used: used})
	}
}

// take removes and returns the settlements for a gateway.
func (o *outbox) take(address string) []*pb.TokenSettlement {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.queues[address]
	if q == nil {
		return nil
	}
	taken := q.pending
	q.pending = nil
	return taken
}

// putBack queues settlements again whose call failed.
func (o *outbox) putBack(address string, settlements []*pb.TokenSettlement) {
	if len(settlements) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.queues[address]
	q.pending = append(settlements, q.pending...)
}

// due returns the gateways for which settlements wait and may be sent.
func (o *outbox) due(now time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var addresses []string
	for address, q := range o.queues {
		if len(q.pending) > 0 && !now.Before(q.retryAt) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// empty reports whether no settlements wait.
func (o *outbox) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, q := range o.queues {
		if len(q.pending) > 0 {
			return false
		}
	}
	return true
}

// recordCall records the result of a call with settlements. It drops those for a
// gateway that hasn't responded for settleRetryTime and returns their number.
func (o *outbox) recordCall(address string, err error, now time.Time) (dropped int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.queues[address]
	if err == nil {
		q.failingSince = time.Time{}
		return 0
	}
	if q.failingSince.IsZero() {
		q.failingSince = now
	}
	q.retryAt = now.Add(settleRetryDelay)
	if now.Sub(q.failingSince) < settleRetryTime {
		return 0
	}
	dropped = len(q.pending)
	delete(o.queues, address)
	return dropped
}

// Run sends settlements until ctx ends.
func (b *Budgets) Run(ctx context.Context) {
	for wait.For(ctx, flushInterval) {
		b.flush(ctx)
	}
}

// Close sends the remaining settlements. It returns once they are sent, or the
// error of ctx.
func (b *Budgets) Close(ctx context.Context) error {
	for !b.outbox.empty() {
		b.flush(ctx)
		if !wait.For(ctx, flushInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// flush sends the settlements that are due.
func (b *Budgets) flush(ctx context.Context) {
	var calls conc.WaitGroup
	for _, address := range b.outbox.due(b.Now()) {
		calls.Go(func() { b.sendSettlements(ctx, address) })
	}
	calls.Wait()
}

func (b *Budgets) sendSettlements(ctx context.Context, address string) {
	settlements := b.outbox.take(address)
	if len(settlements) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	_, err := b.Peers.Settle(ctx, address, &pb.SettleTokensRequest{Run: b.Incarnation, Settlements: settlements})
	if err != nil {
		b.outbox.putBack(address, settlements)
	}
	dropped := b.outbox.recordCall(address, err, b.Now())
	if dropped > 0 {
		b.Log.Warn("budget: gave up settling reservations at a gateway that doesn't respond.", zap.String("gateway", address),
			zap.Int("reservations", dropped), zap.Error(err))
	}
}
