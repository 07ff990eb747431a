package relay

import (
	"context"
	"errors"
	"os"
	"syscall"
)

// Who ended an attempt before its answer was complete, in logs and metrics.
const (
	// endedByCaller and endedByDeadline: the caller left, or the request's time was up.
	endedByCaller   = "caller"
	endedByDeadline = "deadline"
	// endedBySilence: this gateway, as the target had been silent for too long.
	endedBySilence = "silence"
	// endedBySystem: the system, as the target's machine acknowledged nothing.
	endedBySystem = "system"
	// endedByTarget: the target closed or reset the connection.
	endedByTarget = "target"
	// endedByOther: anything else, such as bytes that are no answer.
	endedByOther = "other"
)

// endedBy returns who ended an attempt that failed with an error.
func endedBy(ctx context.Context, err error) string {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return endedByCaller
	case ctx.Err() != nil:
		return endedByDeadline
	case errors.Is(err, os.ErrDeadlineExceeded):
		return endedBySilence
	case errors.Is(err, syscall.ETIMEDOUT):
		return endedBySystem
	case IsConnectionLoss(err):
		return endedByTarget
	default:
		return endedByOther
	}
}

// Why a failed request isn't sent again, in logs.
const (
	noRetryTime         = "time_is_up"
	noRetryAttempts     = "attempts_used_up"
	noRetryUnreachable  = "targets_unreachable"
	noRetryOrigin       = "version_unknown"
	noRetryUnrepeatable = "not_repeatable"
	noRetryBudget       = "retry_budget"
)
