package actionrunner

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/action"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/target"
	"cuminrock.example/router/wait"
)

// run is one attempt in progress.
type run struct {
	actions *Runner
	req     Request
	told    chan action.Outcome

	// polls counts the reads of a row that another attempt has claimed.
	polls int

	mu      sync.Mutex
	machine *action.Machine
}

// wait returns the outcome, or what is known of it when ctx ends.
func (r *run) wait(ctx context.Context) (Outcome, error) {
	stop := context.AfterFunc(ctx, func() { r.step((*action.Machine).Cancel) })
	defer stop()
	o := <-r.told
	if o.State == pb.RunState_RUN_STATE_RAN {
		return Outcome{State: o.State, Response: fromAction(o.Response), Replayed: o.Replayed}, nil
	}
	err := o.Err
	if err.Kind == errkind.PlatformDown {
		err = err.WithRetryAfter(r.actions.opts.RetryInterval)
	}
	return Outcome{State: o.State}, err
}

// step feeds the machine one input and delivers what the caller is told.
func (r *run) step(input func(*action.Machine) action.Step) action.Step {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := input(r.machine)
	if s.Outcome != nil {
		r.told <- *s.Outcome
	}
	return s
}

// drive carries out the machine's steps until none is left or the router ends.
func (r *run) drive() {
	life := r.actions.life
	s := r.step((*action.Machine).Start)
	for s.Effect != action.Finished {
		if !wait.For(life, r.pause(s.Pause)) {
			r.abandon()
			return
		}
		s = r.carryOut(life, s)
	}
}

// maxPollDoublings bounds how far the wait between two reads grows.
const maxPollDoublings = 4

// pause returns how long to wait before a step. Polls become rarer, so that
// callers that wait for a lost router cost the platform little.
func (r *run) pause(p action.Pause) time.Duration {
	switch p {
	case action.PollPause:
		wait := r.actions.opts.PollInterval << min(r.polls, maxPollDoublings)
		r.polls++
		return wait
	case action.RetryPause:
		return r.actions.opts.RetryInterval
	default:
		return 0
	}
}

// abandon tells a caller that still waits when the router ends.
func (r *run) abandon() {
	r.step((*action.Machine).Cancel)
	r.actions.opts.Log.Warn("actions: an attempt was cut by the stop limit", zap.String("key", r.req.Key))
}

// carryOut does one effect and returns the next step.
func (r *run) carryOut(ctx context.Context, s action.Step) action.Step {
	key := action.RowKey(r.req.Workspace, r.req.Key)
	switch s.Effect {
	case action.Commit:
		result := r.actions.commit(ctx, key, s)
		r.note(s, result)
		return r.step(func(m *action.Machine) action.Step { return m.OnCommit(result) })
	case action.Read:
		row, err := r.actions.read(ctx, key)
		return r.step(func(m *action.Machine) action.Step { return m.OnRead(action.ReadResult{OK: err == nil, Row: row}) })
	default:
		result := r.send(ctx)
		return r.step(func(m *action.Machine) action.Step { return m.OnSend(result) })
	}
}

// send sends the action and waits for its answer, also when the caller is gone.
func (r *run) send(ctx context.Context) action.SendResult {
	ctx, cancel := context.WithTimeout(ctx, r.actions.opts.ResponseTimeout)
	defer cancel()
	answer, err := r.req.Send(ctx)
	if err != nil {
		return action.SendResult{Err: sendError(err)}
	}
	return action.SendResult{Response: toAction(answer)}
}

// sendError returns the error of a send as a kind that is told truthfully: an
// error without a kind of its own leaves the outcome unknown.
func sendError(err error) *errkind.Error {
	var e *errkind.Error
	if !errors.As(err, &e) || e.Kind.Properties().RunState == pb.RunState_RUN_STATE_RAN {
		return errkind.Wrap(errkind.OutcomeUnknown, err, "the action's outcome is unknown")
	}
	return e
}

// note records the events of the time line.
func (r *run) note(s action.Step, result action.CommitResult) {
	if result.Outcome != action.CommitApplied {
		return
	}
	kind, ok := eventKinds[s.Write.State]
	if !ok || r.actions.opts.Recorder == nil {
		return
	}
	r.actions.opts.Recorder.Record(&pb.Event{Kind: kind, RequestId: r.req.Key, Workspace: r.req.Workspace, Detail: s.Write.Nonce})
}

var eventKinds = map[pb.ActionState]pb.EventKind{
	pb.ActionState_ACTION_STATE_CLAIMED: pb.EventKind_EVENT_KIND_ACTION_CLAIMED,
	pb.ActionState_ACTION_STATE_DONE:    pb.EventKind_EVENT_KIND_ACTION_DONE,
	pb.ActionState_ACTION_STATE_VOID:    pb.EventKind_EVENT_KIND_ACTION_VOIDED,
}

func toAction(a *target.Response) *action.Response {
	return &action.Response{Status: uint32(a.Status), ContentType: a.ContentType, Body: a.Body}
}

func fromAction(a *action.Response) *target.Response {
	return &target.Response{Status: int(a.Status), ContentType: a.ContentType, Body: a.Body}
}
