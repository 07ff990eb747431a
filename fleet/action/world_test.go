package action

import (
	"fmt"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// attempt is a machine with the step that it waits for.
type attempt struct {
	Attempt
	machine *Machine
	step    Step
	// sends counts Send effects, runs counts executions at the target.
	sends int
	runs  int
	told  *Outcome
	dead  bool
}

// lateWrite is a commit whose answer was lost before it took effect.
type lateWrite struct {
	condition uint64
	value     *pb.ActionRow
}

// world is one action's row, its target and the attempts at it.
type world struct {
	t        *rapid.T
	row      Row
	old      []Row
	late     []lateWrite
	attempts []*attempt
	runs     int
}

func (w *world) fail(format string, args ...any) { w.t.Fatalf(format, args...) }

// apply commits a write if its condition holds.
func (w *world) apply(condition uint64, value *pb.ActionRow) bool {
	if w.row.Version != condition {
		return false
	}
	w.old = append(w.old, w.row)
	w.row = Row{Version: w.row.Version + 1, Value: proto.CloneOf(value)}
	if value.State == pb.ActionState_ACTION_STATE_VOID && w.runs > 0 {
		w.fail("the row is void after %d runs", w.runs)
	}
	return true
}

func (w *world) start(digest string, repeat bool) {
	a := &attempt{Attempt: Attempt{
		Workspace:      "w",
		IdempotencyKey: "k",
		RequestSHA256:  []byte(digest),
		Claimant:       "router",
		Nonce:          fmt.Sprint("nonce-", len(w.attempts)),
		Repeat:         repeat,
	}}
	a.machine = New(a.Attempt)
	w.attempts = append(w.attempts, a)
	w.take(a, a.machine.Start())
}

// take notes a step of an attempt.
func (w *world) take(a *attempt, s Step) {
	if s.Effect != Idle {
		a.step = s
	}
	if s.Outcome == nil {
		return
	}
	if a.told != nil {
		w.fail("an attempt told two outcomes")
	}
	a.told = s.Outcome
	notRun := a.told.State == pb.RunState_RUN_STATE_NOT_RUN
	if a.Repeat && notRun && w.runs > 0 && a.told.Err.Kind != errkind.KeyReused {
		w.fail("a repeat was told not_run although the action ran")
	}
	if a.told.State == pb.RunState_RUN_STATE_RAN && string(a.told.Response.Body) != "answer" {
		w.fail("told another answer")
	}
	if a.told.State == pb.RunState_RUN_STATE_RAN && w.runs != 1 {
		w.fail("told ran after %d runs", w.runs)
	}
}

func (w *world) alive() []*attempt {
	var alive []*attempt
	for _, a := range w.attempts {
		if !a.dead && a.step.Effect != Finished {
			alive = append(alive, a)
		}
	}
	return alive
}

// fault is how one call to the platform or the target goes.
type fault int

const (
	good fault = iota
	answerLost
	lateLanding
	down
	stale
	faults
)

// advance carries out the pending effect of an attempt.
func (w *world) advance(a *attempt, f fault) {
	switch a.step.Effect {
	case Commit:
		w.take(a, a.machine.OnCommit(w.commit(a.step, f)))
	case Read:
		w.take(a, a.machine.OnRead(w.read(f)))
	case Send:
		w.take(a, a.machine.OnSend(w.send(a, f)))
	}
}

func (w *world) commit(s Step, f fault) CommitResult {
	switch f {
	case down:
		return CommitResult{Outcome: CommitUnavailable}
	case lateLanding:
		w.late = append(w.late, lateWrite{s.Condition, s.Write})
		return CommitResult{Outcome: CommitUnknown}
	}
	done := w.apply(s.Condition, s.Write)
	if f == answerLost {
		return CommitResult{Outcome: CommitUnknown}
	}
	if done {
		return CommitResult{Outcome: CommitApplied, Row: w.row}
	}
	return CommitResult{Outcome: CommitConflict, Row: w.row}
}

func (w *world) read(f fault) ReadResult {
	switch f {
	case down, answerLost:
		return ReadResult{}
	case stale:
		if len(w.old) > 0 {
			return ReadResult{OK: true, Row: w.old[len(w.old)-1]}
		}
	}
	return ReadResult{OK: true, Row: w.row}
}

func (w *world) send(a *attempt, f fault) SendResult {
	a.sends++
	switch f {
	case down:
		return SendResult{Err: errkind.New(errkind.TargetUnreachable, "down")}
	case lateLanding:
		return SendResult{Err: errkind.New(errkind.TargetFailed, "broke before it ran")}
	}
	w.runs++
	a.runs++
	if f == answerLost {
		return SendResult{Err: errkind.New(errkind.TargetSilent, "silent")}
	}
	return SendResult{Response: &Response{Status: 200, ContentType: "text/plain", Body: []byte("answer")}}
}

// check asserts the invariants of every moment.
func (w *world) check() {
	if w.runs > 1 {
		w.fail("the action ran %d times", w.runs)
	}
	for _, a := range w.attempts {
		if a.sends > 1 {
			w.fail("an attempt sent %d times", a.sends)
		}
		if a.told != nil && a.told.State == pb.RunState_RUN_STATE_NOT_RUN && a.runs > 0 {
			w.fail("told not_run and ran")
		}
	}
}
