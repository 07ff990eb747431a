package node

import "sync/atomic"

const (
	// retryTokens is what one retry costs of the retry budget.
	retryTokens = 1000
	// retryBurst is the most tokens kept, in retries.
	retryBurst = 20
)

// retries bounds retries to a part of the requests.
type retries struct {
	permille int64
	tokens   atomic.Int64
}

func newRetries(permille int) *retries {
	r := &retries{permille: int64(permille)}
	r.tokens.Store(retryBurst * retryTokens)
	return r
}

// Request implements serve.Retries.
func (r *retries) Request() {
	if r.tokens.Load() < retryBurst*retryTokens {
		r.tokens.Add(r.permille)
	}
}

// Take implements serve.Retries.
func (r *retries) Take() bool {
	for {
		have := r.tokens.Load()
		if have < retryTokens {
			return false
		}
		if r.tokens.CompareAndSwap(have, have-retryTokens) {
			return true
		}
	}
}
