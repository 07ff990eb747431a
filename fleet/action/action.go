// Package action decides how one attempt of an action runs at most once.
//
// A Machine is one attempt at one router. It claims the row of (workspace,
// idempotency key) in the platform before anything is sent, and it orders the
// only send itself. The argument why at most one attempt sends rests on three
// rules, and on no clock:
//
//  1. The row takes one claim at a time. A claim is conditional on the exact
//     version of the row (or its absence) and the row is never deleted, so a
//     late write of an old claim fails once the row has moved on.
//  2. Only the attempt whose nonce a claimed row carries may change that row.
//     Nobody else voids it, however long the claimant is silent.
//  3. An attempt gives up its own right to send, for good and in its own
//     memory, before it asks for its claim to be voided. An attempt that told
//     its caller an outcome never sends.
//
// So a paused router that wakes either still holds its claim, and then nobody
// else could send, or it gave up before and doesn't send. A row that is void
// has never run; a claimed row whose claimant died stays unknown.
//
// A Machine is pure and not safe for concurrent use.
package action

import (
	"bytes"
	"net/url"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// keyPrefix starts the keys of action rows.
const keyPrefix = "action/"

// RowKey returns the platform key of an action's row.
func RowKey(workspace, idempotencyKey string) string {
	return keyPrefix + url.PathEscape(workspace) + "/" + url.PathEscape(idempotencyKey)
}

// Attempt names one attempt of an action.
type Attempt struct {
	Workspace      string
	IdempotencyKey string
	// RequestSHA256 is the digest of service, call and body.
	RequestSHA256 []byte
	// Claimant is the incarnation of the router.
	Claimant string
	// Nonce is unique to the attempt over all routers and times.
	Nonce string
	// Repeat says that the caller sent the same action before. A repeat that
	// can't read the row is told unknown, not not_run.
	Repeat bool
}

// Row is the stored row with its version. Version 0 means that it is absent.
type Row struct {
	Version uint64
	Value   *pb.ActionRow
}

// Response is the recorded answer of a target.
type Response struct {
	Status      uint32
	ContentType string
	Body        []byte
}

// answerOf returns the answer that a done row records.
func answerOf(row *pb.ActionRow) *Response {
	return &Response{Status: row.AnswerStatus, ContentType: row.AnswerContentType, Body: row.AnswerBody}
}

// sameRequest tells whether a row is of the attempt's request.
func (a *Attempt) sameRequest(row *pb.ActionRow) bool {
	return bytes.Equal(a.RequestSHA256, row.RequestSha256)
}

// row returns the attempt's row in a state.
func (a *Attempt) row(state pb.ActionState) *pb.ActionRow {
	return &pb.ActionRow{
		Workspace:      a.Workspace,
		IdempotencyKey: a.IdempotencyKey,
		RequestSha256:  a.RequestSHA256,
		State:          state,
		Claimant:       a.Claimant,
		Nonce:          a.Nonce,
	}
}
