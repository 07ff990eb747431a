// Package errkind holds the closed list of error kinds that cuminrock tells
// its callers and operators, and the one table from kind to answer.
//
// Every refusal and failure that leaves a process carries exactly one Kind.
// The table gives its HTTP status, its gRPC code, the run state told to the
// caller and whether asking again can help. Code that decides a failure picks
// the kind; it never picks a status.
package errkind

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"google.golang.org/grpc/codes"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// Kind is one kind of error. The zero Kind is Internal.
type Kind uint8

// The closed list of kinds.
const (
	// Internal is a fault of cuminrock itself; the run state is not known.
	Internal Kind = iota
	// BadRequest is a request that can't be read: bad JSON or a bad header.
	BadRequest
	// BadMethod is an HTTP method that the path doesn't take.
	BadMethod
	// BodyTooLarge is a body above the caller limit.
	BodyTooLarge
	// HeaderTooLarge is a header above the caller limit.
	HeaderTooLarge
	// SlowCaller is a caller that didn't send its request in time.
	SlowCaller
	// UnknownKey is a missing or unknown bearer key.
	UnknownKey
	// UnknownService is a service or call that the configuration lacks.
	UnknownService
	// UnknownBudget is a budget that the workspace doesn't have.
	UnknownBudget
	// UnknownRequest is a request id that nobody knows.
	UnknownRequest
	// KeyRequired is an action without an Idempotency-Key.
	KeyRequired
	// KeyReused is an Idempotency-Key that came with another request.
	KeyReused
	// InProgress is a request that another router is still serving.
	InProgress
	// BudgetExhausted is a budget that has no tokens left anywhere.
	BudgetExhausted
	// BudgetUnreachable is a budget whose remaining tokens can't be reached.
	BudgetUnreachable
	// BadAmount is a negative, zero or overflowing amount of tokens.
	BadAmount
	// TopUpReused is a top-up id that came with another amount or budget.
	TopUpReused
	// BudgetTooLow is a lowering below what is granted, spent or in doubt.
	BudgetTooLow
	// BillOverReservation is a bill larger than its reservation.
	BillOverReservation
	// Overloaded is work that can't be started in time.
	Overloaded
	// DeadlinePassed is a deadline that passed before dispatch.
	DeadlinePassed
	// DeadlineInRun is a deadline that passed after dispatch.
	DeadlineInRun
	// NoTarget is a service without a target that takes new work.
	NoTarget
	// TargetUnreachable is a target that couldn't be reached; nothing was sent.
	TargetUnreachable
	// TargetRefused is a target's own word that it didn't start.
	TargetRefused
	// TargetFailed is a target that failed after the request was sent.
	TargetFailed
	// TargetSilent is a target that fell silent after the request was sent.
	TargetSilent
	// AnswerMismatch is an answer that echoes another request's id.
	AnswerMismatch
	// OutcomeUnknown is an action whose outcome can't be learnt now.
	OutcomeUnknown
	// PlatformDown is a platform that didn't answer and was needed first.
	PlatformDown
	// Conflict is a change that another operator's change overtook.
	Conflict
	// BadSheet is a sheet with faults.
	BadSheet
	// BadSettings is a settings file with faults.
	BadSettings
	// NotReady is a router without a configuration in force.
	NotReady
	// Draining is a router that is stopping.
	Draining
	// Unauthorized is an operator call without the operator token.
	Unauthorized

	// NumKinds is the number of kinds.
	NumKinds
)

// Retry tells whether the same request can succeed later.
type Retry uint8

// The retry advices.
const (
	// RetryNever means that the request must be changed first.
	RetryNever Retry = iota
	// RetryLater means that the same request may be sent after a delay.
	RetryLater
	// RetryQueryOutcome means that the outcome may be asked for, not sent again.
	RetryQueryOutcome
)

// Properties is how one kind is told.
type Properties struct {
	// Name stands in the error body.
	Name string
	// Status is the HTTP status.
	Status int
	// Code is the gRPC code.
	Code codes.Code
	// RunState is the run state told to the caller.
	RunState pb.RunState
	// Retry is the advice to the caller.
	Retry Retry
}

const (
	notRun  = pb.RunState_RUN_STATE_NOT_RUN
	ran     = pb.RunState_RUN_STATE_RAN
	unknown = pb.RunState_RUN_STATE_UNKNOWN
)

var table = [NumKinds]Properties{
	Internal:            {"internal", http.StatusInternalServerError, codes.Internal, unknown, RetryQueryOutcome},
	BadRequest:          {"bad_request", http.StatusBadRequest, codes.InvalidArgument, notRun, RetryNever},
	BadMethod:           {"bad_method", http.StatusMethodNotAllowed, codes.Unimplemented, notRun, RetryNever},
	BodyTooLarge:        {"body_too_large", http.StatusRequestEntityTooLarge, codes.InvalidArgument, notRun, RetryNever},
	HeaderTooLarge:      {"header_too_large", http.StatusRequestHeaderFieldsTooLarge, codes.InvalidArgument, notRun, RetryNever},
	SlowCaller:          {"slow_caller", http.StatusRequestTimeout, codes.DeadlineExceeded, notRun, RetryLater},
	UnknownKey:          {"unknown_key", http.StatusUnauthorized, codes.Unauthenticated, notRun, RetryNever},
	UnknownService:      {"unknown_service", http.StatusNotFound, codes.NotFound, notRun, RetryNever},
	UnknownBudget:       {"unknown_budget", http.StatusNotFound, codes.NotFound, notRun, RetryNever},
	UnknownRequest:      {"unknown_request", http.StatusNotFound, codes.NotFound, unknown, RetryNever},
	KeyRequired:         {"key_required", http.StatusBadRequest, codes.InvalidArgument, notRun, RetryNever},
	KeyReused:           {"key_reused", http.StatusUnprocessableEntity, codes.AlreadyExists, notRun, RetryNever},
	InProgress:          {"in_progress", http.StatusConflict, codes.Aborted, unknown, RetryQueryOutcome},
	BudgetExhausted:     {"budget_exhausted", http.StatusPaymentRequired, codes.ResourceExhausted, notRun, RetryLater},
	BudgetUnreachable:   {"budget_unreachable", http.StatusServiceUnavailable, codes.Unavailable, notRun, RetryLater},
	BadAmount:           {"bad_amount", http.StatusBadRequest, codes.InvalidArgument, notRun, RetryNever},
	TopUpReused:         {"top_up_reused", http.StatusConflict, codes.AlreadyExists, notRun, RetryNever},
	BudgetTooLow:        {"budget_too_low", http.StatusConflict, codes.FailedPrecondition, notRun, RetryNever},
	BillOverReservation: {"bill_over_reservation", http.StatusInternalServerError, codes.Internal, ran, RetryNever},
	Overloaded:          {"overloaded", http.StatusTooManyRequests, codes.ResourceExhausted, notRun, RetryLater},
	DeadlinePassed:      {"deadline_passed", http.StatusGatewayTimeout, codes.DeadlineExceeded, notRun, RetryLater},
	DeadlineInRun:       {"deadline_in_run", http.StatusGatewayTimeout, codes.DeadlineExceeded, unknown, RetryQueryOutcome},
	NoTarget:            {"no_target", http.StatusServiceUnavailable, codes.Unavailable, notRun, RetryLater},
	TargetUnreachable:   {"target_unreachable", http.StatusServiceUnavailable, codes.Unavailable, notRun, RetryLater},
	TargetRefused:       {"target_refused", http.StatusServiceUnavailable, codes.Unavailable, notRun, RetryLater},
	TargetFailed:        {"target_failed", http.StatusBadGateway, codes.Unknown, unknown, RetryQueryOutcome},
	TargetSilent:        {"target_silent", http.StatusGatewayTimeout, codes.Unknown, unknown, RetryQueryOutcome},
	AnswerMismatch:      {"answer_mismatch", http.StatusBadGateway, codes.Unknown, unknown, RetryQueryOutcome},
	OutcomeUnknown:      {"outcome_unknown", http.StatusConflict, codes.Unknown, unknown, RetryQueryOutcome},
	PlatformDown:        {"platform_down", http.StatusServiceUnavailable, codes.Unavailable, notRun, RetryLater},
	Conflict:            {"conflict", http.StatusConflict, codes.Aborted, notRun, RetryNever},
	BadSheet:            {"bad_sheet", http.StatusBadRequest, codes.InvalidArgument, notRun, RetryNever},
	BadSettings:         {"bad_settings", http.StatusBadRequest, codes.InvalidArgument, notRun, RetryNever},
	NotReady:            {"not_ready", http.StatusServiceUnavailable, codes.Unavailable, notRun, RetryLater},
	Draining:            {"draining", http.StatusServiceUnavailable, codes.Unavailable, notRun, RetryLater},
	Unauthorized:        {"unauthorized", http.StatusUnauthorized, codes.Unauthenticated, notRun, RetryNever},
}

// Properties returns the table's entry of the kind.
func (k Kind) Properties() Properties {
	if k >= NumKinds {
		return table[Internal]
	}
	return table[k]
}

// String returns the kind's name.
func (k Kind) String() string { return k.Properties().Name }

// Error is a failure of one kind.
type Error struct {
	// Kind selects the answer.
	Kind Kind
	// Message is one sentence for people.
	Message string
	// RetryAfter is when to come back; 0 means that no time is advised.
	RetryAfter time.Duration
	// Cause is the error below, for logs only; may be nil.
	Cause error
}

// New returns an Error of the kind with a formatted sentence.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error of the kind that keeps its cause.
func Wrap(kind Kind, cause error, message string) *Error {
	return &Error{Kind: kind, Message: message, Cause: cause}
}

// WithRetryAfter returns a copy of the error that advises when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause == nil {
		return e.Kind.String() + ": " + e.Message
	}
	return e.Kind.String() + ": " + e.Message + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of an error: its own, or Internal where it has none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// FromError returns the Error in err, or wraps err as Internal.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err, "internal fault")
}
