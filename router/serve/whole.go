package serve

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/actionrunner"
	"cuminrock.example/router/ledger"
	"cuminrock.example/router/target"
)

// prefixBytes is how much of a prompt decides which engine may have it cached.
const prefixBytes = 256

// copyTimeout bounds the wait for the copy of a bill.
const copyTimeout = 50 * time.Millisecond

// Response is a whole answer for the caller.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// BilledTokens is the tokens billed for the request.
	BilledTokens int64
	// Replayed is true for the recorded answer of an earlier run.
	Replayed bool
}

// ServeUnary serves a request that is answered in one piece. The error is an
// *errkind.Error.
func (s *Server) ServeUnary(ctx context.Context, r *Request) (*Response, error) {
	s.active.Add(1)
	defer s.active.Done()
	if r.Call.Kind == pb.CallKind_CALL_KIND_ACTION {
		return s.action(ctx, r)
	}
	if !r.KeyGiven {
		return s.once(ctx, r)
	}
	fl, first, err := s.flights.join(r)
	if err != nil {
		return nil, err
	}
	if !first {
		return fl.wait(ctx)
	}
	answer, err := s.once(ctx, r)
	s.flights.land(r.ID, fl, answer, err)
	return answer, err
}

// once runs an idempotent request. It isn't cut when the caller goes away: an
// answer that is on its way is billed by its usage, not by the bound.
func (s *Server) once(ctx context.Context, r *Request) (*Response, error) {
	res, err := s.reserve(ctx, r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(detach(ctx), r.Deadline)
	defer cancel()
	answer, err := s.Dispatch.Do(ctx, s.plan(r))
	if err != nil {
		endReservation(res, target.RunState(err))
		return nil, err
	}
	return s.settle(r, res, answer), nil
}

// settle bills a whole answer.
func (s *Server) settle(r *Request, res *ledger.Reservation, a *target.Response) *Response {
	tokens := r.Call.CostTokens
	if r.Call.Kind == pb.CallKind_CALL_KIND_MODEL {
		tokens = total(a.Usage)
	}
	s.bill(r, res, "", tokens)
	return billed(a, tokens)
}

// bill settles a reservation by its usage. It returns when another router has
// a copy of the bill, so that an answer that the caller has whole has its bill
// though this router dies.
func (s *Server) bill(r *Request, res *ledger.Reservation, targetName string, tokens int64) {
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	err := res.SettleReplicated(ctx, tokens)
	if err != nil {
		s.Log.Error("serve: the bill differs from its reservation.", zap.String("request", r.ID), zap.Error(err))
	}
	s.record(r, pb.EventKind_EVENT_KIND_ANSWERED, targetName, tokens, "")
}

// action serves a call that runs at most once.
func (s *Server) action(ctx context.Context, r *Request) (*Response, error) {
	if !r.KeyGiven {
		return nil, errkind.New(errkind.KeyRequired, "an action needs an Idempotency-Key")
	}
	outcome, err := s.Actions.Run(ctx, actionrunner.Request{
		Workspace: r.Workspace.Name,
		Key:       r.Key,
		Digest:    requestDigest(r),
		Repeat:    r.Repeat || s.sent.has(r.ID),
		Send: func(ctx context.Context) (*target.Response, error) {
			return s.sendAction(ctx, r)
		},
	})
	if err != nil {
		return nil, s.truthful(ctx, r, err)
	}
	if outcome.Replayed {
		return replayed(outcome.Response), nil
	}
	return billed(outcome.Response, r.Call.CostTokens), nil
}

// sendAction reserves and dispatches an action. It runs after the claim is
// written and may outlive the caller, so the reservation is its own: a repeat
// of an action that has run needs none.
func (s *Server) sendAction(ctx context.Context, r *Request) (*target.Response, error) {
	res, err := s.reserve(ctx, r)
	if err != nil {
		return nil, err
	}
	s.sent.add(r.ID)
	answer, err := s.Dispatch.Action(ctx, s.plan(r))
	if err != nil {
		s.forgetUnsent(r, err)
		endReservation(res, target.RunState(err))
		return nil, err
	}
	s.bill(r, res, "", r.Call.CostTokens)
	return answer, nil
}

// forgetUnsent forgets an action that failed without having run.
func (s *Server) forgetUnsent(r *Request, err error) {
	if target.RunState(err) == pb.RunState_RUN_STATE_NOT_RUN {
		s.sent.remove(r.ID)
	}
}

// total is what a usage is billed as.
func total(u target.Usage) int64 { return u.PromptTokens + u.CompletionTokens }

// billed is a target's answer for the caller, with its bill.
func billed(a *target.Response, tokens int64) *Response {
	return &Response{Status: a.Status, ContentType: a.ContentType, Body: a.Body, BilledTokens: tokens}
}

// replayed is the recorded answer of an earlier run.
func replayed(a *target.Response) *Response {
	return &Response{Status: a.Status, ContentType: a.ContentType, Body: a.Body, Replayed: true}
}

// prefixHash names the start of the prompt; 0 for calls without one.
func prefixHash(r *Request) uint64 {
	if r.Call.Kind != pb.CallKind_CALL_KIND_MODEL {
		return 0
	}
	return xxhash.Sum64(r.Body[:min(len(r.Body), prefixBytes)])
}
