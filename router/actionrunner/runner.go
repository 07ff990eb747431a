// Package actionrunner runs actions at most once over all routers. It executes
// the steps of the state machine in fleet/action against the platform and the
// targets. That at most one attempt sends follows from fleet/action alone.
package actionrunner

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/action"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/timeline"
	"cuminrock.example/router/platformclient"
	"cuminrock.example/router/target"
)

// Defaults of Options.
const (
	defaultPollInterval    = 100 * time.Millisecond
	defaultRetryInterval   = time.Second
	defaultResponseTimeout = 10 * time.Minute
	defaultMaxAttempts     = 4096
)

// Options configures a Runner. Zero fields take their defaults.
type Options struct {
	// Incarnation identifies this router process.
	Incarnation string
	// PollInterval is the first delay between two reads of a row that another
	// attempt has claimed; it doubles up to four times. Default 100 ms.
	PollInterval time.Duration
	// RetryInterval is the delay between two tries while the platform is
	// unavailable, and the retry-after in errors to callers. Default 1 s.
	RetryInterval time.Duration
	// ResponseTimeout bounds the wait for the response to a send. Default 10 min.
	ResponseTimeout time.Duration
	// MaxAttempts bounds the attempts in progress, including those whose caller
	// has disconnected. Default 4,096.
	MaxAttempts int
	// NewNonce returns a string that is unique over all routers and times. The
	// default is a random UUID.
	NewNonce func() string
	// Recorder receives the timeline events; may be nil.
	Recorder *timeline.Recorder
	// Log is the logger. Default none.
	Log *zap.Logger
}

// Request is an action as received from a caller.
type Request struct {
	Workspace string
	// Key is the caller's Idempotency-Key.
	Key string
	// Digest is the SHA-256 of the service, the call and the body.
	Digest []byte
	// Repeat is true if the caller stated that it has sent this action before.
	Repeat bool
	// Send sends the action. It is called at most once. It may try another
	// target only if the error of each target tried so far has the run state
	// not_run. Its context outlives the caller's.
	Send func(ctx context.Context) (*target.Response, error)
}

// Outcome is the outcome of an action, as far as it is known.
type Outcome struct {
	State pb.RunState
	// Response is set when the state is ran.
	Response *target.Response
	// Replayed is true if the response was recorded by an earlier attempt.
	Replayed bool
}

// Runner runs actions. It is safe for concurrent use.
type Runner struct {
	opts    Options
	tables  platformclient.TableStore
	breaker circuitBreaker

	// ctx ends when Close has waited for all attempts or aborts the remaining
	// ones.
	ctx    context.Context
	cancel context.CancelFunc

	mu         sync.Mutex
	closed     bool
	inProgress int
	background conc.WaitGroup
}

// New returns a Runner that uses the platform's tables.
func New(tables platformclient.TableStore, opts Options) *Runner {
	r := &Runner{opts: opts.withDefaults(), tables: tables}
	r.breaker.interval = r.opts.RetryInterval
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// Run runs an action at most once and returns its outcome. If ctx ends first,
// Run returns what is known by then; an attempt in progress continues, and
// Lookup returns its outcome. The error is nil if the outcome's state is ran.
func (r *Runner) Run(ctx context.Context, req Request) (Outcome, error) {
	if req.Key == "" {
		return refusal(errkind.New(errkind.KeyRequired, "an action requires an Idempotency-Key"))
	}
	if !r.breaker.allow(time.Now()) {
		return refusal(r.platformDown(req))
	}
	at := &attempt{runner: r, req: req, outcome: make(chan action.Outcome, 1)}
	at.machine = action.New(action.Attempt{
		Workspace:      req.Workspace,
		IdempotencyKey: req.Key,
		RequestSHA256:  req.Digest,
		Claimant:       r.opts.Incarnation,
		Nonce:          r.opts.NewNonce(),
		Repeat:         req.Repeat,
	})
	err := r.start(at)
	if err != nil {
		return refusal(err)
	}
	return at.wait(ctx)
}

// platformDown returns the error for requests while the circuit breaker is open.
func (r *Runner) platformDown(req Request) *errkind.Error {
	err := errkind.New(errkind.PlatformDown, "the platform is unavailable; this attempt was not sent")
	if req.Repeat {
		err = errkind.New(errkind.OutcomeUnknown, "the platform is unavailable; the outcome of an earlier attempt cannot be read")
	}
	return err.WithRetryAfter(r.opts.RetryInterval)
}

// start runs an attempt in the background until it finishes.
func (r *Runner) start(at *attempt) *errkind.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return errkind.New(errkind.Draining, "this router is stopping")
	}
	if r.inProgress >= r.opts.MaxAttempts {
		return errkind.New(errkind.Overloaded, "too many actions are in progress").WithRetryAfter(r.opts.RetryInterval)
	}
	r.inProgress++
	r.background.Go(func() {
		at.drive()
		r.mu.Lock()
		r.inProgress--
		r.mu.Unlock()
	})
	return nil
}

// Lookup returns the recorded outcome of an action. The state of a void row is
// not_run; the state of a claimed row, or of one whose response was lost, is
// unknown.
func (r *Runner) Lookup(ctx context.Context, workspace, key string) (Outcome, error) {
	row, err := r.read(ctx, action.RowKey(workspace, key))
	if err != nil {
		unknown := errkind.Wrap(errkind.OutcomeUnknown, err, "the outcome could not be read from the platform")
		return refusal(unknown.WithRetryAfter(r.opts.RetryInterval))
	}
	if row.Version == 0 {
		return refusal(errkind.New(errkind.UnknownRequest, "no action with this key is recorded"))
	}
	switch row.Value.State {
	case pb.ActionState_ACTION_STATE_DONE:
		return Outcome{State: pb.RunState_RUN_STATE_RAN, Response: recordedResponse(row.Value), Replayed: true}, nil
	case pb.ActionState_ACTION_STATE_VOID:
		return Outcome{State: pb.RunState_RUN_STATE_NOT_RUN}, nil
	default:
		return Outcome{State: pb.RunState_RUN_STATE_UNKNOWN}, nil
	}
}

// Close refuses new actions and waits until those in progress are recorded or
// voided. If ctx ends first, it aborts the remaining attempts; the outcome of
// those stays unknown.
func (r *Runner) Close(ctx context.Context) error {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	stop := context.AfterFunc(ctx, r.cancel)
	defer stop()
	r.background.Wait()
	r.cancel()
	return ctx.Err()
}

func refusal(err *errkind.Error) (Outcome, error) {
	return Outcome{State: err.Kind.Properties().RunState}, err
}
