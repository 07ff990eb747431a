package relay

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cuminrock.example/fleet/admission"
	"cuminrock.example/fleet/catalog"
	"cuminrock.example/fleet/egress"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/intake"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/fleet/quarantine"
	"cuminrock.example/fleet/retry"
	"cuminrock.example/fleet/streamorigin"
	"cuminrock.example/fleet/targetlimit"
	gate "cuminrock.example/router/admission"
	"cuminrock.example/router/prepaid"
)

// Options configures a Relay. All fields but AnswerRoom, TooLate and Admission are required.
type Options struct {
	// Catalog returns the configuration in force; nil before there is one.
	Catalog  func() *catalog.Catalog
	Targets  *placement.Table
	Budgets  Budgets
	Retries  *retry.Budgets
	Upstream Upstream
	Crashes  CrashGuard
	Origins  StreamOrigins
	Limits   TargetLimits
	// AnswerRoom bounds what responses occupy before they are passed on; nil for no bound.
	AnswerRoom intake.AnswerRoom
	// Admission holds back and refuses requests that compete for slots; nil for none.
	Admission Admission
	// Overloaded reports whether this router has more work than processor time or
	// its link allow, so that new requests should be refused; urgent ones are
	// refused last.
	Overloaded func(urgent bool) bool
	// ProcessorOverloaded reports the same of the processor time alone.
	ProcessorOverloaded func(urgent bool) bool
	// TooLate reports whether this router stops before a request with a deadline must have been
	// answered, so that it mustn't be sent to a target; nil for never.
	TooLate func(deadline time.Time) bool
	// Egress is told the bytes that are sent to targets and callers.
	Egress  *egress.Meter
	Metrics *Metrics
	Log     *zap.Logger
	Now     func() time.Time
}

// Budgets reserves prepaid tokens.
type Budgets interface {
	// Reserve sets aside the most tokens that a request can consume, and waits
	// up to maxWait for them. The id is the request's; rank is its priority, 0 the
	// most urgent but for allotment.ResumedRank. The error is of package errkind.
	Reserve(ctx context.Context, id string, w *catalog.Workspace, tokens int64, rank int, maxWait time.Duration) (prepaid.Reservation, error)
}

// CrashGuard refuses requests that crash targets, and is told how answers end.
type CrashGuard interface {
	// Refusal returns an error of kind RequestRefused or PromptRefused, or nil if a
	// request with the traits may be sent.
	Refusal(traits []quarantine.Trait) *errkind.Error
	// Answered records that an answer, which began at the given time, was complete
	// or has outlived quarantine.Probation.
	Answered(traits []quarantine.Trait, began time.Time)
	// ConnectionLost records that a target's connection was lost before that.
	ConnectionLost(e quarantine.Exchange)
	// AnsweredUnlessCrashed records an answer that ended with its connection. It is
	// complete unless the target has crashed.
	AnsweredUnlessCrashed(e quarantine.Exchange, began time.Time)
}

// StreamOrigins knows at which versions streams began.
type StreamOrigins interface {
	// Expect records that a stream, which must end by a deadline, is about to be sent to
	// a target of a version.
	Expect(s streamorigin.Stream, version string, deadline time.Time)
	// Began records that a stream, which must end by a deadline, has begun or gone on at
	// a version; an empty one is unknown. It reports false if another version is recorded
	// for it and can't be corrected: the first event must not be passed on then.
	Began(ctx context.Context, s streamorigin.Stream, version string, deadline time.Time) bool
	// BrokeOff records that a stream broke off, so that its caller may take it up.
	BrokeOff()
	// Version returns the version that began a stream; false if that can't be found
	// out.
	Version(ctx context.Context, s streamorigin.Stream) (string, bool)
	// MayBegin reports whether streams may begin at a version of a service, as far as
	// the version is recorded.
	MayBegin(service, version string) bool
	// AwaitVersion waits until streams may begin at another listed version of a service.
	// It reports false if there is none, or not in time.
	AwaitVersion(ctx context.Context, service string) bool
	// SoleVersion returns the only version of a service at which a recorded stream of a
	// lifetime can have begun; empty if there are several or it can't be found out.
	// Covers is false if such streams may have begun before the first record.
	SoleVersion(ctx context.Context, service string, lifetime time.Duration) (version string, covers bool)
	// Covers reports whether no such stream can have begun before the first record, as
	// far as known without a call.
	Covers(service string, lifetime time.Duration) bool
}

// TargetLimits keeps requests within the limits that targets name.
type TargetLimits interface {
	// Acquire asks for a permit to send one request, which ends within a time, to a
	// target. A granted permit ends with Release.
	Acquire(ctx context.Context, target placement.Target, lifetime time.Duration) targetlimit.Permit
	// Cold reports whether a target counts as cold, which takes few requests.
	Cold(target placement.Target) bool
	// ConnectionRefused takes note that a target's address refuses connections.
	ConnectionRefused(target placement.Target)
	// Release tells how the request of a permit ended.
	Release(target placement.Target, p targetlimit.Permit, o targetlimit.Outcome)
	// Answered records what a target says in an answer to a request that was sent at a
	// time, and the load that it reports there; nil for no report.
	Answered(target placement.Target, said placement.Announcement, load *placement.Load, sent time.Time)
}

// Admission decides which requests are sent, wait or are refused while they compete for
// tokens and slots.
type Admission interface {
	// Applies reports whether the requests of a service are subject to admission.
	Applies(service string) bool
	// Admit waits until a request may be sent, and returns its ticket, or the refusal, whose
	// RetryAfter is when a slot is expected. If ctx ends first, both are nil. The id is the
	// caller's.
	Admit(ctx context.Context, id string, r admission.Request, p *placement.Request) (*gate.Ticket, *errkind.Error)
	// TokensReserved records that a request of a workspace got its tokens.
	TokensReserved(workspace string, tokens int64)
	// TokensRefused records that it didn't, and SlotRefused that a request got no slot. They
	// return when its caller, who has a time left, should come back. After is when tokens or
	// a slot are expected; 0 if that is unknown.
	TokensRefused(workspace string, tokens int64, rank int, after, remaining time.Duration) time.Duration
	SlotRefused(service string, rank int, after, remaining time.Duration) time.Duration
}
