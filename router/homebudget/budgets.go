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
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/catalog"
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
