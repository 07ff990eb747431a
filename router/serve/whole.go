package serve

import (
	"context"

	"github.com/cespare/xxhash/v2"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/actions"
	"cuminrock.example/router/ledger"
	"cuminrock.example/router/target"
)

// prefixBytes is how much of a prompt decides which engine may have it cached.
const prefixBytes = 256

// Answer is a whole answer for the caller.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Billed is the tokens billed for the request.
	Billed int64
	// Replayed is true for the recorded answer of an earlier run.
	Replayed bool
}

// Whole serves a request that is answered in one piece. The error is an
// *errkind.Error.
func (s *Server) Whole(ctx context.Context, r *Request) (*Answer, error) {
	s.active.Add(1)
	defer s.active.Done()
	s.Retries.Request()
	if r.Call.Kind == pb.CallKind_CALL_KIND_ACTION {
		return s.action(ctx, r)
	}
	res, err := s.reserve(ctx, r)
	if err != nil {
		return nil, err
	}
	answer, err := s.dispatch(ctx, r)
	if err != nil {
		endReservation(res, target.RunState(err))
		return nil, err
	}
	return s.settle(r, res, answer)
}

// settle bills a whole answer.
func (s *Server) settle(r *Request, res *ledger.Reservation, a *target.Answer) (*Answer, error) {
	tokens := r.Call.CostTokens
	if r.Call.Kind == pb.CallKind_CALL_KIND_MODEL {
		tokens = total(a.Usage)
	}
	err := res.Settle(tokens)
	if err != nil {
		s.Log.Error("serve: the bill differs from its reservation.", errField(err))
	}
	s.record(r, pb.EventKind_EVENT_KIND_ANSWERED, "", tokens, "")
	return &Answer{Status: a.Status, ContentType: a.ContentType, Body: a.Body, Billed: tokens}, nil
}

// dispatch sends an idempotent request until a target answers it whole or
// nothing more may be tried. The run state of the error covers all attempts.
func (s *Server) dispatch(ctx context.Context, r *Request) (*target.Answer, error) {
	var tried []string
	sent := false
	for attempt := 1; ; attempt++ {
		lease, err := s.pick(r, tried)
		if err != nil {
			return nil, soften(err, sent)
		}
		t := lease.Target()
		s.record(r, pb.EventKind_EVENT_KIND_DISPATCHED, t.Name, 0, "")
		start := s.Now()
		answer, err := s.Targets.Do(ctx, s.call(r, t))
		lease.Done(s.outcome(err, start))
		if err == nil {
			return answer, nil
		}
		sent = sent || target.RunState(err) != pb.RunState_RUN_STATE_NOT_RUN
		if !s.mayRetry(r, err, attempt) {
			return nil, soften(err, sent)
		}
		tried = append(tried, t.Name)
		s.pause(ctx, attempt)
	}
}

// soften keeps a refusal from claiming "not run" when an earlier attempt of
// the same request may have run.
func soften(err error, sent bool) error {
	if !sent || target.RunState(err) != pb.RunState_RUN_STATE_NOT_RUN {
		return err
	}
	return errkind.Wrap(errkind.TargetFailed, err, "an earlier attempt may have run")
}

// action serves a call that runs at most once.
func (s *Server) action(ctx context.Context, r *Request) (*Answer, error) {
	if !r.KeyGiven {
		return nil, errkind.New(errkind.KeyRequired, "an action needs an Idempotency-Key")
	}
	res, err := s.reserve(ctx, r)
	if err != nil {
		return nil, err
	}
	outcome, err := s.Actions.Run(ctx, actions.Request{
		Workspace: r.Workspace.Name,
		Key:       r.Key,
		Digest:    requestDigest(r),
		Send: func(ctx context.Context) (*target.Answer, error) {
			return s.sendAction(ctx, r)
		},
	})
	if err != nil {
		endReservation(res, target.RunState(err))
		return nil, err
	}
	if outcome.Replayed {
		res.Release()
		return replayed(outcome.Answer), nil
	}
	return s.settle(r, res, outcome.Answer)
}

// sendAction dispatches an action to one target, once.
func (s *Server) sendAction(ctx context.Context, r *Request) (*target.Answer, error) {
	lease, err := s.pick(r, nil)
	if err != nil {
		return nil, err
	}
	t := lease.Target()
	s.record(r, pb.EventKind_EVENT_KIND_DISPATCHED, t.Name, 0, "")
	start := s.Now()
	answer, err := s.Targets.Action(ctx, s.call(r, t))
	lease.Done(s.outcome(err, start))
	return answer, err
}

// total is what a usage is billed as.
func total(u target.Usage) int64 { return u.PromptTokens + u.CompletionTokens }

func replayed(a *target.Answer) *Answer {
	return &Answer{Status: a.Status, ContentType: a.ContentType, Body: a.Body, Replayed: true}
}

// prefixHash names the start of the prompt; 0 for calls without one.
func prefixHash(r *Request) uint64 {
	if r.Call.Kind != pb.CallKind_CALL_KIND_MODEL {
		return 0
	}
	return xxhash.Sum64(r.Body[:min(len(r.Body), prefixBytes)])
}
