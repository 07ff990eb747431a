// Package homebudget reserves prepaid tokens for the requests of a gateway at
// the gateways that hold them.
//
// In each data centre one gateway is the home of a workspace (package home). It
// takes the workspace's tokens from the platform for all requests of the data
// centre, and the other gateways reserve them there, one call a request. So few
// gateways contend for a workspace's rows, and what a data centre holds is used
// by whichever gateway needs it, also while the platform can't be reached.
//
// Safety rests on the home's account alone: a token is reserved there before a
// request of another gateway is sent, and counts as used until that gateway has
// settled the reservation. A lost call or response can therefore only leave
// tokens unused:
//
//   - A gateway that got no response settles the reservation as unused. If that
//     arrives before the reservation itself, the home remembers it.
//   - A settlement may be repeated; only the first one of a reservation counts.
//   - A reservation that isn't settled within its lifetime counts as used.
//
// A gateway that itself has steady demand for a workspace holds tokens of its own,
// as a home does, and asks the home only when these don't suffice.
//
// A gateway falls back to the next one in the ranking, and to an account of its
// own, when the home doesn't respond. When tokens are missing, the homes of this
// and of other data centres are asked for what they hold.
package homebudget

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/catalog"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/home"
	"cuminrock.example/router/prepaid"
)

const (
	// maxHomesTried bounds the gateways of the own data centre that are asked for
	// one request.
	maxHomesTried = 2
	// maxDataCentresSearched bounds the other data centres whose homes are asked
	// for what they hold.
	maxDataCentresSearched = 2
	// searchPause is how long a workspace's tokens aren't searched for at other
	// homes after none were found.
	searchPause = 300 * time.Millisecond
	// firstWaitDivisor gives the part of the waiting time that the first home gets,
	// so that a silent one leaves time for the next.
	firstWaitDivisor = 3
	// responseMargin is how much longer than the home may wait for tokens its
	// response is waited for. A small VM may run nothing for a tenth of a second.
	responseMargin = 100 * time.Millisecond
	// lifetimeMargin is added to the time that a request has left, for its
	// settlement to arrive.
	lifetimeMargin = 10 * time.Second
	// defaultLifetime is the lifetime of the reservation of a request without a
	// deadline.
	defaultLifetime = 2 * time.Minute
)

// errNoResponse means that the picked gateway didn't respond, or isn't a home.
var errNoResponse = errors.New("the home of the workspace didn't respond")

// Peers calls other gateways.
type Peers interface {
	Reserve(ctx context.Context, address string, req *pb.ReserveTokensRequest) (*pb.ReserveTokensResponse, error)
	Settle(ctx context.Context, address string, req *pb.SettleTokensRequest) (*pb.SettleTokensResponse, error)
}

// Options configures Budgets. All fields are required.
type Options struct {
	// Local holds the tokens that this gateway takes itself.
	Local *prepaid.Manager
	Homes *home.Table
	Peers Peers
	// Incarnation is the random name of this run of the gateway.
	Incarnation string
	Metrics     *Metrics
	Log         *zap.Logger
	Now         func() time.Time
}

// Budgets reserves tokens. It implements relay.Budgets and is safe for
// concurrent use.
type Budgets struct {
	Options
	demand     *home.Demand
	lastNumber atomic.Uint64
	outbox     outbox

	mu sync.Mutex
	// searchAfter is when a workspace's tokens may next be searched for at other
	// homes.
	searchAfter map[string]time.Time
}

// New returns budgets whose settlements are sent by Run.
func New(opts Options) *Budgets {
	return &Budgets{Options: opts, demand: home.NewDemand(), outbox: newOutbox(), searchAfter: make(map[string]time.Time)}
}

// tokenRequest is what one request needs.
type tokenRequest struct {
	id        string
	workspace *catalog.Workspace
	tokens    int64
	rank      int
}

// Reserve implements relay.Budgets.
func (b *Budgets) Reserve(ctx context.Context, id string, w *catalog.Workspace, tokens int64, rank int, maxWait time.Duration) (prepaid.Reservation, error) {
	if !prepaid.Limited(w) {
		return prepaid.Unlimited{}, nil
	}
	q := &tokenRequest{id: id, workspace: w, tokens: tokens, rank: rank}
	reservation, refusal := b.reserveNearby(ctx, q, b.Now().Add(maxWait))
	if refusal == nil {
		return reservation, nil
	}
	reservation = b.searchHeld(ctx, q)
	if reservation != nil {
		return reservation, nil
	}
	return nil, refusal
}

// reserveNearby reserves tokens at this gateway if its own demand is heavy, at a
// home in this data centre, or takes them from the platform if none responds.
func (b *Budgets) reserveNearby(ctx context.Context, q *tokenRequest, end time.Time) (prepaid.Reservation, error) {
	var tried []string
	refusal := errNoResponse
	if b.demand.Record(q.workspace.Name, b.Now()) {
		reservation, err := b.reserveLocally(ctx, q, max(end.Sub(b.Now()), 0)/firstWaitDivisor)
		if err == nil || !nextMayHelp(err) {
			return reservation, err
		}
		tried, refusal = append(tried, b.Homes.Self().Name), err
	}
	for len(tried) < maxHomesTried {
		call := b.Homes.Pick(q.workspace.Name, b.Homes.Self().DataCentre, tried, b.Now())
		if call == nil {
			break
		}
		tried = append(tried, call.Gateway().Name)
		maxWait := max(end.Sub(b.Now()), 0)
		if len(tried) < maxHomesTried {
			maxWait /= firstWaitDivisor
		}
		reservation, err := b.reserveAt(ctx, call, q, maxWait)
		if err == nil {
			return reservation, nil
		}
		refusal = preferred(refusal, err)
		if ctx.Err() != nil || !nextMayHelp(err) {
			break
		}
	}
	if errors.Is(refusal, errNoResponse) {
		b.Metrics.recordResult(resultFallback)
		return b.reserveLocally(ctx, q, max(end.Sub(b.Now()), 0))
	}
	return nil, refusal
}

// reserveLocally reserves tokens that this gateway takes from the platform itself.
func (b *Budgets) reserveLocally(ctx context.Context, q *tokenRequest, maxWait time.Duration) (prepaid.Reservation, error) {
	return b.Local.Reserve(ctx, q.id, q.workspace, q.tokens, q.rank, maxWait)
}

// preferred returns the newer of two refusals, unless it only says that there was
// no response.
func preferred(before, err error) error {
	if errors.Is(err, errNoResponse) {
		return before
	}
	return err
}

// nextMayHelp reports whether the next gateway in the ranking may have, or be able
// to take, tokens that the one that refused can't.
func nextMayHelp(err error) bool {
	return errors.Is(err, errNoResponse) || errors.Is(err, prepaid.ErrPlatformDown)
}

// reserveAt reserves tokens at the picked gateway of this data centre.
func (b *Budgets) reserveAt(ctx context.Context, call *home.Call, q *tokenRequest, maxWait time.Duration) (prepaid.Reservation, error) {
	if call.Gateway().Name == b.Homes.Self().Name {
		call.Succeeded()
		return b.reserveLocally(ctx, q, maxWait)
	}
	// Tokens that were taken while this gateway was the home are used up first.
	reservation, held := b.Local.ReserveHeld(q.workspace, q.tokens, q.rank)
	if held {
		call.Release()
		return reservation, nil
	}
	return b.reserveRemotely(ctx, call, q, maxWait, false)
}

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

// searchHeld reserves tokens that homes of this or of other data centres hold. It
// returns nil if it finds none.
func (b *Budgets) searchHeld(ctx context.Context, q *tokenRequest) prepaid.Reservation {
	if ctx.Err() != nil || !b.maySearch(q.workspace.Name) {
		return nil
	}
	self := b.Homes.Self()
	for _, dataCentre := range append([]string{self.DataCentre}, b.someOtherDataCentres()...) {
		call := b.Homes.Pick(q.workspace.Name, dataCentre, []string{self.Name}, b.Now())
		if call == nil {
			continue
		}
		reservation, err := b.reserveRemotely(ctx, call, q, 0, true)
		if err == nil {
			b.Metrics.recordResult(resultElsewhere)
			return reservation
		}
	}
	b.pauseSearch(q.workspace.Name)
	return nil
}

// someOtherDataCentres returns up to maxDataCentresSearched data centres, in random
// order.
func (b *Budgets) someOtherDataCentres() []string {
	dataCentres := b.Homes.OtherDataCentres()
	rand.Shuffle(len(dataCentres), func(i, j int) { dataCentres[i], dataCentres[j] = dataCentres[j], dataCentres[i] })
	return dataCentres[:min(maxDataCentresSearched, len(dataCentres))]
}

func (b *Budgets) maySearch(workspace string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.Now().Before(b.searchAfter[workspace])
}

func (b *Budgets) pauseSearch(workspace string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.searchAfter[workspace] = b.Now().Add(searchPause)
}

// decodeRefusal returns the error of a response that reserves nothing.
func decodeRefusal(resp *pb.ReserveTokensResponse) error {
	retryAfter := time.Duration(resp.RetryAfterMs) * time.Millisecond
	switch resp.Result {
	case pb.ReserveResult_RESERVE_RESULT_INSUFFICIENT:
		return errkind.New(errkind.BudgetUnreachable, "the prepaid balance doesn't cover this request now").WithRetryAfter(retryAfter)
	case pb.ReserveResult_RESERVE_RESULT_EXHAUSTED:
		return errkind.New(errkind.BudgetExhausted, "the prepaid balance doesn't cover this request")
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
