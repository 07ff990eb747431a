// Package errkind defines the closed set of error kinds that cuminrock reports
// to callers and operators, and the single table that maps each kind to its
// properties.
//
// Every rejection or failure that leaves a process carries exactly one Kind. The
// table gives its HTTP status, its gRPC code, the run state reported to the
// caller and whether a retry can succeed. Code that returns an error chooses the
// kind and never a status.
package errkind

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"google.golang.org/grpc/codes"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// Kind classifies an error. The zero Kind is Internal.
type Kind uint8

// The error kinds. The set is closed.
const (
	// Internal means a fault in cuminrock itself; the run state is unknown.
	Internal Kind = iota
	// BadRequest means that the request can't be parsed: invalid JSON or an
	// invalid header.
	BadRequest
	// BadMethod means that the path doesn't support the HTTP method.
	BadMethod
	// BodyTooLarge means that the request body exceeds the caller limit.
	BodyTooLarge
	// HeaderTooLarge means that the request header exceeds the caller limit.
	HeaderTooLarge
	// SlowCaller means that the caller didn't send its request in time.
	SlowCaller
	// UnknownKey means that the bearer key is missing or unknown.
	UnknownKey
	// UnknownService means that the service or call isn't configured.
	UnknownService
	// UnknownBudget means that the workspace has no such budget.
	UnknownBudget
	// UnknownRequest means that no record of the request id was found.
	UnknownRequest
	// KeyRequired means that an action lacks an Idempotency-Key.
	KeyRequired
	// KeyReused means that the Idempotency-Key was used for a different request.
	KeyReused
	// InProgress means that the same request is still being served elsewhere: by
	// another router, on another connection, or by another attempt of an action.
	InProgress
	// BudgetExhausted means that the budget has no tokens left anywhere.
	BudgetExhausted
	// BudgetUnreachable means that the remaining tokens of the budget can't be
	// reached.
	BudgetUnreachable
	// BadAmount means a negative, zero or overflowing amount of tokens.
	BadAmount
	// TopUpReused means that the top-up id was used with another amount or
	// budget.
	TopUpReused
	// BudgetTooLow means that a reduction would take the budget below the tokens
	// that are granted to routers, spent, or in doubt, that is, of unknown usage.
	BudgetTooLow
	// BillOverReservation means that a bill is larger than its reservation.
	BillOverReservation
	// Overloaded means that the work can't be started in time.
	Overloaded
	// NoRoom means that the router has no memory left for the request, or that others needed
	// it more.
	NoRoom
	// DeadlinePassed means that the deadline passed before the request was sent
	// to a target.
	DeadlinePassed
	// NoSlot means that the request is expected to get a slot at a target too late.
	NoSlot
	// DeadlineTooShort means that the deadline is expected to pass before a target could
	// begin its answer.
	DeadlineTooShort
	// DeadlineInRun means that the deadline passed after the request was sent to
	// a target.
	DeadlineInRun
	// PromptRefused means that requests with a part of the prompt crash targets.
	PromptRefused
	// OriginUnknown means that it isn't known which version of a service's software
	// began the stream that the caller takes up.
	OriginUnknown
	// RequestRefused means that earlier attempts at the request crashed targets.
	RequestRefused
	// NoTarget means that the service has no target that accepts new work.
	NoTarget
	// TargetUnreachable means that the target couldn't be reached; nothing was
	// sent.
	TargetUnreachable
	// TargetRefused means that the target itself reported that it didn't start
	// the request.
	TargetRefused
	// TargetFailed means that the target failed after the request was sent.
	TargetFailed
	// TargetSilent means that the target stopped responding after the request
	// was sent.
	TargetSilent
	// AnswerMismatch means that the response echoes the id of another request.
	AnswerMismatch
	// OutcomeUnknown means that the outcome of an action can't be determined
	// now.
	OutcomeUnknown
	// PlatformDown means that the platform, which was needed first, didn't
	// respond.
	PlatformDown
	// Conflict means that another operator's change was applied first, or that
	// the current state doesn't allow the operation.
	Conflict
	// BadSheet means that the sheet, the CSV file that declares the
	// configuration, is invalid.
	BadSheet
	// BadSettings means that the settings file is invalid.
	BadSettings
	// NotReady means that the router has no configuration in force.
	NotReady
	// Draining means that the router is shutting down.
	Draining
	// Unauthorized means that an operator call lacks the operator token.
	Unauthorized

	// NumKinds is the number of kinds.
	NumKinds
)

// Retry advises the caller whether to send the same request again.
type Retry uint8

// The retry advice values.
const (
	// RetryNever means that the request must be changed before it is sent again.
	RetryNever Retry = iota
	// RetryLater means that the same request may be sent after a delay.
	RetryLater
	// RetryQueryOutcome means that the caller may query the outcome but must not
	// send the request again.
	RetryQueryOutcome
)

// Properties defines how a kind is reported over HTTP and gRPC.
type Properties struct {
	// Name is the kind in the error body.
	Name string
	// Status is the HTTP status.
	Status int
	// Code is the gRPC code.
	Code codes.Code
	// RunState is the run state reported to the caller.
	RunState pb.RunState
	// Retry is the advice to the caller.
	Retry Retry
}

const (
	notRun  = pb.RunState_RUN_STATE_NOT_RUN
	ran     = pb.RunState_RUN_STATE_RAN
	unknown = pb.RunState_RUN_STATE_UNKNOWN
)

var propertiesByKind = [NumKinds]Properties{
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
	NoRoom:              {"no_room", http.StatusServiceUnavailable, codes.ResourceExhausted, notRun, RetryLater},
	DeadlinePassed:      {"deadline_passed", http.StatusGatewayTimeout, codes.DeadlineExceeded, notRun, RetryLater},
	NoSlot:              {"no_slot", http.StatusServiceUnavailable, codes.Unavailable, notRun, RetryLater},
	DeadlineTooShort:    {"deadline_too_short", http.StatusServiceUnavailable, codes.Unavailable, notRun, RetryLater},
	DeadlineInRun:       {"deadline_in_run", http.StatusGatewayTimeout, codes.DeadlineExceeded, unknown, RetryQueryOutcome},
	PromptRefused:       {"prompt_refused", http.StatusServiceUnavailable, codes.Unavailable, notRun, RetryLater},
	OriginUnknown:       {"origin_unknown", http.StatusServiceUnavailable, codes.Unavailable, notRun, RetryLater},
	RequestRefused:      {"request_refused", http.StatusServiceUnavailable, codes.Unavailable, notRun, RetryLater},
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

// Properties returns the properties of the kind. An undefined kind has those of
// Internal.
func (k Kind) Properties() Properties {
	if k >= NumKinds {
		return propertiesByKind[Internal]
	}
	return propertiesByKind[k]
}

// String returns the name of the kind as it appears in error bodies.
func (k Kind) String() string { return k.Properties().Name }

// Error is an error with a Kind.
type Error struct {
	// Kind determines how the error is reported.
	Kind Kind
	// Message describes the error in one human-readable sentence.
	Message string
	// RetryAfter is the advised delay before a retry; 0 means no advice.
	RetryAfter time.Duration
	// Cause is the underlying error, for logs only. It may be nil.
	Cause error
}

// New returns an Error of the given kind with a formatted message.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error of the given kind that wraps cause.
func Wrap(kind Kind, cause error, message string) *Error {
	return &Error{Kind: kind, Message: message, Cause: cause}
}

// WithRetryAfter returns a copy of the error with RetryAfter set to d.
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

// KindOf returns the kind of the first Error that err is or wraps, or Internal if
// there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// FromError returns the first Error that err is or wraps. If there is none, it
// wraps err in an Error of kind Internal.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err, "internal error")
}
