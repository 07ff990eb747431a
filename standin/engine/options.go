package engine

import "time"

// Options configures an Engine. Zero fields take the defaults named with
// them.
type Options struct {
	// Seed and the request body determine the text.
	Seed uint64
	// TokensPerSecond is the rate of one stream. Default 25.
	TokensPerSecond float64
	// TimeToFirstToken is the time from a stream's start to its first token.
	// Default 20 ms.
	TimeToFirstToken time.Duration
	// Slots is how many streams run at once. Default 256.
	Slots int
	// QueueCapacity is how many requests wait for a slot at most; those beyond are
	// answered not_run. Default 1,024.
	QueueCapacity int
	// PrefillPerToken is added to FirstToken for each token of the prompt that
	// is not in the prefix cache. Default 0.
	PrefillPerToken time.Duration
	// PrefixCacheTokens is the size of the prefix cache. Default 0.
	PrefixCacheTokens int
	// StreamRetention is how long a finished stream can be resumed. Default 60 s.
	StreamRetention time.Duration
}

const (
	defaultTokensPerSecond = 25
	defaultFirstToken      = 20 * time.Millisecond
	defaultSlots           = 256
	defaultQueue           = 1024
	defaultKeep            = time.Minute
)

func (o Options) withDefaults() Options {
	if o.TokensPerSecond <= 0 {
		o.TokensPerSecond = defaultTokensPerSecond
	}
	if o.TimeToFirstToken <= 0 {
		o.TimeToFirstToken = defaultFirstToken
	}
	if o.Slots <= 0 {
		o.Slots = defaultSlots
	}
	if o.QueueCapacity <= 0 {
		o.QueueCapacity = defaultQueue
	}
	if o.StreamRetention <= 0 {
		o.StreamRetention = defaultKeep
	}
	return o
}

// interval is the time between two tokens of a stream.
func (o Options) interval() time.Duration {
	return time.Duration(float64(time.Second) / o.TokensPerSecond)
}
