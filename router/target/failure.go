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

// ErrReusedConnection marks a failure on a connection that had carried a call
// before. It says nothing of the target: the connection alone may be broken.
var ErrReusedConnection = errors.New("the connection was reused")

// errTooLong marks an answer above the limit.
var errTooLong = errors.New("answer is too long")

// errStatus is the error of an answer with a failing status.
func errStatus(status int) error { return fmt.Errorf("target answered with status %d", status) }

// fail ends a call that failed and returns the error that tells its state. The
// exchange is sealed first, so that a call told as not run can't start later.
func (x *inProgress) fail(cause error) error {
	unsent := x.exchange.seal()
	why := context.Cause(x.ctx)
	x.close()
	x.exchange.closeConn()
	if x.reused {
		cause = errors.Join(cause, ErrReusedConnection)
	}
	name := x.call.Target.GetName()
	switch {
	case unsent && errors.Is(why, context.DeadlineExceeded):
		return errkind.Wrap(errkind.DeadlinePassed, cause, "the deadline passed before the call was sent")
	case unsent:
		return errkind.Wrap(errkind.TargetUnreachable, cause, "target "+name+" couldn't be reached")
	case errors.Is(cause, errMismatch):
		x.client.stats.Mismatches.Add(1)
		x.client.opts.Log.Warn("target: dropped an answer to another request", zap.String("target", name), zap.String("request", x.call.RequestID))
		return errkind.Wrap(errkind.AnswerMismatch, cause, "target "+name+" answered another request")
	case errors.Is(why, errSilent):
		x.client.suspect(x.route)
		return errkind.Wrap(errkind.TargetSilent, cause, "target "+name+" fell silent")
	case errors.Is(why, context.DeadlineExceeded):
		return errkind.Wrap(errkind.TargetSilent, cause, "target "+name+" didn't answer in time")
	default:
		return errkind.Wrap(errkind.TargetFailed, cause, "target "+name+" failed")
	}
}

// wholeBody is the part of a whole answer that names its request.
type wholeBody struct {
	ID     *string `json:"id"`
	Object string  `json:"object"`
	Usage  Usage   `json:"usage"`
}

// completionObject starts the object field of a model engine's answers.
const completionObject = "chat.completion"

// wholeUsage returns the usage of a whole answer. A model engine's answer must
// name the request in its body too.
func wholeUsage(a *Response, requestID string) (Usage, error) {
	var body wholeBody
	if json.Unmarshal(a.Body, &body) != nil {
		return Usage{}, nil
	}
	isModel := strings.HasPrefix(body.Object, completionObject)
	if isModel && (body.ID == nil || *body.ID != requestID) {
		return Usage{}, errMismatch
	}
	return body.Usage, nil
}
