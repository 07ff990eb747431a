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
	"cuminrock.example/fleet/intake"
)

// The defaults of Options.
const (
	defaultConnectTimeout   = 2 * time.Second
	defaultFirstByteTimeout = 10 * time.Second
	defaultTokenGapTimeout  = 5 * time.Second
	defaultConnectionMaxAge = 60 * time.Second
	defaultMaxResponseBytes = 4 << 20
	maxIdlePerTarget        = 64
)

// Options are the limits of a Client. Zero fields take the default.
type Options struct {
	// ConnectTimeout is the longest time to make a connection. Default 2 s.
	ConnectTimeout time.Duration
	// FirstByteTimeout is the longest wait for the header of a response, from
	// the start of the call, and then for the first byte of its body. It
	// doesn't bound actions. Default 10 s.
	FirstByteTimeout time.Duration
	// TokenGapTimeout is the longest wait for more data within a response
	// body. Default 5 s.
	TokenGapTimeout time.Duration
	// ConnectionMaxAge is how long one pool of connections is used before a
	// new one replaces it. Default 60 s.
	ConnectionMaxAge time.Duration
	// MaxResponseBytes is the largest body of a unary response. Default 4 MiB.
	MaxResponseBytes int64
	// Room bounds what all unary responses that are being read occupy, but for those of
	// actions; nil for no bound.
	Room intake.AnswerRoom
	// Log is the package's logger. Default none.
	Log *zap.Logger
}

func (o Options) withDefaults() Options {
	setDefault(&o.ConnectTimeout, defaultConnectTimeout)
	setDefault(&o.FirstByteTimeout, defaultFirstByteTimeout)
	setDefault(&o.TokenGapTimeout, defaultTokenGapTimeout)
	setDefault(&o.ConnectionMaxAge, defaultConnectionMaxAge)
	if o.MaxResponseBytes == 0 {
		o.MaxResponseBytes = defaultMaxResponseBytes
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return o
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

// Stats has the counters of a Client. Its fields can be published by expvar.
type Stats struct {
	// Calls counts calls of every kind.
	Calls expvar.Int
	// Mismatches counts responses that were dropped because they belong to
	// another request.
	Mismatches expvar.Int
	// SilentConnections counts connections that were closed because they
	// stopped responding.
	SilentConnections expvar.Int
	// PoolsReplaced counts connection pools that were replaced because of their
	// age or because one of their connections stopped responding.
	PoolsReplaced expvar.Int
}

// Client calls targets. It is safe for concurrent use.
type Client struct {
	opts   Options
	dialer *dialer
	// unpooledTransport makes a new connection for each call.
	unpooledTransport *http.Transport
	// loadTransport keeps one connection to each target for load reports.
	loadTransport *http.Transport
	stats         Stats

	mu    sync.Mutex
	pools map[string]*pool
}

// New returns a client with the given limits.
func New(opts Options) *Client {
	opts = opts.withDefaults()
	d := &dialer{}
	d.Timeout = opts.ConnectTimeout
	return &Client{
		opts:              opts,
		dialer:            d,
		unpooledTransport: &http.Transport{DialContext: d.dial, DisableKeepAlives: true, DisableCompression: true},
		loadTransport:     &http.Transport{DialContext: d.dial, MaxIdleConnsPerHost: 1, DisableCompression: true, IdleConnTimeout: loadIdleTimeout},
		pools:             make(map[string]*pool),
	}
}

// Stats returns the client's counters.
func (c *Client) Stats() *Stats { return &c.stats }

// Close closes the idle connections. Calls in progress run on.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loadTransport.CloseIdleConnections()
	for _, p := range c.pools {
		p.transport.CloseIdleConnections()
	}
}

// Call is a request to a target.
type Call struct {
	// Target is the target to call.
	Target *pb.Target
	// RequestID is the ID that the response must echo.
	RequestID string
	// Path is the URL path at the target, with or without a leading slash.
	Path string
	// Method is the HTTP method; empty means POST.
	Method string
	// Body is the JSON body; may be empty.
	Body []byte
	// MaxTokens is the number of reserved tokens, sent as a limit; 0 sends none.
	MaxTokens int64
	// Deadline is when the caller stops waiting; zero means never. No call is
	// sent after it.
	Deadline time.Time
	// NewConnection makes the call on a new connection and not on a pooled one,
	// for example after a pooled one stopped responding.
	NewConnection bool
}

// Usage is what a model call used, in tokens.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// Response is a unary response.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	Usage       Usage
}

// RunState returns whether the call that returned err ran. A nil error means that
// it ran.
func RunState(err error) pb.RunState {
	if err == nil {
		return pb.RunState_RUN_STATE_RAN
	}
	return errkind.KindOf(err).Properties().RunState
}

// Do makes an idempotent or model call and returns its unary response.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	return c.doUnary(ctx, call, c.routeOf(call))
}

// doUnary makes a call by a route and reads the entire response.
func (c *Client) doUnary(ctx context.Context, call Call, r route) (*Response, error) {
	pending, err := c.open(ctx, call, r)
	if err != nil {
		return nil, err
	}
	defer pending.close()
	return pending.readResponse()
}

// Action makes a call that must not be repeated, on a connection of its own. It
// sends the call at most once and waits for the response until ctx ends: the
// call's deadline only bounds when the call may be sent.
func (c *Client) Action(ctx context.Context, call Call) (*Response, error) {
	pending, err := c.open(ctx, call, c.actionRoute())
	if err != nil {
		return nil, err
	}
	defer pending.close()
	return pending.readResponse()
}
