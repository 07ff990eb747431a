// Package action implements the state machine that runs an action at most once.
//
// A Machine is one attempt at one router. It claims the row of (workspace,
// idempotency key) in the platform before anything is sent, and it requests the
// only send itself. That at most one attempt sends follows from three rules,
// none of which depends on a clock:
//
//  1. The row holds one claim at a time. A claim is conditional on the exact
//     version of the row (or its absence) and the row is never deleted, so a
//     late write of an old claim fails once the row has changed.
//  2. Only the attempt whose nonce is in a claimed row may change that row. No
//     other attempt voids it, however long the claimant is silent.
//  3. An attempt gives up its right to send, permanently and in its own memory,
//     before it requests that its claim be voided. An attempt that has reported
//     an outcome to its caller never sends.
//
// Hence a paused router that resumes either still holds its claim, in which
// case no other attempt could send, or it gave up before and does not send. The
// action of a void row has never run; a claimed row whose claimant died stays
// unknown.
//
// A Machine does no input or output and is not safe for concurrent use.
package action

import (
	"bytes"
	"net/url"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// keyPrefix is the prefix of the row keys of actions.
const keyPrefix = "action/"

// RowKey returns the key of an action's row. It escapes both parts, so that
// different actions have different keys.
func RowKey(workspace, idempotencyKey string) string {
	return keyPrefix + url.PathEscape(workspace) + "/" + url.PathEscape(idempotencyKey)
}

// Attempt identifies one attempt of an action.
type Attempt struct {
	Workspace      string
	IdempotencyKey string
	// RequestSHA256 is the SHA-256 of the service, the call and the body.
	RequestSHA256 []byte
	// Claimant is the incarnation ID of the router process that makes the
	// attempt.
	Claimant string
	// Nonce identifies the attempt uniquely over all routers and times.
	Nonce string
	// Repeat is true if the caller has sent the same action before. If the
	// row of a repeat cannot be read, its outcome is unknown instead of
	// not_run.
	Repeat bool
}

// Row is a stored row with its version. Version 0 means that it does not exist.
type Row struct {
	Version uint64
	Value   *pb.ActionRow
}

// Response is the response of a target as recorded in the row.
type Response struct {
	Status      uint32
	ContentType string
	Body        []byte
}

// recordedResponse returns the response that a done row records.
func recordedResponse(row *pb.ActionRow) *Response {
	return &Response{Status: row.AnswerStatus, ContentType: row.AnswerContentType, Body: row.AnswerBody}
}

// sameRequest reports whether a row belongs to the same request as the attempt.
func (a *Attempt) sameRequest(row *pb.ActionRow) bool {
	return bytes.Equal(a.RequestSHA256, row.RequestSha256)
}

// row returns the attempt's row in the given state.
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
