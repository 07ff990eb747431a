package action

import (
	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// phase is what a machine waits for.
type phase uint8

const (
	claiming phase = iota
	polling
	sending
	recording
	finished
)

// claimTries bounds the commits of one claim whose outcome stays unknown.
const claimTries = 2

// reclaimTries bounds claims lost to other attempts.
const reclaimTries = 8

// Machine is one attempt. Its shell carries out each Step and brings the
// outcome back; there is one effect at a time.
type Machine struct {
	attempt Attempt
	phase   phase
	told    bool

	// condition is the version that the claim was conditional on.
	condition uint64
	// unknown counts commits of this claim without an outcome.
	unknown int
	// lost counts claims that another attempt won.
	lost int

	// final is the row that ends the attempt, and finalCondition the version
	// that it replaces.
	final          *pb.ActionRow
	finalCondition uint64
	// outcome is told when the first write of final has ended.
	outcome *Outcome
}

// New returns a machine for an attempt.
func New(attempt Attempt) *Machine { return &Machine{attempt: attempt} }

// Start begins the attempt by a claim of the absent row.
func (m *Machine) Start() Step { return m.claim(0) }

// claim asks for the row that has the given version.
func (m *Machine) claim(condition uint64) Step {
	m.phase = claiming
	m.condition = condition
	m.unknown = 0
	return m.claimAgain()
}

// claimAgain commits the same claim. That is safe after an unknown outcome:
// the nonce is the same, so a claim that landed before is found by the refusal.
func (m *Machine) claimAgain() Step {
	return Step{
		Effect:    Commit,
		Condition: m.condition,
		Write:     m.attempt.row(pb.ActionState_ACTION_STATE_CLAIMED),
	}
}

// OnCommit takes the outcome of a commit.
func (m *Machine) OnCommit(r CommitResult) Step {
	if m.phase == recording {
		return m.onRecorded(r)
	}
	switch r.Outcome {
	case CommitApplied:
		return m.claimed(r.Row.Version)
	case CommitConflict:
		return m.decide(r.Row)
	case CommitUnavailable:
		return m.platformDown()
	default:
		m.unknown++
		if m.unknown < claimTries && !m.told {
			return m.claimAgain()
		}
		return m.platformDown()
	}
}

// platformDown refuses the attempt. Nothing was sent. A claim whose outcome is
// unknown is voided after it.
func (m *Machine) platformDown() Step {
	err := errkind.New(errkind.PlatformDown, "the platform didn't take the claim; this attempt wasn't sent")
	if m.attempt.Repeat {
		err = errkind.New(errkind.OutcomeUnknown, "the platform can't tell the outcome of an earlier attempt; this one wasn't sent")
	}
	told := m.tell(failed(err))
	if m.unknown == 0 {
		return m.finish(told)
	}
	return m.void(m.condition, told, RetryPause)
}

// decide looks at the row that stood in the way of the claim.
func (m *Machine) decide(row Row) Step {
	v := row.Value
	switch {
	case v.GetNonce() == m.attempt.Nonce:
		return m.claimed(row.Version)
	case m.told:
		// The row moved on, so a late write of this claim fails.
		return m.finish(nil)
	case row.Version == 0:
		return m.lostClaim(0)
	case !m.attempt.sameRequest(v):
		return m.finish(m.tell(failed(errkind.New(errkind.KeyReused, "the Idempotency-Key came with another request before"))))
	case v.State == pb.ActionState_ACTION_STATE_DONE:
		return m.finish(m.tell(&Outcome{State: pb.RunState_RUN_STATE_RAN, Response: answerOf(v), Replayed: true}))
	case v.State == pb.ActionState_ACTION_STATE_VOID:
		return m.lostClaim(row.Version)
	case v.State == pb.ActionState_ACTION_STATE_UNKNOWN:
		return m.finish(m.tell(failed(errkind.New(errkind.OutcomeUnknown, "the action was sent and its answer was lost"))))
	default:
		m.phase = polling
		return Step{Effect: Read, Pause: PollPause}
	}
}

// lostClaim claims the row at the version it has now.
func (m *Machine) lostClaim(version uint64) Step {
	m.lost++
	if m.lost < reclaimTries {
		return m.claim(version)
	}
	return m.finish(m.tell(failed(errkind.New(errkind.InProgress, "other attempts of this action are in progress"))))
}

// OnRead takes the outcome of a read.
func (m *Machine) OnRead(r ReadResult) Step {
	if m.told {
		return m.finish(nil)
	}
	if !r.OK {
		return Step{Effect: Read, Pause: PollPause}
	}
	return m.decide(r.Row)
}

// claimed sends the action, unless the caller was told an outcome before.
func (m *Machine) claimed(version uint64) Step {
	m.finalCondition = version
	if m.told {
		return m.void(version, nil, NoPause)
	}
	m.phase = sending
	return Step{Effect: Send}
}

// OnSend takes the outcome of the send.
func (m *Machine) OnSend(r SendResult) Step {
	if r.Err == nil {
		row := m.attempt.row(pb.ActionState_ACTION_STATE_DONE)
		row.AnswerStatus = r.Response.Status
		row.AnswerContentType = r.Response.ContentType
		row.AnswerBody = r.Response.Body
		m.outcome = &Outcome{State: pb.RunState_RUN_STATE_RAN, Response: r.Response}
		return m.record(row, m.finalCondition, NoPause, nil)
	}
	m.outcome = failed(r.Err)
	if m.outcome.State == pb.RunState_RUN_STATE_NOT_RUN {
		return m.void(m.finalCondition, nil, NoPause)
	}
	return m.record(m.attempt.row(pb.ActionState_ACTION_STATE_UNKNOWN), m.finalCondition, NoPause, nil)
}

// void writes the row as not run, in place of the given version.
func (m *Machine) void(condition uint64, told *Outcome, pause Pause) Step {
	return m.record(m.attempt.row(pb.ActionState_ACTION_STATE_VOID), condition, pause, told)
}

// record writes the final row until its outcome is known.
func (m *Machine) record(row *pb.ActionRow, condition uint64, pause Pause, told *Outcome) Step {
	m.phase = recording
	m.final = row
	m.finalCondition = condition
	return Step{Effect: Commit, Condition: condition, Write: row, Pause: pause, Outcome: told}
}

// onRecorded takes the outcome of a write of the final row. The caller waits
// for the first such write only.
func (m *Machine) onRecorded(r CommitResult) Step {
	told := m.tell(m.outcome)
	switch r.Outcome {
	case CommitApplied:
		return m.finish(told)
	case CommitConflict:
		return m.recordOver(r.Row, told)
	default:
		return m.record(m.final, m.finalCondition, RetryPause, told)
	}
}

// recordOver replaces the attempt's own claim where it stands at another
// version than expected. Any other row ends the attempt: it is the final row,
// written before, or one that the attempt's late writes can't replace.
func (m *Machine) recordOver(row Row, told *Outcome) Step {
	own := row.Value.GetNonce() == m.attempt.Nonce
	if own && row.Value.State == pb.ActionState_ACTION_STATE_CLAIMED {
		return m.record(m.final, row.Version, NoPause, told)
	}
	return m.finish(told)
}

// Cancel tells the caller an outcome now, because its deadline passed or it
// went away. What is in progress runs on; the step's effect is Idle.
func (m *Machine) Cancel() Step {
	if m.told {
		return Step{}
	}
	switch m.phase {
	case claiming:
		return Step{Outcome: m.tell(failed(m.cancelled()))}
	case polling:
		return Step{Outcome: m.tell(failed(errkind.New(errkind.InProgress, "another attempt of this action is in progress")))}
	case recording:
		return Step{Outcome: m.tell(m.outcome)}
	default:
		return Step{Outcome: m.tell(failed(errkind.New(errkind.OutcomeUnknown, "the action was sent and isn't answered yet")))}
	}
}

// cancelled is the error of an attempt that ended before it was sent.
func (m *Machine) cancelled() *errkind.Error {
	if m.attempt.Repeat {
		return errkind.New(errkind.OutcomeUnknown, "the deadline passed before the outcome of an earlier attempt was read")
	}
	return errkind.New(errkind.DeadlinePassed, "the deadline passed before the action was sent")
}

// tell marks the caller as told. It returns nil when it was told before.
func (m *Machine) tell(o *Outcome) *Outcome {
	if m.told || o == nil {
		return nil
	}
	m.told = true
	return o
}

func (m *Machine) finish(told *Outcome) Step {
	m.phase = finished
	return Step{Effect: Finished, Outcome: told}
}
