// Package actions runs actions at most once over all routers. It is the shell
// of fleet/action: it carries out the steps of that package's machines against
// the platform and the targets, and adds nothing to the safety argument.
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
	"cuminrock.example/router/platform"
	"cuminrock.example/router/target"
)

// The defaults of Options.
const (
	defaultPollInterval  = 100 * time.Millisecond
	defaultRetryInterval = time.Second
	defaultAnswerTimeout = 10 * time.Minute
	defaultMaxAttempts   = 4096
)

// Options configure Actions. Zero fields take the default.
type Options struct {
	// Incarnation names this router process.
	Incarnation string
	// PollInterval is the first wait between two reads of a row that another
	// attempt has claimed; it doubles four times. Default 100 ms.
	PollInterval time.Duration
	// RetryInterval is the wait between two tries against a platform that is
	// out, and the retry-after told to callers. Default 1 s.
	RetryInterval time.Duration
	// ResponseTimeout is how long a late answer is waited for. Default 10 min.
	ResponseTimeout time.Duration
	// MaxAttempts bounds the attempts in progress, with those whose caller has
	// gone. Default 4,096.
	MaxAttempts int
	// NewNonce makes a string unique over all routers and times. Default a random
	// UUID.
	NewNonce func() string
	// Recorder takes the time line's events; may be nil.
	Recorder *timeline.Recorder
	// Log takes the package's lines. Default none.
	Log *zap.Logger
}

// Request is one action as a caller sent it.
type Request struct {
	Workspace string
	// Key is the caller's Idempotency-Key.
	Key string
	// Digest is the SHA-256 of service, call and body.
	Digest []byte
	// Repeat says that the caller told that it sent this action before.
	Repeat bool
	// Send sends the action. It is called once at most, and may try several
	// targets only while each one's error has the run state not_run. Its
	// context outlives the caller's.
	Send func(ctx context.Context) (*target.Response, error)
}

// Outcome is how an action stands.
type Outcome struct {
	State pb.RunState
	// Response is set when the state is ran.
	Response *target.Response
	// Replayed says that the answer is the recorded one of an earlier attempt.
	Replayed bool
}

// Runner runs actions. It is safe for concurrent use.
type Runner struct {
	opts   Options
	tables platform.Tables
	outage outage

	// life ends when Close gives up what is left.
	life context.Context
	end  context.CancelFunc

	mu       sync.Mutex
	closed   bool
	attempts int
	running  conc.WaitGroup
}

// New returns Actions over the platform's tables.
func New(tables platform.Tables, opts Options) *Runner {
	a := &Runner{opts: opts.withDefaults(), tables: tables}
	a.outage.interval = a.opts.RetryInterval
	a.life, a.end = context.WithCancel(context.Background())
	return a
}

// Run runs an action at most once and returns its outcome. It returns when ctx
// ends; what is in progress then runs on, and Lookup tells its outcome. The
// error is nil when the outcome's state is ran.
func (a *Runner) Run(ctx context.Context, req Request) (Outcome, error) {
	if req.Key == "" {
		return refused(errkind.New(errkind.KeyRequired, "an action needs an Idempotency-Key"))
	}
	if !a.outage.allow(time.Now()) {
		return refused(a.unreachable(req))
	}
	r := &run{actions: a, req: req, told: make(chan action.Outcome, 1)}
	r.machine = action.New(action.Attempt{
		Workspace:      req.Workspace,
		IdempotencyKey: req.Key,
		RequestSHA256:  req.Digest,
		Claimant:       a.opts.Incarnation,
		Nonce:          a.opts.NewNonce(),
		Repeat:         req.Repeat,
	})
	err := a.start(r)
	if err != nil {
		return refused(err)
	}
	return r.wait(ctx)
}

// unreachable is the refusal while the platform is known to be out.
func (a *Runner) unreachable(req Request) *errkind.Error {
	err := errkind.New(errkind.PlatformDown, "the platform is out; this attempt wasn't sent")
	if req.Repeat {
		err = errkind.New(errkind.OutcomeUnknown, "the platform is out and can't tell the outcome of an earlier attempt")
	}
	return err.WithRetryAfter(a.opts.RetryInterval)
}

// start drives a run until it finishes.
func (a *Runner) start(r *run) *errkind.Error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return errkind.New(errkind.Draining, "this router is stopping")
	}
	if a.attempts >= a.opts.MaxAttempts {
		return errkind.New(errkind.Overloaded, "too many actions are in progress").WithRetryAfter(a.opts.RetryInterval)
	}
	a.attempts++
	a.running.Go(func() {
		r.drive()
		a.mu.Lock()
		a.attempts--
		a.mu.Unlock()
	})
	return nil
}

// Lookup tells the outcome of an action by its key. A row that is void is
// not_run; one that is claimed or whose answer was lost is unknown.
func (a *Runner) Lookup(ctx context.Context, workspace, key string) (Outcome, error) {
	row, err := a.read(ctx, action.RowKey(workspace, key))
	if err != nil {
		lost := errkind.Wrap(errkind.OutcomeUnknown, err, "the platform can't tell the outcome")
		return refused(lost.WithRetryAfter(a.opts.RetryInterval))
	}
	if row.Version == 0 {
		return refused(errkind.New(errkind.UnknownRequest, "no action with this key is recorded"))
	}
	switch row.Value.State {
	case pb.ActionState_ACTION_STATE_DONE:
		return Outcome{State: pb.RunState_RUN_STATE_RAN, Response: recorded(row.Value), Replayed: true}, nil
	case pb.ActionState_ACTION_STATE_VOID:
		return Outcome{State: pb.RunState_RUN_STATE_NOT_RUN}, nil
	default:
		return Outcome{State: pb.RunState_RUN_STATE_UNKNOWN}, nil
	}
}

// Close refuses new actions and waits until those in progress are recorded or
// voided, or until ctx ends. What is cut then stays unknown.
func (a *Runner) Close(ctx context.Context) error {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	stop := context.AfterFunc(ctx, a.end)
	defer stop()
	a.running.Wait()
	a.end()
	return ctx.Err()
}

func refused(err *errkind.Error) (Outcome, error) {
	return Outcome{State: err.Kind.Properties().RunState}, err
}
