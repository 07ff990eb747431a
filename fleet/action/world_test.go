package action

import (
	"fmt"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// attempt is a Machine with its pending step.
type attempt struct {
	Attempt
	machine *Machine
	step    Step
	// sends counts the Send effects, and runs the executions at the target.
	sends   int
	runs    int
	outcome *Outcome
	crashed bool
}

// lateWrite is a commit whose response was lost before it took effect.
type lateWrite struct {
	condition uint64
	value     *pb.ActionRow
}

// world simulates the row of one action, its target and its attempts.
type world struct {
	t          *rapid.T
	row        Row
	history    []Row
	lateWrites []lateWrite
	attempts   []*attempt
	runs       int
}

func (w *world) fail(format string, args ...any) { w.t.Fatalf(format, args...) }

// apply commits a write if its condition holds.
func (w *world) apply(condition uint64, value *pb.ActionRow) bool {
	if w.row.Version != condition {
		return false
	}
	w.history = append(w.history, w.row)
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
	w.recordStep(a, a.machine.Start())
}

// recordStep records the next step of an attempt and checks a reported outcome.
func (w *world) recordStep(a *attempt, s Step) {
	if s.Effect != Idle {
		a.step = s
	}
	if s.Outcome == nil {
		return
	}
	if a.outcome != nil {
		w.fail("an attempt reported two outcomes")
	}
	a.outcome = s.Outcome
	notRun := a.outcome.State == pb.RunState_RUN_STATE_NOT_RUN
	if a.Repeat && notRun && w.runs > 0 && a.outcome.Err.Kind != errkind.KeyReused {
		w.fail("a repeat reported not_run although the action ran")
	}
	if a.outcome.State == pb.RunState_RUN_STATE_RAN && string(a.outcome.Response.Body) != "answer" {
		w.fail("reported a wrong response")
	}
	if a.outcome.State == pb.RunState_RUN_STATE_RAN && w.runs != 1 {
		w.fail("reported ran after %d runs", w.runs)
	}
}

func (w *world) active() []*attempt {
	var active []*attempt
	for _, a := range w.attempts {
		if !a.crashed && a.step.Effect != Finished {
			active = append(active, a)
		}
	}
	return active
}

// fault is the failure injected into one call to the platform or the target.
type fault int

const (
	noFault fault = iota
	responseLost
	appliedLate
	unavailable
	staleRead
	faultCount
)

// advance executes the pending effect of an attempt.
func (w *world) advance(a *attempt, f fault) {
	switch a.step.Effect {
	case Commit:
		w.recordStep(a, a.machine.OnCommit(w.commit(a.step, f)))
	case Read:
		w.recordStep(a, a.machine.OnRead(w.read(f)))
	case Send:
		w.recordStep(a, a.machine.OnSend(w.send(a, f)))
	}
}

func (w *world) commit(s Step, f fault) CommitResult {
	switch f {
	case unavailable:
		return CommitResult{Outcome: CommitUnavailable}
	case appliedLate:
		w.lateWrites = append(w.lateWrites, lateWrite{s.Condition, s.Write})
		return CommitResult{Outcome: CommitUnknown}
	}
	applied := w.apply(s.Condition, s.Write)
	if f == responseLost {
		return CommitResult{Outcome: CommitUnknown}
	}
	if applied {
		return CommitResult{Outcome: CommitApplied, Row: w.row}
	}
	return CommitResult{Outcome: CommitConflict, Row: w.row}
}

func (w *world) read(f fault) ReadResult {
	switch f {
	case unavailable, responseLost:
		return ReadResult{}
	case staleRead:
		if len(w.history) > 0 {
			return ReadResult{OK: true, Row: w.history[len(w.history)-1]}
		}
	}
	return ReadResult{OK: true, Row: w.row}
}

func (w *world) send(a *attempt, f fault) SendResult {
	a.sends++
	switch f {
	case unavailable:
		return SendResult{Err: errkind.New(errkind.TargetUnreachable, "down")}
	case appliedLate:
		return SendResult{Err: errkind.New(errkind.TargetFailed, "failed before it ran")}
	}
	w.runs++
	a.runs++
	if f == responseLost {
		return SendResult{Err: errkind.New(errkind.TargetSilent, "silent")}
	}
	return SendResult{Response: &Response{Status: 200, ContentType: "text/plain", Body: []byte("answer")}}
}

// check asserts the invariants, which hold at every moment.
func (w *world) check() {
	if w.runs > 1 {
		w.fail("the action ran %d times", w.runs)
	}
	for _, a := range w.attempts {
		if a.sends > 1 {
			w.fail("an attempt sent %d times", a.sends)
		}
		if a.outcome != nil && a.outcome.State == pb.RunState_RUN_STATE_NOT_RUN && a.runs > 0 {
			w.fail("reported not_run and ran")
		}
	}
}
