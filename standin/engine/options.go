package engine

import "time"

// Options configures an Engine. Fields that are zero take the default that
// their comment gives.
type Options struct {
	// Seed and the request body determine the text.
	Seed uint64
	// TokensPerSecond is the token rate of one stream. Default 25.
	TokensPerSecond float64
	// TimeToFirstToken is the time from the start of a stream to its first
	// token, without prefill. Default 20 ms.
	TimeToFirstToken time.Duration
	// Slots is the maximum number of streams that run at once. Default 256.
	Slots int
	// QueueCapacity is the maximum number of requests that wait for a slot;
	// further ones are refused with run state not_run. Default 1,024.
	QueueCapacity int
	// PrefillPerToken is added to TimeToFirstToken for each token of the
	// prompt that is not in the prefix cache. Default 0.
	PrefillPerToken time.Duration
	// PrefixCacheTokens is the size of the prefix cache in tokens. Default 0.
	PrefixCacheTokens int
	// StreamRetention is how long a stream can be resumed after its end.
	// Default 60 s.
	StreamRetention time.Duration
}

const (
	defaultTokensPerSecond  = 25
	defaultTimeToFirstToken = 20 * time.Millisecond
	defaultSlots            = 256
	defaultQueueCapacity    = 1024
	defaultStreamRetention  = time.Minute
)

func (o Options) withDefaults() Options {
	if o.TokensPerSecond <= 0 {
		o.TokensPerSecond = defaultTokensPerSecond
	}
	if o.TimeToFirstToken <= 0 {
		o.TimeToFirstToken = defaultTimeToFirstToken
	}
	if o.Slots <= 0 {
		o.Slots = defaultSlots
	}
	if o.QueueCapacity <= 0 {
		o.QueueCapacity = defaultQueueCapacity
	}
	if o.StreamRetention <= 0 {
		o.StreamRetention = defaultStreamRetention
	}
	return o
}

// interval returns the time between two tokens of a stream.
func (o Options) interval() time.Duration {
	return time.Duration(float64(time.Second) / o.TokensPerSecond)
}
