package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
)

// maxWholeBytes bounds an answer that is read whole before it is passed on.
const maxWholeBytes = 8 << 20

// errTooLong is an answer beyond the bound.
var errTooLong = errors.New("the answer is too long")

// whole serves a request whose answer is passed on only when all of it is
// here, so that a failure can still be made good by another target.
func (j *journey) whole(ctx context.Context) *errkind.Error {
	for {
		failure := j.tryWhole(ctx)
		if failure == nil {
			return nil
		}
		if !j.again(ctx, failure) {
			return j.final(failure)
		}
	}
}

// tryWhole sends the request once, and passes a whole answer on.
func (j *journey) tryWhole(ctx context.Context) *errkind.Error {
	t, failure := j.next(ctx, j.ResumeAfter)
	if failure != nil {
		return failure
	}
	body, err := readWhole(t.reply)
	if err != nil {
		t.end(j, resultOf(ctx, err))
		return j.broken(ctx, err)
	}
	status, header := t.reply.Status(), t.reply.Header()
	result := placement.OK
	if status >= http.StatusInternalServerError {
		result = placement.Failed
	}
	t.end(j, result)
	if result == placement.Failed && j.again(ctx, errkind.New(errkind.TargetFailed, "the target answered %d", status)) {
		return j.tryWhole(ctx)
	}
	j.pass(status, header, body)
	return nil
}

// pass gives a whole answer to the caller.
func (j *journey) pass(status int, header http.Header, body []byte) {
	j.status, j.outcome = status, outcomeAnswered
	j.firstByte = j.relay.Now().Sub(j.Arrived)
	err := j.out.WriteHeader(status, header, int64(len(body)))
	if err == nil && len(body) > 0 {
		err = j.out.WriteBody(body)
	}
	if err != nil {
		j.outcome = outcomeLeft
		j.out.Abort()
		return
	}
	j.out.Finish()
}

// broken returns the failure of an answer that broke off.
func (j *journey) broken(ctx context.Context, err error) *errkind.Error {
	if ctx.Err() != nil {
		return j.ended(ctx, err)
	}
	return errkind.Wrap(errkind.TargetFailed, err, "the target's answer broke off")
}

// readWhole reads the body to its end.
func readWhole(r io.Reader) ([]byte, error) {
	var body bytes.Buffer
	n, err := io.Copy(&body, io.LimitReader(r, maxWholeBytes+1))
	if err != nil {
		return nil, err
	}
	if n > maxWholeBytes {
		return nil, errTooLong
	}
	return body.Bytes(), nil
}
