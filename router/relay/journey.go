package relay

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/router/prepaid"
)

const (
	// busyRetry is advised where a refusal names no time.
	busyRetry = 500 * time.Millisecond
	// patienceDivisor bounds an advised wait by a part of the caller's time.
	patienceDivisor = 4
)

// journey is one request on its way.
type journey struct {
	*admitted
	relay *Relay
	out   ResponseWriter
	hold  *prepaid.Reservation

	// tried names the targets that were picked, sends counts the requests
	// written, and unreached the targets that couldn't be reached.
	tried []string
	// copiedFrom names the targets that were to be copied from.
	copiedFrom []string
	sends      int
	unreached  int
	// mayHaveRun says that some send may have run.
	mayHaveRun bool
	// events counts the events passed on.
	events int64
	// consumed is the tokens billed.
	consumed int64
	// firstByte is the time to the first byte passed on.
	firstByte time.Duration
	outcome   string
	status    int
	// retryAfter is what a refusal advised.
	retryAfter time.Duration
}

// attempt is one send that was answered.
type attempt struct {
	lease *placement.Lease
	reply UpstreamResponse
	done  bool
}

// end gives the target's place back, once.
func (t *attempt) end(j *journey, result placement.Result) {
	if t.done {
		return
	}
	t.done = true
	t.reply.Close()
	t.lease.Done(result, j.relay.Now())
}

// next sends the request to a target that wasn't tried yet. Targets that can't
// be reached are passed over.
func (j *journey) next(ctx context.Context, resumeAfter string) (*attempt, *errkind.Error) {
	for {
		lease, err := j.relay.Targets.Pick(&placement.Request{
			Service:      j.service.Name,
			Affinity:     j.Prompt.affinity(),
			SharedTokens: j.Prompt.shared(),
			PromptTokens: j.Prompt.input(),
			Exclude:      j.tried,
			Now:          j.relay.Now(),
		})
		if err != nil {
			return nil, errkind.FromError(err)
		}
		target := lease.Target()
		j.tried = append(j.tried, target.ID)
		if source := lease.Source(); source != nil {
			j.copiedFrom = append(j.copiedFrom, source.ID)
		}
		reply, err := j.relay.Upstream.Send(ctx, &UpstreamRequest{
			Request:     j.Request,
			Target:      target,
			Source:      lease.Source(),
			Workspace:   j.workspaceName(),
			Deadline:    j.deadline,
			Priority:    j.priority(),
			ResumeAfter: resumeAfter,
		})
		if err == nil {
			j.sends++
			j.mayHaveRun = true
			if load := reply.Load(); load != nil {
				lease.ReportLoad(*load, j.relay.Now())
			}
			return &attempt{lease: lease, reply: reply}, nil
		}
		failure := j.failed(ctx, lease, err)
		if failure.Kind != errkind.TargetUnreachable {
			return nil, failure
		}
		j.unreached++
		if j.unreached >= maxUnreached || ctx.Err() != nil {
			return nil, failure
		}
	}
}

// failed takes the failure of a send, and says what it means for the request.
func (j *journey) failed(ctx context.Context, lease *placement.Lease, err error) *errkind.Error {
	failure := errkind.FromError(err)
	result := resultOf(ctx, err)
	switch failure.Kind {
	case errkind.TargetUnreachable:
		result = placement.Unreachable
	case errkind.TargetRefused:
		j.sends++
		result = placement.Refused
	default:
		j.sends++
		j.mayHaveRun = true
	}
	if ctx.Err() != nil {
		failure = j.ended(ctx, failure)
		result = resultOf(ctx, err)
	}
	lease.Done(result, j.relay.Now())
	j.relay.Log.Info("relay: a send failed.", zap.String("request", j.ID),
		zap.String("target", lease.Target().ID), zap.Int("sends", j.sends),
		zap.Stringer("kind", failure.Kind), zap.Error(err))
	return failure
}

// ended returns the failure of a request whose time is over or whose caller
// left.
func (j *journey) ended(ctx context.Context, cause error) *errkind.Error {
	if !j.mayHaveRun {
		return errkind.Wrap(errkind.Overloaded, cause, "the time was over before the request was sent")
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errkind.Wrap(errkind.DeadlineInRun, cause, "the time was over before the answer came")
	}
	return errkind.Wrap(errkind.TargetFailed, cause, "the caller left")
}

// again tells whether the request may be sent once more after a failure.
func (j *journey) again(ctx context.Context, failure *errkind.Error) bool {
	if ctx.Err() != nil || j.sends >= j.route.MaxAttempts || j.unreached >= maxUnreached {
		return false
	}
	switch failure.Kind {
	case errkind.TargetRefused:
	case errkind.TargetFailed, errkind.TargetSilent:
		if !j.route.Repeatable() {
			return false
		}
	default:
		return false
	}
	allowed := j.relay.Retries.ForService(j.service.Name).Withdraw()
	if !allowed {
		j.relay.Metrics.RetriesDenied.Inc()
	}
	return allowed
}

// final returns the failure as it may be told: a refusal that says "not run"
// only where no send may have run.
func (j *journey) final(failure *errkind.Error) *errkind.Error {
	if !j.mayHaveRun || failure.Kind.Properties().RunState != pb.RunState_RUN_STATE_NOT_RUN {
		return failure
	}
	return errkind.Wrap(errkind.TargetFailed, failure, "an earlier send of this request may have run")
}

// settle ends the reservation with what was consumed: the prompt once it may
// have been read, and the events passed on at their most.
func (j *journey) settle() {
	if j.Prompt == nil {
		return
	}
	if !j.mayHaveRun {
		j.hold.Settle(0)
		return
	}
	perEvent := int64(1)
	if j.service.Engine != nil {
		perEvent = max(j.service.Engine.MaxTokensPerEvent, 1)
	}
	j.consumed = j.Prompt.InputTokens + min(j.events*perEvent, j.Prompt.MaxOutputTokens)
	j.hold.Settle(j.consumed)
}

// log writes the one line of the request.
func (j *journey) log(req *Request, err *errkind.Error) {
	took := j.relay.Now().Sub(req.Arrived)
	j.relay.Metrics.done(j, took)
	fields := []zap.Field{
		zap.String("request", req.ID), zap.String("outcome", j.outcome), zap.Int("status", j.status),
		zap.Duration("took", took), zap.Strings("targets", j.tried), zap.Int("sends", j.sends),
		zap.Strings("copied_from", j.copiedFrom), zap.Duration("retry_after", j.retryAfter),
		zap.Bool("may_have_run", j.mayHaveRun),
	}
	if j.admitted != nil {
		fields = append(fields, zap.String("route", j.route.Name), zap.String("workspace", j.workspaceName()),
			zap.Uint64("config", j.catalog.Version), zap.Int64("events", j.events), zap.Int64("consumed", j.consumed), zap.Duration("first_byte", j.firstByte))
	}
	if err != nil {
		fields = append(fields, zap.Error(err))
	}
	j.relay.Log.Info("relay: request done.", fields...)
}
