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

// attempt is one attempt in progress.
type attempt struct {
	runner  *Runner
	req     Request
	outcome chan action.Outcome

	// polls is the number of reads of a row that another attempt has claimed.
	polls int

	mu      sync.Mutex
	machine *action.Machine
}

// wait returns the outcome. If ctx ends first, it cancels the attempt and returns
// what is known by then.
func (a *attempt) wait(ctx context.Context) (Outcome, error) {
	stop := context.AfterFunc(ctx, func() { a.step((*action.Machine).Cancel) })
	defer stop()
	o := <-a.outcome
	if o.State == pb.RunState_RUN_STATE_RAN {
		return Outcome{State: o.State, Response: toTargetResponse(o.Response), Replayed: o.Replayed}, nil
	}
	err := o.Err
	if err.Kind == errkind.PlatformDown {
		err = err.WithRetryAfter(a.runner.opts.RetryInterval)
	}
	return Outcome{State: o.State}, err
}

// step passes one input to the machine and delivers the outcome, if any, to the
// caller.
func (a *attempt) step(input func(*action.Machine) action.Step) action.Step {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := input(a.machine)
	if s.Outcome != nil {
		a.outcome <- *s.Outcome
	}
	return s
}

// drive executes the machine's steps until it finishes or the runner ends.
func (a *attempt) drive() {
	ctx := a.runner.ctx
	s := a.step((*action.Machine).Start)
	for s.Effect != action.Finished {
		if !wait.For(ctx, a.delay(s.Pause)) {
			a.abort()
			return
		}
		s = a.execute(ctx, s)
	}
}

// maxPollDoublings bounds the growth of the delay between two reads.
const maxPollDoublings = 4

// delay returns how long to wait before a step. The delay between polls grows,
// so that callers waiting for a lost router put little load on the platform.
func (a *attempt) delay(p action.Pause) time.Duration {
	switch p {
	case action.PollPause:
		d := a.runner.opts.PollInterval << min(a.polls, maxPollDoublings)
		a.polls++
		return d
	case action.RetryPause:
		return a.runner.opts.RetryInterval
	default:
		return 0
	}
}

// abort reports an outcome to a caller that still waits when the runner ends.
func (a *attempt) abort() {
	a.step((*action.Machine).Cancel)
	a.runner.opts.Log.Warn("actions: an attempt was aborted by the shutdown time limit", zap.String("key", a.req.Key))
}

// execute performs one effect and returns the next step.
func (a *attempt) execute(ctx context.Context, s action.Step) action.Step {
	key := action.RowKey(a.req.Workspace, a.req.Key)
	switch s.Effect {
	case action.Commit:
		result := a.runner.commit(ctx, key, s)
		a.recordEvent(s, result)
		return a.step(func(m *action.Machine) action.Step { return m.OnCommit(result) })
	case action.Read:
		row, err := a.runner.read(ctx, key)
		return a.step(func(m *action.Machine) action.Step { return m.OnRead(action.ReadResult{OK: err == nil, Row: row}) })
	default:
		result := a.send(ctx)
		return a.step(func(m *action.Machine) action.Step { return m.OnSend(result) })
	}
}

// send sends the action and waits for its response, even if the caller has
// disconnected.
func (a *attempt) send(ctx context.Context) action.SendResult {
	ctx, cancel := context.WithTimeout(ctx, a.runner.opts.ResponseTimeout)
	defer cancel()
	resp, err := a.req.Send(ctx)
	if err != nil {
		return action.SendResult{Err: sendError(err)}
	}
	return action.SendResult{Response: toActionResponse(resp)}
}

// sendError returns the error of a send with a kind whose run state is correct:
// an error without a kind, or with a kind that claims that the action ran, leaves
// the outcome unknown.
func sendError(err error) *errkind.Error {
	var e *errkind.Error
	if !errors.As(err, &e) || e.Kind.Properties().RunState == pb.RunState_RUN_STATE_RAN {
		return errkind.Wrap(errkind.OutcomeUnknown, err, "the outcome of the action is unknown")
	}
	return e
}

// recordEvent records the timeline event of a commit that was applied.
func (a *attempt) recordEvent(s action.Step, result action.CommitResult) {
	if result.Outcome != action.CommitApplied {
		return
	}
	kind, ok := eventKinds[s.Write.State]
	if !ok || a.runner.opts.Recorder == nil {
		return
	}
	a.runner.opts.Recorder.Record(&pb.Event{Kind: kind, RequestId: a.req.Key, Workspace: a.req.Workspace, Detail: s.Write.Nonce})
}

var eventKinds = map[pb.ActionState]pb.EventKind{
	pb.ActionState_ACTION_STATE_CLAIMED: pb.EventKind_EVENT_KIND_ACTION_CLAIMED,
	pb.ActionState_ACTION_STATE_DONE:    pb.EventKind_EVENT_KIND_ACTION_DONE,
	pb.ActionState_ACTION_STATE_VOID:    pb.EventKind_EVENT_KIND_ACTION_VOIDED,
}

func toActionResponse(resp *target.Response) *action.Response {
	return &action.Response{Status: uint32(resp.Status), ContentType: resp.ContentType, Body: resp.Body}
}

func toTargetResponse(resp *action.Response) *target.Response {
	return &target.Response{Status: int(resp.Status), ContentType: resp.ContentType, Body: resp.Body}
}
