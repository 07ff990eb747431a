package action

import (
	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// phase is the state of a Machine: what it waits for next.
type phase uint8

const (
	claiming phase = iota
	polling
	sending
	recording
	finished
)

// maxClaimCommits bounds the commits of one claim whose outcome is unknown.
const maxClaimCommits = 2

// maxLostClaims bounds the claims of an attempt that other attempts won.
const maxLostClaims = 8

// Machine is the state machine of one attempt. The caller executes each Step and
// passes its result back; there is at most one effect in progress.
type Machine struct {
	attempt  Attempt
	phase    phase
	reported bool

	// condition is the row version that the claim is conditional on.
	condition uint64
	// unknownCommits counts the commits of this claim with an unknown outcome.
	unknownCommits int
	// lostClaims counts the claims that another attempt won.
	lostClaims int

	// finalRow is the row that ends the attempt, and finalCondition the
	// version that it replaces.
	finalRow       *pb.ActionRow
	finalCondition uint64
	// outcome is reported when the first write of finalRow has ended.
	outcome *Outcome
}

// New returns a machine for an attempt.
func New(attempt Attempt) *Machine { return &Machine{attempt: attempt} }

// Start returns the first step, which claims the row on condition that it does
// not exist.
func (m *Machine) Start() Step { return m.claim(0) }

// claim claims the row on condition that it has the given version.
func (m *Machine) claim(condition uint64) Step {
	m.phase = claiming
	m.condition = condition
	m.unknownCommits = 0
	return m.commitClaim()
}

// commitClaim commits the current claim. Repeating it after an unknown outcome
// is safe: the nonce is the same, so if an earlier commit took effect, the
// conflict returns the row with this nonce.
func (m *Machine) commitClaim() Step {
	return Step{
		Effect:    Commit,
		Condition: m.condition,
		Write:     m.attempt.row(pb.ActionState_ACTION_STATE_CLAIMED),
	}
}

// OnCommit handles the result of a commit.
func (m *Machine) OnCommit(r CommitResult) Step {
	if m.phase == recording {
		return m.onRecorded(r)
	}
	switch r.Outcome {
	case CommitApplied:
		return m.onClaimed(r.Row.Version)
	case CommitConflict:
		return m.onExistingRow(r.Row)
	case CommitUnavailable:
		return m.platformDown()
	default:
		m.unknownCommits++
		if m.unknownCommits < maxClaimCommits && !m.reported {
			return m.commitClaim()
		}
		return m.platformDown()
	}
}

// platformDown fails the attempt, which has sent nothing. A claim whose outcome
// is unknown is voided afterwards.
func (m *Machine) platformDown() Step {
	err := errkind.New(errkind.PlatformDown, "the platform did not confirm the claim; this attempt was not sent")
	if m.attempt.Repeat {
		err = errkind.New(errkind.OutcomeUnknown, "the outcome of an earlier attempt could not be read from the platform; this attempt was not sent")
	}
	outcome := m.report(failedOutcome(err))
	if m.unknownCommits == 0 {
		return m.finish(outcome)
	}
	return m.void(m.condition, outcome, RetryPause)
}

// onExistingRow decides the next step from the row that the claim conflicts
// with.
func (m *Machine) onExistingRow(row Row) Step {
	value := row.Value
	switch {
	case value.GetNonce() == m.attempt.Nonce:
		return m.onClaimed(row.Version)
	case m.reported:
		// The row's version has changed, so a late write of this claim fails.
		return m.finish(nil)
	case row.Version == 0:
		return m.claimAgain(0)
	case !m.attempt.sameRequest(value):
		return m.finish(m.report(failedOutcome(errkind.New(errkind.KeyReused, "the Idempotency-Key was used for a different request before"))))
	case value.State == pb.ActionState_ACTION_STATE_DONE:
		return m.finish(m.report(&Outcome{State: pb.RunState_RUN_STATE_RAN, Response: recordedResponse(value), Replayed: true}))
	case value.State == pb.ActionState_ACTION_STATE_VOID:
		return m.claimAgain(row.Version)
	case value.State == pb.ActionState_ACTION_STATE_UNKNOWN:
		return m.finish(m.report(failedOutcome(errkind.New(errkind.OutcomeUnknown, "the action was sent, and its response was lost"))))
	default:
		m.phase = polling
		return Step{Effect: Read, Pause: PollPause}
	}
}

// claimAgain claims the row at its current version after the last claim was
// lost. After maxLostClaims lost claims it fails the attempt instead.
func (m *Machine) claimAgain(version uint64) Step {
	m.lostClaims++
	if m.lostClaims < maxLostClaims {
		return m.claim(version)
	}
	return m.finish(m.report(failedOutcome(errkind.New(errkind.InProgress, "other attempts of this action are in progress"))))
}

// OnRead handles the result of a read.
func (m *Machine) OnRead(r ReadResult) Step {
	if m.reported {
		return m.finish(nil)
	}
	if !r.OK {
		return Step{Effect: Read, Pause: PollPause}
	}
	return m.onExistingRow(r.Row)
}

// onClaimed sends the action, unless an outcome was already reported to the
// caller; then it voids the claim.
func (m *Machine) onClaimed(version uint64) Step {
	m.finalCondition = version
	if m.reported {
		return m.void(version, nil, NoPause)
	}
	m.phase = sending
	return Step{Effect: Send}
}

// OnSend handles the result of the send.
func (m *Machine) OnSend(r SendResult) Step {
	if r.Err == nil {
		row := m.attempt.row(pb.ActionState_ACTION_STATE_DONE)
		row.AnswerStatus = r.Response.Status
		row.AnswerContentType = r.Response.ContentType
		row.AnswerBody = r.Response.Body
		m.outcome = &Outcome{State: pb.RunState_RUN_STATE_RAN, Response: r.Response}
		return m.record(row, m.finalCondition, NoPause, nil)
	}
	m.outcome = failedOutcome(r.Err)
	if m.outcome.State == pb.RunState_RUN_STATE_NOT_RUN {
		return m.void(m.finalCondition, nil, NoPause)
	}
	return m.record(m.attempt.row(pb.ActionState_ACTION_STATE_UNKNOWN), m.finalCondition, NoPause, nil)
}

// void writes the row as void (not run), on condition of the given version.
func (m *Machine) void(condition uint64, outcome *Outcome, pause Pause) Step {
	return m.record(m.attempt.row(pb.ActionState_ACTION_STATE_VOID), condition, pause, outcome)
}

// record starts to write the final row, which is retried until the outcome of
// the write is known.
func (m *Machine) record(row *pb.ActionRow, condition uint64, pause Pause, outcome *Outcome) Step {
	m.phase = recording
	m.finalRow = row
	m.finalCondition = condition
	return Step{Effect: Commit, Condition: condition, Write: row, Pause: pause, Outcome: outcome}
}

// onRecorded handles the result of a write of the final row. The caller waits
// only for the first such write.
func (m *Machine) onRecorded(r CommitResult) Step {
	outcome := m.report(m.outcome)
	switch r.Outcome {
	case CommitApplied:
		return m.finish(outcome)
	case CommitConflict:
		return m.onFinalRowConflict(r.Row, outcome)
	default:
		return m.record(m.finalRow, m.finalCondition, RetryPause, outcome)
	}
}

// onFinalRowConflict replaces the attempt's own claim if it has another version
// than expected. Any other row ends the attempt: it is either the final row,
// written by an earlier commit, or one that late writes of this attempt cannot
// replace.
func (m *Machine) onFinalRowConflict(row Row, outcome *Outcome) Step {
	own := row.Value.GetNonce() == m.attempt.Nonce
	if own && row.Value.State == pb.ActionState_ACTION_STATE_CLAIMED {
		return m.record(m.finalRow, row.Version, NoPause, outcome)
	}
	return m.finish(outcome)
}

// Cancel reports an outcome to the caller at once, because its deadline passed
// or it disconnected. An effect in progress continues; the returned step's
// effect is Idle.
func (m *Machine) Cancel() Step {
	if m.reported {
		return Step{}
	}
	switch m.phase {
	case claiming:
		return Step{Outcome: m.report(failedOutcome(m.cancelledError()))}
	case polling:
		return Step{Outcome: m.report(failedOutcome(errkind.New(errkind.InProgress, "another attempt of this action is in progress")))}
	case recording:
		return Step{Outcome: m.report(m.outcome)}
	default:
		return Step{Outcome: m.report(failedOutcome(errkind.New(errkind.OutcomeUnknown, "the action was sent and has no response yet")))}
	}
}

// cancelledError returns the error of an attempt that was cancelled before it
// was sent.
func (m *Machine) cancelledError() *errkind.Error {
	if m.attempt.Repeat {
		return errkind.New(errkind.OutcomeUnknown, "the deadline passed before the outcome of an earlier attempt was read")
	}
	return errkind.New(errkind.DeadlinePassed, "the deadline passed before the action was sent")
}

// report returns the outcome for the caller and marks it as reported. It returns
// nil if one was reported before.
func (m *Machine) report(o *Outcome) *Outcome {
	if m.reported || o == nil {
		return nil
	}
	m.reported = true
	return o
}

func (m *Machine) finish(outcome *Outcome) Step {
	m.phase = finished
	return Step{Effect: Finished, Outcome: outcome}
}
