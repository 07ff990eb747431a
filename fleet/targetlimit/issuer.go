package targetlimit

import (
	"maps"
	"sync"
	"time"

	"cuminrock.example/fleet/placement"
)

const (
	// burstSeconds is the time for which unused permits accumulate, beyond one.
	burstSeconds = 0.25
	// fallbackShare is the part of a limit that a gateway issues for which another
	// gateway should; both may do so at a time.
	fallbackShare = 0.4
	// minRetryAfter and maxRetryAfter bound the time after which a gateway that got no
	// permit may ask again.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// bucketRetention is how long a bucket is kept without use.
	bucketRetention = time.Minute
)

// Issuer issues permits, each for one request to a target. It is safe for
// concurrent use.
type Issuer struct {
	mu      sync.Mutex
	buckets map[placement.Process]*bucket
	sweptAt time.Time
}

// bucket is the token bucket of one target. It starts empty, since another gateway
// may have issued permits until now.
type bucket struct {
	permits   float64
	updatedAt time.Time
	// waiting counts the requests without a permit since the last one was issued.
	waiting int
}

// NewIssuer returns an issuer that has issued no permit.
func NewIssuer() *Issuer { return &Issuer{buckets: make(map[placement.Process]*bucket)} }

// Permit is the response to a request for a permit.
type Permit struct {
	Granted bool
	// ID identifies the permit at the gateway that issued it, which is to be told when
	// the request ends; 0 if it needn't be.
	ID uint64
	// Issuer is the address of the gateway that issued it; empty for this one.
	Issuer string
	// RetryAfter is when to ask again, if none was granted.
	RetryAfter time.Duration
	// Cold is set if the target counts as cold.
	Cold bool
}

// Acquire issues a permit for a request to a target that takes perSecond requests a
// second, above 0. A fallback gateway issues only a part of them.
func (i *Issuer) Acquire(p placement.Process, perSecond float64, fallback bool, now time.Time) Permit {
	if fallback {
		perSecond *= fallbackShare
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sweep(now)
	b := i.buckets[p]
	if b == nil {
		b = &bucket{updatedAt: now}
		i.buckets[p] = b
	}
	b.refill(perSecond, now)
	if b.permits >= 1 {
		b.permits--
		b.waiting = 0
		return Permit{Granted: true}
	}
	b.waiting++
	return Permit{RetryAfter: b.retryAfter(perSecond)}
}

// refill adds the permits since the last call.
func (b *bucket) refill(perSecond float64, now time.Time) {
	elapsed := max(now.Sub(b.updatedAt), 0).Seconds()
	b.permits = min(b.permits+elapsed*perSecond, 1+burstSeconds*perSecond)
	b.updatedAt = now
}

// retryAfter returns when there will be a permit for all who wait.
func (b *bucket) retryAfter(perSecond float64) time.Duration {
	seconds := (float64(b.waiting) - b.permits) / perSecond
	return min(max(time.Duration(min(seconds, maxRetryAfter.Seconds())*float64(time.Second)), minRetryAfter), maxRetryAfter)
}

// sweep drops the buckets that weren't used for a while. One that is used again
// starts empty.
func (i *Issuer) sweep(now time.Time) {
	if now.Sub(i.sweptAt) < bucketRetention {
		return
	}
	i.sweptAt = now
	maps.DeleteFunc(i.buckets, func(_ placement.Process, b *bucket) bool { return now.Sub(b.updatedAt) > bucketRetention })
}
