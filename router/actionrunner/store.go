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
	"cuminrock.example/router/platformclient"
	"cuminrock.example/router/target"
)

// read returns the row of a key, with version 0 if the row does not exist.
func (r *Runner) read(ctx context.Context, key string) (action.Row, error) {
	rows, err := r.tables.Read(ctx, key)
	if err != nil {
		return action.Row{}, trace.Wrap(err)
	}
	return decode(rows)
}

// commit executes a Commit step. If the conflicting row cannot be decoded, the
// outcome is unknown.
func (r *Runner) commit(ctx context.Context, key string, s action.Step) action.CommitResult {
	value, err := proto.Marshal(s.Write)
	if err != nil {
		return action.CommitResult{Outcome: action.CommitUnavailable}
	}
	resp, err := r.tables.Commit(ctx, &pb.CommitRequest{
		Conditions: []*pb.Condition{{Key: key, Version: s.Condition}},
		Writes:     []*pb.Write{{Key: key, Value: value}},
	})
	if err != nil {
		r.breaker.recordFailure(time.Now())
		return action.CommitResult{Outcome: commitOutcome(err)}
	}
	r.breaker.recordSuccess()
	if resp.Committed {
		return action.CommitResult{Outcome: action.CommitApplied, Row: action.Row{Version: resp.Version, Value: s.Write}}
	}
	row, err := decode(resp.Conflicts)
	if err != nil {
		r.opts.Log.Error("actions: cannot decode a stored row", zap.String("key", key), zap.Error(err))
		return action.CommitResult{Outcome: action.CommitUnknown}
	}
	return action.CommitResult{Outcome: action.CommitConflict, Row: row}
}

func commitOutcome(err error) action.CommitOutcome {
	if errors.Is(err, platformclient.ErrUnavailable) {
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

func recordedResponse(row *pb.ActionRow) *target.Response {
	return &target.Response{Status: int(row.AnswerStatus), ContentType: row.AnswerContentType, Body: row.AnswerBody}
}

// failureThreshold is the number of consecutive failed commits that opens the
// circuit breaker. It is above 1, so that one lost response does not open it.
const failureThreshold = 3

// circuitBreaker refuses requests at once while the platform is unavailable,
// except for one probe per interval.
type circuitBreaker struct {
	interval time.Duration
	failures atomic.Int64
	// nextProbe is the time of the next probe in nanoseconds since the Unix
	// epoch; 0 means that the circuit is closed and all requests are allowed.
	nextProbe atomic.Int64
}

// allow reports whether a request may use the platform now.
func (b *circuitBreaker) allow(now time.Time) bool {
	next := b.nextProbe.Load()
	if next == 0 {
		return true
	}
	if now.UnixNano() < next {
		return false
	}
	return b.nextProbe.CompareAndSwap(next, now.Add(b.interval).UnixNano())
}

func (b *circuitBreaker) recordFailure(now time.Time) {
	if b.failures.Add(1) >= failureThreshold {
		b.nextProbe.Store(now.Add(b.interval).UnixNano())
	}
}

func (b *circuitBreaker) recordSuccess() {
	b.failures.Store(0)
	b.nextProbe.Store(0)
}

func (o Options) withDefaults() Options {
	setDefaultDuration(&o.PollInterval, defaultPollInterval)
	setDefaultDuration(&o.RetryInterval, defaultRetryInterval)
	setDefaultDuration(&o.ResponseTimeout, defaultResponseTimeout)
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

func setDefaultDuration(d *time.Duration, fallback time.Duration) {
	if *d == 0 {
		*d = fallback
	}
}
