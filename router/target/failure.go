package target

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"go.uber.org/zap"

	"cuminrock.example/fleet/errkind"
)

// ErrReusedConnection marks an error on a connection that had carried a call
// before. It says nothing about the target: only the connection may be broken.
var ErrReusedConnection = errors.New("the connection was reused")

// errResponseTooLong is the error of a response body or an event above its size
// limit.
var errResponseTooLong = errors.New("response exceeds the size limit")

// statusError returns the error of a response with a status that is a failure.
func statusError(status int) error { return fmt.Errorf("target responded with status %d", status) }

// fail ends a failed call and returns an error with its run state. It aborts the
// exchange first, so that a call reported as not run can't be sent later.
func (c *pendingCall) fail(cause error) error {
	notSent := c.exchange.abort()
	ctxCause := context.Cause(c.ctx)
	c.close()
	c.exchange.closeConn()
	if c.reused {
		cause = errors.Join(cause, ErrReusedConnection)
	}
	name := c.call.Target.GetName()
	switch {
	case notSent && errors.Is(ctxCause, context.DeadlineExceeded):
		return errkind.Wrap(errkind.DeadlinePassed, cause, "the deadline passed before the call was sent")
	case notSent:
		return errkind.Wrap(errkind.TargetUnreachable, cause, "target "+name+" couldn't be reached")
	case errors.Is(cause, errRequestMismatch):
		c.client.stats.Mismatches.Add(1)
		c.client.opts.Log.Warn("target: dropped the response of another request", zap.String("target", name), zap.String("request", c.call.RequestID))
		return errkind.Wrap(errkind.AnswerMismatch, cause, "target "+name+" sent the response of another request")
	case errors.Is(ctxCause, errIdleTimeout):
		c.client.discardPool(c.route)
		return errkind.Wrap(errkind.TargetSilent, cause, "target "+name+" stopped responding")
	case errors.Is(ctxCause, context.DeadlineExceeded):
		return errkind.Wrap(errkind.TargetSilent, cause, "target "+name+" didn't respond before the deadline")
	default:
		return errkind.Wrap(errkind.TargetFailed, cause, "target "+name+" failed")
	}
}

// responseBody has the fields of a unary response that are read.
type responseBody struct {
	ID     *string `json:"id"`
	Object string  `json:"object"`
	Usage  Usage   `json:"usage"`
}

// completionObjectPrefix is the prefix of the object field in a model engine's
// responses.
const completionObjectPrefix = "chat.completion"

// parseUsage returns the usage of a unary response; zero if the body has none. The
// body of a model engine's response must have the request ID too.
func parseUsage(resp *Response, requestID string) (Usage, error) {
	var body responseBody
	if json.Unmarshal(resp.Body, &body) != nil {
		return Usage{}, nil
	}
	isModel := strings.HasPrefix(body.Object, completionObjectPrefix)
	if isModel && (body.ID == nil || *body.ID != requestID) {
		return Usage{}, errRequestMismatch
	}
	return body.Usage, nil
}
