package action

import (
	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// Effect is what the caller of a Machine has to do next.
type Effect uint8

// The effects of a Step.
const (
	// Idle means that a commit, read or send is still in progress.
	Idle Effect = iota
	// Commit writes Step.Write if the version of the row is exactly
	// Step.Condition; the result goes to OnCommit.
	Commit
	// Read reads the row; the result goes to OnRead.
	Read
	// Send sends the action, once; the result goes to OnSend.
	Send
	// Finished means that the attempt has ended.
	Finished
)

// Pause is the kind of delay before a step is executed.
type Pause uint8

// The kinds of delay.
const (
	// NoPause executes the step at once.
	NoPause Pause = iota
	// PollPause waits for another attempt to finish.
	PollPause
	// RetryPause waits for the platform to become available.
	RetryPause
)

// Step is the next effect, with the outcome to report to the caller once it is
// decided.
type Step struct {
	Effect Effect
	Pause  Pause
	// Condition and Write are set for Commit. Condition 0 means that the row
	// must not exist.
	Condition uint64
	Write     *pb.ActionRow
	// Outcome is set on exactly one step of a Machine.
	Outcome *Outcome
}

// Outcome is the result of an attempt as reported to its caller.
type Outcome struct {
	State pb.RunState
	// Response is set when the state is ran.
	Response *Response
	// Replayed is true if the response was recorded by an earlier attempt.
	Replayed bool
	// Err is set when the state is not ran, and has the same run state.
	Err *errkind.Error
}

func failedOutcome(err *errkind.Error) *Outcome {
	return &Outcome{State: err.Kind.Properties().RunState, Err: err}
}

// CommitOutcome is the outcome of a commit.
type CommitOutcome uint8

// The outcomes of a commit.
const (
	// CommitUnknown means that the write may have taken effect or may still do
	// so.
	CommitUnknown CommitOutcome = iota
	// CommitUnavailable means that the write has not taken effect and never
	// will.
	CommitUnavailable
	// CommitConflict means that the row does not have the version
	// Step.Condition.
	CommitConflict
	// CommitApplied means that the write took effect.
	CommitApplied
)

// CommitResult is the result of a commit. Row is the current row for
// CommitConflict, and the written row for CommitApplied.
type CommitResult struct {
	Outcome CommitOutcome
	Row     Row
}

// ReadResult is the result of a read.
type ReadResult struct {
	// OK is false if the platform did not respond.
	OK  bool
	Row Row
}

// SendResult is the result of a send: a response, or an error whose kind tells
// whether the action ran.
type SendResult struct {
	Response *Response
	Err      *errkind.Error
}
