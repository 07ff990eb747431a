package actionrunner

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/action"
	"cuminrock.example/router/platform"
	"cuminrock.example/router/target"
)

// read returns the row of a key; an absent row has version 0.
func (a *Runner) read(ctx context.Context, key string) (action.Row, error) {
	rows, err := a.tables.Read(ctx, key)
	if err != nil {
		return action.Row{}, trace.Wrap(err)
	}
	return decode(rows)
}

// commit carries out a Commit step. An answer that can't be read counts as an
// unknown outcome.
func (a *Runner) commit(ctx context.Context, key string, s action.Step) action.CommitResult {
	value, err := proto.Marshal(s.Write)
	if err != nil {
		return action.CommitResult{Outcome: action.CommitUnavailable}
	}
	resp, err := a.tables.Commit(ctx, &pb.CommitRequest{
		Conditions: []*pb.Condition{{Key: key, Version: s.Condition}},
		Writes:     []*pb.Write{{Key: key, Value: value}},
	})
	if err != nil {
		a.outage.failed(time.Now())
		return action.CommitResult{Outcome: failureOutcome(err)}
	}
	a.outage.worked()
	if resp.Committed {
		return action.CommitResult{Outcome: action.CommitApplied, Row: action.Row{Version: resp.Version, Value: s.Write}}
	}
	row, err := decode(resp.Conflicts)
	if err != nil {
		a.opts.Log.Error("actions: a stored row can't be read", zap.String("key", key), zap.Error(err))
		return action.CommitResult{Outcome: action.CommitUnknown}
	}
	return action.CommitResult{Outcome: action.CommitConflict, Row: row}
}

func failureOutcome(err error) action.CommitOutcome {
	if errors.Is(err, platform.ErrUnavailable) {
		return action.CommitUnavailable
	}
	return action.CommitUnknown
}

func decode(rows []*pb.Row) (action.Row, error) {
	if len(rows) == 0 {
		return action.Row{}, nil
	}
	value := &pb.ActionRow{}
	err := proto.Unmarshal(rows[0].Value, value)
	if err != nil {
		return action.Row{}, trace.Wrap(err)
	}
	return action.Row{Version: rows[0].Version, Value: value}, nil
}

func recorded(row *pb.ActionRow) *target.Response {
	return &target.Response{Status: int(row.AnswerStatus), ContentType: row.AnswerContentType, Body: row.AnswerBody}
}

// outageFailures is the number of failed commits in a row that make an outage.
const outageFailures = 3

// outage refuses work at once while the platform is out, but for one probe an
// interval. One lost answer makes no outage.
type outage struct {
	interval time.Duration
	failures atomic.Int64
	// nextProbe is in nanoseconds since the Unix epoch; 0 means no outage.
	nextProbe atomic.Int64
}

// allow tells whether the platform may be tried now.
func (o *outage) allow(now time.Time) bool {
	next := o.nextProbe.Load()
	if next == 0 {
		return true
	}
	if now.UnixNano() < next {
		return false
	}
	return o.nextProbe.CompareAndSwap(next, now.Add(o.interval).UnixNano())
}

func (o *outage) failed(now time.Time) {
	if o.failures.Add(1) >= outageFailures {
		o.nextProbe.Store(now.Add(o.interval).UnixNano())
	}
}

func (o *outage) worked() {
	o.failures.Store(0)
	o.nextProbe.Store(0)
}

func (o Options) withDefaults() Options {
	orDuration(&o.PollInterval, defaultPollInterval)
	orDuration(&o.RetryInterval, defaultRetryInterval)
	orDuration(&o.ResponseTimeout, defaultAnswerTimeout)
	if o.MaxAttempts == 0 {
		o.MaxAttempts = defaultMaxAttempts
	}
	if o.NewNonce == nil {
		o.NewNonce = uuid.NewString
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return o
}

func orDuration(d *time.Duration, fallback time.Duration) {
	if *d == 0 {
		*d = fallback
	}
}
