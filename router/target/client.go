package target

import (
	"context"
	"expvar"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// The defaults of Options.
const (
	defaultConnectTimeout   = 2 * time.Second
	defaultFirstByteTimeout = 10 * time.Second
	defaultTokenGapTimeout  = 5 * time.Second
	defaultConnectionMaxAge = 60 * time.Second
	defaultMaxAnswerBytes   = 4 << 20
	idlePerTarget           = 64
)

// Options are the limits of a Client. Zero fields take the default.
type Options struct {
	// ConnectTimeout is the longest time to make a connection. Default 2 s.
	ConnectTimeout time.Duration
	// FirstByteTimeout is the longest wait for the header of an answer, from
	// the start of the call, and then for the first byte of its body. It
	// doesn't bound actions. Default 10 s.
	FirstByteTimeout time.Duration
	// TokenGapTimeout is the longest gap within an answer. Default 5 s.
	TokenGapTimeout time.Duration
	// ConnectionMaxAge is how long one pool of connections is used before a
	// new one replaces it. Default 60 s.
	ConnectionMaxAge time.Duration
	// MaxAnswerBytes is the largest whole answer. Default 4 MiB.
	MaxAnswerBytes int64
	// Log takes the package's lines. Default none.
	Log *zap.Logger
}

func (o Options) withDefaults() Options {
	orDuration(&o.ConnectTimeout, defaultConnectTimeout)
	orDuration(&o.FirstByteTimeout, defaultFirstByteTimeout)
	orDuration(&o.TokenGapTimeout, defaultTokenGapTimeout)
	orDuration(&o.ConnectionMaxAge, defaultConnectionMaxAge)
	if o.MaxAnswerBytes == 0 {
		o.MaxAnswerBytes = defaultMaxAnswerBytes
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

// Stats counts what a Client saw. Its fields can be published by expvar.
type Stats struct {
	// Calls counts calls of every kind.
	Calls expvar.Int
	// Mismatches counts dropped answers that echoed another request id.
	Mismatches expvar.Int
	// SilentConnections counts connections that were closed because they fell silent.
	SilentConnections expvar.Int
	// PoolsReplaced counts pools given up, by age or by suspicion.
	PoolsReplaced expvar.Int
}

// Client calls targets. It is safe for concurrent use.
type Client struct {
	opts   Options
	dialer *dialer
	// single makes a new connection for each call.
	single *http.Transport
	// polls keeps one connection to each target for its load reports.
	polls *http.Transport
	stats Stats

	mu    sync.Mutex
	pools map[string]*pool
}

// New returns a client with the given limits.
func New(opts Options) *Client {
	opts = opts.withDefaults()
	d := &dialer{}
	d.Timeout = opts.ConnectTimeout
	return &Client{
		opts:   opts,
		dialer: d,
		single: &http.Transport{DialContext: d.dial, DisableKeepAlives: true, DisableCompression: true},
		polls:  &http.Transport{DialContext: d.dial, MaxIdleConnsPerHost: 1, DisableCompression: true, IdleConnTimeout: pollIdle},
		pools:  make(map[string]*pool),
	}
}

// Stats returns the client's counters.
func (c *Client) Stats() *Stats { return &c.stats }

// Close closes the idle connections. Calls in progress run on.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.polls.CloseIdleConnections()
	for _, p := range c.pools {
		p.transport.CloseIdleConnections()
	}
}

// Call is one request to one target.
type Call struct {
	// Target is where the call goes.
	Target *pb.Target
	// RequestID is what the answer must echo.
	RequestID string
	// Path is below the target's address, with or without a leading slash.
	Path string
	// Method is the HTTP method; empty means POST.
	Method string
	// Body is the JSON body; may be empty.
	Body []byte
	// MaxTokens is the number of reserved tokens; 0 sends no limit.
	MaxTokens int64
	// Deadline is when the caller stops waiting; zero means never. No call is
	// sent after it.
	Deadline time.Time
	// NewConnection takes a new connection in place of a pooled one, such as after a
	// pooled one fell silent.
	NewConnection bool
}

// Usage is what a model call used, in tokens.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// Response is a whole answer.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	Usage       Usage
}

// RunState tells whether the call that failed with err ran; a nil error is a
// call that ran.
func RunState(err error) pb.RunState {
	if err == nil {
		return pb.RunState_RUN_STATE_RAN
	}
	return errkind.KindOf(err).Properties().RunState
}

// Do makes an idempotent or model call and returns its whole answer.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	return c.whole(ctx, call, c.routeOf(call))
}

// whole makes a call by a route and reads its whole answer.
func (c *Client) whole(ctx context.Context, call Call, r route) (*Response, error) {
	x, err := c.open(ctx, call, r)
	if err != nil {
		return nil, err
	}
	defer x.close()
	return x.readAnswer()
}

// Action makes a call that must not be repeated, on a connection of its own.
// It is sent once at most and waits for the answer as long as ctx lives; the
// call's deadline bounds only when it may still be sent.
func (c *Client) Action(ctx context.Context, call Call) (*Response, error) {
	x, err := c.open(ctx, call, c.unpooled())
	if err != nil {
		return nil, err
	}
	defer x.close()
	return x.readAnswer()
}
