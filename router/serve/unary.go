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

// prefixBytes is the length of the body's start that is hashed to find an engine
// with the prompt in its cache.
const prefixBytes = 256

// replicationTimeout bounds the wait until another router has a copy of a bill.
const replicationTimeout = 50 * time.Millisecond

// Response is a unary response to the caller.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// BilledTokens is the number of tokens billed for the request.
	BilledTokens int64
	// Replayed is true for the recorded response of an earlier run.
	Replayed bool
}

// ServeUnary serves a request that has a single response, not a stream. The
// error is an *errkind.Error.
func (s *Server) ServeUnary(ctx context.Context, r *Request) (*Response, error) {
	s.active.Add(1)
	defer s.active.Done()
	if r.Call.Kind == pb.CallKind_CALL_KIND_ACTION {
		return s.runAction(ctx, r)
	}
	if !r.KeyGiven {
		return s.runIdempotent(ctx, r)
	}
	shared, first, err := s.group.join(r)
	if err != nil {
		return nil, err
	}
	if !first {
		return shared.wait(ctx)
	}
	resp, err := s.runIdempotent(ctx, r)
	s.group.complete(r.ID, shared, resp, err)
	return resp, err
}

// runIdempotent runs an idempotent request. It isn't cancelled when the caller
// disconnects, so that the request is billed by its usage and not by the
// reserved bound.
func (s *Server) runIdempotent(ctx context.Context, r *Request) (*Response, error) {
	res, err := s.reserve(ctx, r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(detach(ctx), r.Deadline)
	defer cancel()
	resp, err := s.Dispatch.Do(ctx, s.dispatchRequest(r))
	if err != nil {
		endFailedReservation(res, target.RunState(err))
		return nil, err
	}
	return s.settle(r, res, resp), nil
}

// settle bills a unary response.
func (s *Server) settle(r *Request, res *ledger.Reservation, resp *target.Response) *Response {
	tokens := r.Call.CostTokens
	if r.Call.Kind == pb.CallKind_CALL_KIND_MODEL {
		tokens = totalTokens(resp.Usage)
	}
	s.bill(r, res, "", tokens)
	return newResponse(resp, tokens)
}

// bill settles a reservation with the tokens used. It returns once another
// router has a copy of the bill or after replicationTimeout, so that a response
// that the caller received completely is billed even if this router crashes.
func (s *Server) bill(r *Request, res *ledger.Reservation, targetName string, tokens int64) {
	ctx, cancel := context.WithTimeout(context.Background(), replicationTimeout)
	defer cancel()
	err := res.SettleReplicated(ctx, tokens)
	if err != nil {
		s.Log.Error("serve: usage is invalid or exceeds the reservation", zap.String("request", r.ID), zap.Error(err))
	}
	s.record(r, pb.EventKind_EVENT_KIND_ANSWERED, targetName, tokens, "")
}

// runAction serves an action, which runs at most once.
func (s *Server) runAction(ctx context.Context, r *Request) (*Response, error) {
	if !r.KeyGiven {
		return nil, errkind.New(errkind.KeyRequired, "an action requires an Idempotency-Key")
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
		return nil, s.correctRunState(ctx, r, err)
	}
	if outcome.Replayed {
		return replayedResponse(outcome.Response), nil
	}
	return newResponse(outcome.Response, r.Call.CostTokens), nil
}

// sendAction reserves and dispatches an action. It is called after the action's
// claim is written, and may continue after the caller disconnected. The tokens
// are reserved here and not in runAction, since a repeat of an action that has
// run needs no reservation.
func (s *Server) sendAction(ctx context.Context, r *Request) (*target.Response, error) {
	res, err := s.reserve(ctx, r)
	if err != nil {
		return nil, err
	}
	s.sent.add(r.ID)
	resp, err := s.Dispatch.Action(ctx, s.dispatchRequest(r))
	if err != nil {
		s.forgetIfNotRun(r, err)
		endFailedReservation(res, target.RunState(err))
		return nil, err
	}
	s.bill(r, res, "", r.Call.CostTokens)
	return resp, nil
}

// forgetIfNotRun removes an action that failed without having run from the sent
// actions.
func (s *Server) forgetIfNotRun(r *Request, err error) {
	if target.RunState(err) == pb.RunState_RUN_STATE_NOT_RUN {
		s.sent.remove(r.ID)
	}
}

// totalTokens returns the tokens that a usage is billed as.
func totalTokens(u target.Usage) int64 { return u.PromptTokens + u.CompletionTokens }

// newResponse returns a target's response with its billed tokens.
func newResponse(resp *target.Response, tokens int64) *Response {
	return &Response{Status: resp.Status, ContentType: resp.ContentType, Body: resp.Body, BilledTokens: tokens}
}

// replayedResponse returns the recorded response of an earlier run.
func replayedResponse(resp *target.Response) *Response {
	return &Response{Status: resp.Status, ContentType: resp.ContentType, Body: resp.Body, Replayed: true}
}

// prefixHash returns the hash of the start of a model call's body; 0 for other
// calls.
func prefixHash(r *Request) uint64 {
	if r.Call.Kind != pb.CallKind_CALL_KIND_MODEL {
		return 0
	}
	return xxhash.Sum64(r.Body[:min(len(r.Body), prefixBytes)])
}
