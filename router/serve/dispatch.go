package serve

import (
	"cmp"
	"context"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/route"
	"cuminrock.example/router/target"
)

// dispatched is a call that a target accepted or answered.
type dispatched[T any] struct {
	answer T
	// lease is still held.
	lease route.Lease
	// took is the time from dispatch to the answer or its header.
	took time.Duration
}

// dispatch sends an idempotent request to one target after another until one
// takes it or nothing more may be tried. The run state of the error covers all
// attempts.
func dispatch[T any](ctx context.Context, s *Server, r *Request, send func(target.Call) (T, error)) (dispatched[T], error) {
	var tried []string
	var last error
	sent := false
	for attempt := 1; ; attempt++ {
		lease, err := s.pick(r, tried)
		if err != nil {
			return dispatched[T]{}, soften(cmp.Or(last, err), sent)
		}
		t := lease.Target()
		s.record(r, pb.EventKind_EVENT_KIND_DISPATCHED, t.Name, 0, "")
		start := s.Now()
		call := s.call(r, t)
		call.Fresh = attempt > 1
		answer, err := send(call)
		if err == nil {
			return dispatched[T]{answer: answer, lease: lease, took: s.Now().Sub(start)}, nil
		}
		lease.Done(s.outcome(err, start))
		sent = sent || target.RunState(err) != pb.RunState_RUN_STATE_NOT_RUN
		if !s.mayRetry(r, err, attempt) {
			return dispatched[T]{}, soften(err, sent)
		}
		last = err
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
