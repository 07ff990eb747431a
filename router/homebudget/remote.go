package homebudget

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/home"
	"cuminrock.example/router/prepaid"
)

// reserveRemotely reserves tokens at another gateway.
func (b *Budgets) reserveRemotely(ctx context.Context, call *home.Call, q *tokenRequest, maxWait time.Duration, heldOnly bool) (prepaid.Reservation, error) {
	address := call.Gateway().PeerAddress
	number := b.lastNumber.Add(1)
	settlements := b.outbox.take(address)
	callCtx, cancel := context.WithTimeout(ctx, maxWait+responseMargin)
	defer cancel()
	resp, err := b.Peers.Reserve(callCtx, address, &pb.ReserveTokensRequest{
		Run: b.Incarnation, Number: number, RequestId: q.id, Workspace: q.workspace.Name, Tokens: q.tokens, Rank: int32(q.rank),
		MaxWaitMs: maxWait.Milliseconds(), HeldOnly: heldOnly, LifetimeMs: b.lifetime(ctx).Milliseconds(), Settlements: settlements,
	})
	if err != nil {
		b.outbox.putBack(address, settlements)
		// The tokens may be reserved nevertheless.
		b.outbox.add(address, number, 0, b.Now())
		b.endFailedCall(ctx, call, q, err)
		return nil, errNoResponse
	}
	if resp.Result == pb.ReserveResult_RESERVE_RESULT_RESERVED {
		call.Succeeded()
		b.Metrics.recordResult(resultRemote)
		return &remoteReservation{budgets: b, address: address, number: number}, nil
	}
	refusal := decodeRefusal(resp)
	if errors.Is(refusal, errNoResponse) {
		call.Failed(b.Now())
	} else {
		call.Succeeded()
	}
	return nil, refusal
}

// endFailedCall records a call without a response. One that the request itself
// ended says nothing about the gateway.
func (b *Budgets) endFailedCall(ctx context.Context, call *home.Call, q *tokenRequest, err error) {
	if ctx.Err() != nil {
		call.Release()
		return
	}
	call.Failed(b.Now())
	b.Metrics.recordResult(resultNoResponse)
	b.Log.Info("budget: the home didn't respond.", zap.String("request", q.id), zap.String("workspace", q.workspace.Name),
		zap.String("home", call.Gateway().Name), zap.Error(err))
}

// lifetime returns how long the reservation of a request may stay unsettled.
func (b *Budgets) lifetime(ctx context.Context) time.Duration {
	deadline, limited := ctx.Deadline()
	if !limited {
		return defaultLifetime
	}
	return deadline.Sub(b.Now()) + lifetimeMargin
}

// decodeRefusal returns the error of a response that reserves nothing.
func decodeRefusal(resp *pb.ReserveTokensResponse) error {
	retryAfter := time.Duration(resp.RetryAfterMs) * time.Millisecond
	switch resp.Result {
	case pb.ReserveResult_RESERVE_RESULT_INSUFFICIENT:
		return errkind.New(errkind.BudgetUnreachable, "the prepaid balance doesn't cover this request now").WithRetryAfter(retryAfter)
	case pb.ReserveResult_RESERVE_RESULT_EXHAUSTED:
		return errkind.New(errkind.BudgetExhausted, "the prepaid balance doesn't cover this request").WithRetryAfter(retryAfter)
	case pb.ReserveResult_RESERVE_RESULT_PLATFORM_DOWN:
		return errkind.Wrap(errkind.BudgetUnreachable, prepaid.ErrPlatformDown, "no tokens can be taken from the prepaid balance now").WithRetryAfter(retryAfter)
	default:
		return errNoResponse
	}
}

// remoteReservation is a reservation at another gateway.
type remoteReservation struct {
	budgets *Budgets
	address string
	number  uint64
}

// Settle implements prepaid.Reservation.
func (r *remoteReservation) Settle(used int64) {
	r.budgets.outbox.add(r.address, r.number, used, r.budgets.Now())
}
