package action

import (
	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// Effect is what the shell has to do next for a Machine.
type Effect uint8

// The effects.
const (
	// Idle means that a commit, read or send is still in progress.
	Idle Effect = iota
	// Commit writes Step.Write if the row has exactly Step.Condition as its
	// version; the outcome goes to OnCommit.
	Commit
	// Read reads the row; the outcome goes to OnRead.
	Read
	// Send sends the action, once; the outcome goes to OnSend.
	Send
	// Finished means that nothing remains to be done.
	Finished
)

// Pause says how long the shell waits before it carries out a step.
type Pause uint8

// The pauses.
const (
	// NoPause carries out the step at once.
	NoPause Pause = iota
	// PollPause waits for another attempt to finish.
	PollPause
	// RetryPause waits for the platform to come back.
	RetryPause
)

// Step is one effect, with what the caller is to be told if that is decided.
type Step struct {
	Effect Effect
	Pause  Pause
	// Condition and Write belong to Commit. Version 0 means absent.
	Condition uint64
	Write     *pb.ActionRow
	// Outcome is set on exactly one step of a machine.
	Outcome *Outcome
}

// Outcome is what the caller is told.
type Outcome struct {
	State pb.RunState
	// Response is set when the state is ran.
	Response *Response
	// Replayed says that the answer is the recorded one of an earlier attempt.
	Replayed bool
	// Err is set when the state isn't ran, and has the same run state.
	Err *errkind.Error
}

func failed(err *errkind.Error) *Outcome {
	return &Outcome{State: err.Kind.Properties().RunState, Err: err}
}

// CommitOutcome is how a commit ended.
type CommitOutcome uint8

// The outcomes of a commit.
const (
	// CommitUnknown means that the write may have taken effect or may later.
	CommitUnknown CommitOutcome = iota
	// CommitUnavailable means that the write has no effect and never will.
	CommitUnavailable
	// CommitConflict means that the condition failed.
	CommitConflict
	// CommitApplied means that the write took effect.
	CommitApplied
)

// CommitResult is the outcome of a commit with the row as it stands, where
// the outcome is CommitRefused, or its new version, where it is CommitDone.
type CommitResult struct {
	Outcome CommitOutcome
	Row     Row
}

// ReadResult is the outcome of a read.
type ReadResult struct {
	// OK is false when the platform gave no answer.
	OK  bool
	Row Row
}

// SendResult is the outcome of a send: an answer, or an error whose kind tells
// whether the action ran.
type SendResult struct {
	Response *Response
	Err      *errkind.Error
}
